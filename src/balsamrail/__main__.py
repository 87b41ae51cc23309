"""Entry point of ``python -m balsamrail``."""

import sys

from balsamrail.cli import main

if __name__ == '__main__':
    sys.exit(main())
