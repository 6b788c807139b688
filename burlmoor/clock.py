"""The node's monotonic clock, in milliseconds."""

from __future__ import annotations

import time

# Readings start well above zero, since the policy reads a start time of 0 or less as 'long ago'.
_ORIGIN_MS = 86_400_000.0


class Clock:
    """The node's clock; its offset from Unix time is fixed when it is created."""

    def __init__(self) -> None:
        self._monotonic_zero_ms = time.monotonic() * 1000.0 - _ORIGIN_MS
        self._unix_zero_ms = time.time() * 1000.0 - _ORIGIN_MS

    def __call__(self) -> float:
        """Return the current time in ms."""
        return time.monotonic() * 1000.0 - self._monotonic_zero_ms

    def from_unix(self, unix_ms: float) -> float:
        """Convert a Unix time; 0 (long ago) remains 0, and a time over a day before the start becomes 0."""
        return max(0.0, unix_ms - self._unix_zero_ms) if unix_ms > 0.0 else 0.0
