"""Graceful shutdown and drain: the time schedules by which a node stops serving clients."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


class ServiceState(IntEnum):
    """The stages in which a node stops serving clients. Each includes the restrictions of those before it."""

    ACCEPTING = 0
    UNREADY = 1  # readiness checks fail; clients are still served
    CLOSING = 2  # responses close their connections, and idle ones are closed
    REJECTING = 3  # new jobs are rejected


class ScheduledState(NamedTuple):
    """A state, and the time from the start of a shutdown or drain until it applies."""

    after_seconds: float
    state: ServiceState


Schedule = tuple[ScheduledState, ...]  # the latest state first

# The grace period from SIGTERM to SIGKILL is the longest deadline of a job, capped, plus a margin.
_DEADLINE_CAP_SECONDS = 3.0
_GRACE_MARGIN_SECONDS = 0.7
_MAX_GRACE_PERIOD_SECONDS = _DEADLINE_CAP_SECONDS + _GRACE_MARGIN_SECONDS
_MIN_CLOSING_DELAY_SECONDS = 0.4  # clients may still open connections for this long after SIGTERM
_CLOSING_BEFORE_SIGKILL_SECONDS = 1.7
_REJECTING_AFTER_CLOSING_SECONDS = 0.5
_ANSWER_MARGIN_SECONDS = 0.4  # from the last answer to SIGKILL
_EXIT_MARGIN_SECONDS = 0.35  # from the end of the time for work that need not be finished to SIGKILL
_MIN_ANSWER_FRACTION = 0.8  # the least fraction of the grace period that is left to answer jobs
_CLOSING_AFTER_DRAIN_SECONDS = 0.8  # load balancers in front notice a failing readiness check within 0.3 s
# 4 s after the start of a drain, no open job may be younger than 2 s.
_REJECTING_AFTER_DRAIN_SECONDS = 2.0
_DRAIN_SCHEDULE: Schedule = (
    ScheduledState(_REJECTING_AFTER_DRAIN_SECONDS, ServiceState.REJECTING),
    ScheduledState(_CLOSING_AFTER_DRAIN_SECONDS, ServiceState.CLOSING),
    ScheduledState(0.0, ServiceState.UNREADY),
)


def compute_grace_period_seconds(deadlines_seconds: Iterable[float]) -> float:
    """Return the time from SIGTERM until SIGKILL may follow, for jobs with these deadlines."""
    longest = max(deadlines_seconds, default=_DEADLINE_CAP_SECONDS)
    return min(longest, _DEADLINE_CAP_SECONDS) + _GRACE_MARGIN_SECONDS


def _build_shutdown_schedule(grace_period_seconds: float) -> Schedule:
    """Return the schedule of a graceful shutdown: UNREADY at once, then the others as late as possible.

    In a rolling restart the node that restarted before this one may not be ready yet, so an early close
    could leave a gap in service. Clients send requests as long as their connections are open, and may take
    2 s to write one.
    """
    closing = max(_MIN_CLOSING_DELAY_SECONDS, grace_period_seconds - _CLOSING_BEFORE_SIGKILL_SECONDS)
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
    """Records when a graceful shutdown or a drain began, and derives the state from the time since then.

    No task advances the state, so a drain can be ended, or followed by a shutdown, at any point.
    `grace_period_seconds` is the time from SIGTERM until SIGKILL may follow.
    """

    def __init__(self, grace_period_seconds: float = _MAX_GRACE_PERIOD_SECONDS) -> None:
        self._shutdown_schedule = _build_shutdown_schedule(grace_period_seconds)
        # The time after SIGTERM by which jobs that were admitted late are answered: SIGKILL would lose them.
        self.answer_within_seconds = max(
            grace_period_seconds - _ANSWER_MARGIN_SECONDS, _MIN_ANSWER_FRACTION * grace_period_seconds
        )
        self._optional_work_seconds = grace_period_seconds - _EXIT_MARGIN_SECONDS
        self._shutdown_began_at: float | None = None
        self._drain_began_at: float | None = None

    @property
    def state(self) -> ServiceState:
        """The later of the current states of the shutdown and of the drain."""
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
    def has_time_before_sigkill(self) -> bool:
        """Whether a shutdown still has time for work that the node need not finish.

        Requests that it would take just before SIGKILL would be lost.
        """
        if self._shutdown_began_at is None:
            return True
        return trio.current_time() < self._shutdown_began_at + self._optional_work_seconds

    @property
    def is_drain_requested(self) -> bool:
        """Whether an operator has started a drain and not ended it."""
        return self._drain_began_at is not None

    def begin_shutdown(self, seconds_ago: float = 0.0) -> None:
        """Begin a graceful shutdown that started `seconds_ago`; no effect if one has begun."""
        if self._shutdown_began_at is None:
            self._shutdown_began_at = trio.current_time() - seconds_ago

    def begin_drain(self) -> None:
        """Begin a drain; no effect if one has begun."""
        if self._drain_began_at is None:
            self._drain_began_at = trio.current_time()

    def end_drain(self) -> None:
        """End a drain; clients are accepted again unless the node is shutting down."""
        self._drain_began_at = None
