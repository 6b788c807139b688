"""`python -m burlmoor.testbed`: stand-in executors in a process of their own."""

from __future__ import annotations

import sys

from burlmoor.testbed.executor_process import main

if __name__ == "__main__":
    sys.exit(main())
