"""Runs one node: `python -m burlmoor`."""

import sys

from burlmoor.early_signals import early_signals

if __name__ == "__main__":
    early_signals.install()

    from burlmoor.lifecycle.process import main

    sys.exit(main())
