"""Graceful shutdown and drain: whether the node accepts its clients, as a function of time."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


class ServiceState(IntEnum):
    """How far the node has stopped serving its clients. Each state includes the ones before it."""

    ACCEPTING = 0
    UNREADY = 1  # readiness checks fail; connected clients are served as before
    CLOSING = 2  # responses close their connections, and idle ones are closed
    REJECTING = 3  # new jobs are rejected


class ScheduledState(NamedTuple):
    """A state, and how long after the begin of a shutdown or drain it is reached."""

    after_seconds: float
    state: ServiceState


Schedule = tuple[ScheduledState, ...]  # the latest state first

# The time from SIGTERM to SIGKILL: the longest deadline of a job, this at most, and a margin.
_MAX_COUNTED_DEADLINE_SECONDS = 3.0
_GRACE_MARGIN_SECONDS = 0.7
_MAX_GRACE_PERIOD_SECONDS = _MAX_COUNTED_DEADLINE_SECONDS + _GRACE_MARGIN_SECONDS
_ARRIVAL_SECONDS = 0.4  # after SIGTERM, in which new connections of clients may still arrive
_CLOSING_BEFORE_SIGKILL_SECONDS = 1.7
_REJECTING_AFTER_CLOSING_SECONDS = 0.5
_ANSWER_MARGIN_SECONDS = 0.4  # between the last answer and SIGKILL
_MIN_ANSWER_SHARE = 0.8  # of the grace period
_CLOSING_AFTER_DRAIN_SECONDS = 0.8  # load balancers in front notice a failing readiness check within 0.3 s
# 4 s after the operators' call no job may be open that was admitted less than 2 s before.
_REJECTING_AFTER_DRAIN_SECONDS = 2.0
_DRAIN_SCHEDULE: Schedule = (
    ScheduledState(_REJECTING_AFTER_DRAIN_SECONDS, ServiceState.REJECTING),
    ScheduledState(_CLOSING_AFTER_DRAIN_SECONDS, ServiceState.CLOSING),
    ScheduledState(0.0, ServiceState.UNREADY),
)


def compute_grace_period_seconds(deadlines_seconds: Iterable[float]) -> float:
    """Return the time from SIGTERM until SIGKILL may follow, where jobs have these deadlines."""
    longest = max(deadlines_seconds, default=_MAX_COUNTED_DEADLINE_SECONDS)
    return min(longest, _MAX_COUNTED_DEADLINE_SECONDS) + _GRACE_MARGIN_SECONDS


def _build_shutdown_schedule(grace_period_seconds: float) -> Schedule:
    """Return the states of a graceful shutdown, each as late as the grace period allows.

    Earlier ones could leave a gap in service: the node that was restarted before may not be ready yet.
    Clients send requests for as long as their connections are open, and may take 2 s to write one.
    """
    closing = max(_ARRIVAL_SECONDS, grace_period_seconds - _CLOSING_BEFORE_SIGKILL_SECONDS)
    return (
        ScheduledState(closing + _REJECTING_AFTER_CLOSING_SECONDS, ServiceState.REJECTING),
        ScheduledState(closing, ServiceState.CLOSING),
        ScheduledState(0.0, ServiceState.UNREADY),
    )


def _state_at(now: float, began_at: float | None, schedule: Schedule) -> ServiceState:
    if began_at is None:
        return ServiceState.ACCEPTING
    for after_seconds, state in schedule:
        if now >= began_at + after_seconds:
            return state
    return ServiceState.ACCEPTING


class DrainController:
    """Owns when a graceful shutdown and a drain began; the state follows from the time since then.

    No task advances the state, so a drain can be ended, or followed by a shutdown, at any point.
    `grace_period_seconds` is the time from SIGTERM until SIGKILL may follow.
    """

    def __init__(self, grace_period_seconds: float = _MAX_GRACE_PERIOD_SECONDS) -> None:
        self._shutdown_schedule = _build_shutdown_schedule(grace_period_seconds)
        # How long after SIGTERM jobs admitted late are answered at the latest: SIGKILL would lose them.
        self.answer_within_seconds = max(
            grace_period_seconds - _ANSWER_MARGIN_SECONDS, _MIN_ANSWER_SHARE * grace_period_seconds
        )
        self._shutdown_began_at: float | None = None
        self._drain_began_at: float | None = None

    @property
    def state(self) -> ServiceState:
        """How far the node has stopped serving its clients by now."""
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
        """Begin a graceful shutdown as of `seconds_ago`; one that has begun continues unchanged."""
        if self._shutdown_began_at is None:
            self._shutdown_began_at = trio.current_time() - seconds_ago

    def begin_drain(self) -> None:
        """Begin a drain; one that has begun continues unchanged."""
        if self._drain_began_at is None:
            self._drain_began_at = trio.current_time()

    def end_drain(self) -> None:
        """End a drain: clients are accepted again from now on, unless the node shuts down."""
        self._drain_began_at = None
