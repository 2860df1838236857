"""Command line entry point for ``python -m mustardshunt``."""

import sys

from mustardshunt.cli import main

if __name__ == '__main__':
    sys.exit(main())
