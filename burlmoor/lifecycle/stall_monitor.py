"""Detects that this process did not run for a while: it was stopped, or its whole machine was."""

from __future__ import annotations

from typing import NamedTuple

import trio

_BEAT_SECONDS = 0.2
# Beyond the time between two beats; a shorter delay may be due to a busy event loop.
_MIN_STALL_SECONDS = 0.3


class _Stall(NamedTuple):
    began_at: float
    ended_at: float


class StallMonitor:
    """Owns when this process last ran, and its last stall. Times are trio's, in seconds."""

    def __init__(self) -> None:
        self._last_beat = trio.current_time()
        self._last_stall = _Stall(self._last_beat, self._last_beat)

    async def run(self) -> None:
        """Note the time at regular intervals until cancelled."""
        while True:
            self._beat()
            await trio.sleep(_BEAT_SECONDS)

    def _beat(self) -> None:
        now = trio.current_time()
        if now - self._last_beat > _BEAT_SECONDS + _MIN_STALL_SECONDS:
            self._last_stall = _Stall(self._last_beat, now)
        self._last_beat = now

    def seconds_stalled(self) -> float:
        """Return for how long the process was stalled until just now; 0 if it was not.

        What is read now, a signal for instance, may have arrived at any moment since then.
        """
        now = trio.current_time()
        self._beat()
        has_just_ended = now - self._last_stall.ended_at < _BEAT_SECONDS
        return now - self._last_stall.began_at if has_just_ended else 0.0
