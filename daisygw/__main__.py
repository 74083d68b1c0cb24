"""Entry point of ``python -m daisygw`` and of the single-file program."""

import sys

from daisygw.core import main

if __name__ == '__main__':
    sys.exit(main())
