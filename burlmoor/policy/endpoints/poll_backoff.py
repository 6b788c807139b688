"""Jitter and backoff for polls of the endpoint list, on nodes that have to start the watch themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

STEP_FRACTION = 0.1  # of the poll interval: one backoff step
MAX_BACKOFF_DOUBLINGS = 3
FIRST_POLL_SPREAD_STEPS = 4.0  # backoff steps over which the nodes' first polls are spread
MIN_JITTER, MAX_JITTER = 0.5, 1.5  # factors applied to the backoff


class PollBackoff:
    """Computes poll delays that are spread over the nodes and grow after each failure."""

    def __init__(self, poll_interval_ms: float, rng: random.Random) -> None:
        self._poll_interval_ms = poll_interval_ms
        self._rng = rng
        self._failed_polls = 0

    def next_delay_ms(self, *, has_failed: bool) -> float:
        """Count a failed poll, and return how long to wait before the next one.

        Called after a failed poll, and after a list from the cache.
        """
        self._failed_polls += has_failed
        doublings = min(max(self._failed_polls - 1, 0), MAX_BACKOFF_DOUBLINGS)
        step_ms = STEP_FRACTION * self._poll_interval_ms * 2.0**doublings
        if has_failed:
            return step_ms * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        return step_ms * self._rng.uniform(0.0, FIRST_POLL_SPREAD_STEPS)

    def reset(self) -> None:
        """Reset the backoff after a list was received."""
        self._failed_polls = 0
