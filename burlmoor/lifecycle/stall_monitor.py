"""Detects stalls: intervals in which this process did not run because it or its machine was suspended."""

from __future__ import annotations

from typing import NamedTuple

import trio

_BEAT_SECONDS = 0.2
# Beyond the interval of the beats; a shorter delay may be due to a busy event loop.
_MIN_STALL_SECONDS = 0.3


class _Stall(NamedTuple):
    began_at: float
    ended_at: float


class StallMonitor:
    """Owns the time of the last beat and the last stall. Times are in seconds on trio's clock."""

    def __init__(self) -> None:
        self._last_beat = trio.current_time()
        self._last_stall = _Stall(self._last_beat, self._last_beat)

    async def run(self) -> None:
        """Record the time at regular intervals until cancelled."""
        while True:
            self._beat()
            await trio.sleep(_BEAT_SECONDS)

    def _beat(self) -> None:
        now = trio.current_time()
        if now - self._last_beat > _BEAT_SECONDS + _MIN_STALL_SECONDS:
            self._last_stall = _Stall(self._last_beat, now)
        self._last_beat = now

    def seconds_stalled(self) -> float:
        """Return how long ago the stall that has just ended began; 0 if there was none.

        A signal that is read now may have arrived at any moment since then.
        """
        now = trio.current_time()
        self._beat()
        has_just_ended = now - self._last_stall.ended_at < _BEAT_SECONDS
        return now - self._last_stall.began_at if has_just_ended else 0.0
