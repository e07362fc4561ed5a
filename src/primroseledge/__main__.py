"""Run the command line with ``python -m primroseledge``."""

from primroseledge.cli import main

if __name__ == '__main__':
    main()
