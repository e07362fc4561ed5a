"""Run the command line with ``python -m primroseledge``."""

from importlib import import_module
from signal import SIG_IGN
from signal import SIGHUP
from signal import signal
import sys
from typing import Final

DAEMON_COMMANDS: Final = ('entry', 'platform')
"""Commands that handle SIGHUP themselves once they run."""


def main() -> None:
    """Run the command line, which is imported only now.

    Until a daemon handles SIGHUP it ignores it: the signal says that there
    are new settings, which it is about to read, and would end it.
    """
    if sys.argv[1:2] and sys.argv[1] in DAEMON_COMMANDS:
        signal(SIGHUP, SIG_IGN)
    import_module('primroseledge.cli').main()


if __name__ == '__main__':
    main()
