"""`python -m burlmoor.testbed`: runs stand-in executors in a separate process."""

from __future__ import annotations

import sys

from burlmoor.testbed.executor_process import main

if __name__ == "__main__":
    sys.exit(main())
