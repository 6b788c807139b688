"""Notices that this process did not run for a while: it was stopped, or its whole machine was."""

from __future__ import annotations

from typing import NamedTuple

import trio

_BEAT_SECONDS = 0.2
# Beyond the time between two beats, from which on the process counts as held up: it may have been busy.
_BUSY_SECONDS = 0.3


class _HoldUp(NamedTuple):
    began_at: float
    ended_at: float


class HoldUpMonitor:
    """Owns when this process last ran, and the last time it was held up. Times are trio's, in seconds."""

    def __init__(self) -> None:
        self._last_beat = trio.current_time()
        self._last_hold_up = _HoldUp(self._last_beat, self._last_beat)

    async def run(self) -> None:
        """Take note of the time, again and again."""
        while True:
            self._beat()
            await trio.sleep(_BEAT_SECONDS)

    def _beat(self) -> None:
        now = trio.current_time()
        if now - self._last_beat > _BEAT_SECONDS + _BUSY_SECONDS:
            self._last_hold_up = _HoldUp(self._last_beat, now)
        self._last_beat = now

    def seconds_held_up(self) -> float:
        """Return for how long the process had been held up until just now; 0 if it was not.

        What is read now, a signal for instance, may have come at any moment since then.
        """
        now = trio.current_time()
        self._beat()
        has_just_ended = now - self._last_hold_up.ended_at < _BEAT_SECONDS
        return now - self._last_hold_up.began_at if has_just_ended else 0.0
