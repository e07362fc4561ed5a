"""Check that packages import only those of the layers below them.

Run as ``python -m tools.package_layers``. It prints the imports that point to
a package of the same or of a higher layer, and returns 1 if there are any.
"""

from collections.abc import Iterator
from pathlib import Path
import re
import sys
from typing import Final

SOURCE: Final = Path('src/primroseledge')

LAYERS: Final = {
    'jobs': 0,
    'workers': 1,
    'scheduling': 2,
    'dispatch': 3,
    'maintenance': 3,
    'owner': 4,
    'cluster': 5,
    'platform': 6,
}
"""The packages of the job path, the lowest layer first.

Other packages may be imported from any layer.
"""

IMPORT: Final = re.compile(r'^from primroseledge\.(\w+)', re.MULTILINE)


def find_upward_imports(source: Path) -> Iterator[str]:
    """Yield a text for each import of another package that is not below."""
    for package, layer in LAYERS.items():
        for path in sorted((source / package).glob('*.py')):
            for imported in IMPORT.findall(path.read_text()):
                if imported != package and LAYERS.get(imported, -1) >= layer:
                    yield f'{path} imports {imported}, which is not below it'


def main() -> int:
    """Print the imports that point upwards; return 1 if there are any."""
    problems = list(find_upward_imports(SOURCE))
    for problem in problems:
        print(problem, file=sys.stderr)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
