"""Fleet capacity and maintenance manager."""

from typing import Final

__version__: Final = '0.1.0'
