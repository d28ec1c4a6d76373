"""Entry point of ``python -m hickorymux``."""

import sys

from hickorymux._internal.cli.main import main

if __name__ == '__main__':
    sys.exit(main())
