"""Run the command line with ``python -m primroseledge``."""

import sys

from primroseledge.daemon import run
from primroseledge.logs import configure
from primroseledge.settings import load

if __name__ == '__main__':
    configure()
    sys.exit(run(load(sys.argv[3])))
