"""Detects stalls: periods in which this process did not run because it or its machine was paused."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from burlmoor.log_events import EventLoopStalled

if TYPE_CHECKING:
    from burlmoor.log import EventLogger

_HEARTBEAT_INTERVAL_SECONDS = 0.2
# In addition to the heartbeat interval; a shorter delay may be due to a busy event loop.
_MIN_STALL_SECONDS = 0.3
_MIN_LOGGED_DELAY_SECONDS = 0.05  # of a heartbeat


class _Stall(NamedTuple):
    began_at: float
    ended_at: float


class StallMonitor:
    """Detects stalls by a heartbeat that is overdue. Times are in seconds on trio's clock."""

    def __init__(self, log: EventLogger) -> None:
        self._log = log
        self._last_heartbeat_at = trio.current_time()
        self._last_stall = _Stall(self._last_heartbeat_at, self._last_heartbeat_at)

    async def run(self) -> None:
        """Record heartbeats at regular intervals until cancelled."""
        while True:
            self._record_heartbeat()
            await trio.sleep(_HEARTBEAT_INTERVAL_SECONDS)

    def _record_heartbeat(self) -> None:
        now = trio.current_time()
        delay_seconds = now - self._last_heartbeat_at - _HEARTBEAT_INTERVAL_SECONDS
        if delay_seconds > _MIN_LOGGED_DELAY_SECONDS:
            self._log(EventLoopStalled(seconds=round(delay_seconds, 3)))
        if delay_seconds > _MIN_STALL_SECONDS:
            self._last_stall = _Stall(self._last_heartbeat_at, now)
        self._last_heartbeat_at = now

    def seconds_since_stall_began(self) -> float:
        """Return how long ago the stall that has just ended began; 0 if there was none.

        A signal that is read now may have arrived at any time since the stall began.
        """
        now = trio.current_time()
        self._record_heartbeat()
        has_just_ended = now - self._last_stall.ended_at < _HEARTBEAT_INTERVAL_SECONDS
        return now - self._last_stall.began_at if has_just_ended else 0.0
