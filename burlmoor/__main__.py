"""Runs one node: `python -m burlmoor`."""

import sys

from burlmoor.lifecycle.node import main

if __name__ == "__main__":
    sys.exit(main())
