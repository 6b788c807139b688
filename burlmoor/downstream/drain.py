"""Graceful shutdown and drain: how far this node sends its clients away, as a function of time."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


class ServiceState(IntEnum):
    """How far clients are sent away. Each state does all that the ones before it do."""

    ACCEPTING = 0
    UNREADY = 1  # readiness checks answer no; clients that are here go on as before
    CLOSING = 2  # responses close their connections, and idle ones are closed
    REJECTING = 3  # new jobs are rejected


class Step(NamedTuple):
    """A state that is reached so many seconds after the shutdown or drain began."""

    after_seconds: float
    state: ServiceState


Schedule = tuple[Step, ...]  # the latest step first

# Seconds after SIGTERM until SIGKILL may come: the longest deadline, this at most, and a fixed part.
_MAX_COUNTED_DEADLINE_SECONDS = 3.0
_KILL_MARGIN_SECONDS = 0.7
_ARRIVAL_SECONDS = 0.4  # after SIGTERM, for which clients' new connections may come
_CLOSING_BEFORE_KILL_SECONDS = 1.7
_REJECTING_AFTER_CLOSING_SECONDS = 0.5
_ANSWER_MARGIN_SECONDS = 0.4  # between the last answer and SIGKILL
_MIN_ANSWER_SHARE = 0.8  # of the time until SIGKILL
# Seconds after a drain is asked for. Those that send clients have noticed it after 0.3 s. What is admitted
# after 2 s would be a young job 4 s after the call, when none may be here.
_DRAIN_SCHEDULE: Schedule = (
    Step(2.0, ServiceState.REJECTING),
    Step(0.8, ServiceState.CLOSING),
    Step(0.0, ServiceState.UNREADY),
)


def _state_at(now: float, began_at: float | None, schedule: Schedule) -> ServiceState:
    if began_at is None:
        return ServiceState.ACCEPTING
    for after_seconds, state in schedule:
        if now >= began_at + after_seconds:
            return state
    return ServiceState.ACCEPTING


def kill_after_seconds(deadlines: Iterable[float]) -> float:
    """Return the seconds after SIGTERM until SIGKILL may come, where jobs have these deadlines (s)."""
    longest = max(deadlines, default=_MAX_COUNTED_DEADLINE_SECONDS)
    return min(longest, _MAX_COUNTED_DEADLINE_SECONDS) + _KILL_MARGIN_SECONDS


def _shutdown_schedule(killed_after: float) -> Schedule:
    """Return the steps of a graceful shutdown, each as late as a SIGKILL then allows.

    Earlier steps could leave a gap in service: the node restarted before may not be back yet. Clients go on
    for as long as their connections stay open, and may take 2 s to write a request.
    """
    closing = max(_ARRIVAL_SECONDS, killed_after - _CLOSING_BEFORE_KILL_SECONDS)
    return (
        Step(closing + _REJECTING_AFTER_CLOSING_SECONDS, ServiceState.REJECTING),
        Step(closing, ServiceState.CLOSING),
        Step(0.0, ServiceState.UNREADY),
    )


class DrainController:
    """Owns when a graceful shutdown and a drain began; the state follows from the time that has passed.

    No task moves it, so a drain can be ended, or met by a shutdown, at any point with nothing left half done.
    """

    def __init__(self, killed_after: float = _MAX_COUNTED_DEADLINE_SECONDS + _KILL_MARGIN_SECONDS) -> None:
        self._shutdown_schedule = _shutdown_schedule(killed_after)
        # What came late in a shutdown is answered by then (seconds after SIGTERM): SIGKILL would lose it.
        self.answer_within_seconds = max(
            killed_after - _ANSWER_MARGIN_SECONDS, _MIN_ANSWER_SHARE * killed_after
        )
        self._shutdown_began_at: float | None = None
        self._drain_began_at: float | None = None

    @property
    def state(self) -> ServiceState:
        """How far clients are sent away by now."""
        now = trio.current_time()
        return max(
            _state_at(now, self._shutdown_began_at, self._shutdown_schedule),
            _state_at(now, self._drain_began_at, _DRAIN_SCHEDULE),
        )

    @property
    def is_shutting_down(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._shutdown_began_at is not None

    @property
    def is_drained(self) -> bool:
        """Whether operators have drained the node."""
        return self._drain_began_at is not None

    def begin_shutdown(self, seconds_ago: float = 0.0) -> None:
        """Begin a graceful shutdown as of so many seconds ago; one that has begun goes on unchanged."""
        if self._shutdown_began_at is None:
            self._shutdown_began_at = trio.current_time() - seconds_ago

    def begin_drain(self) -> None:
        """Begin a drain; one that has begun goes on unchanged."""
        if self._drain_began_at is None:
            self._drain_began_at = trio.current_time()

    def end_drain(self) -> None:
        """End a drain: clients are accepted again from now on, unless the node shuts down."""
        self._drain_began_at = None
