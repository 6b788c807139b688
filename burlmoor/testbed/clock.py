"""The testbed's clocks, in milliseconds."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic time, which is the same for all processes on a machine."""
    return time.monotonic() * 1000.0


def unix_now_ms() -> float:
    """Return the Unix time."""
    return time.time() * 1000.0
