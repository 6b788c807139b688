"""The interface between the engine and the deferred-job queue."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.types.events import JobRequest


class InvalidConditionError(BurlmoorError, ValueError):
    """A request header with run conditions is invalid."""

    def __init__(self, header: str, problem: str) -> None:
        super().__init__(f"{header} {problem}")
        self.header = header
        self.problem = problem


class RunConditions(NamedTuple):
    """The conditions that must be met before a deferred job runs."""

    after: tuple[str, ...]  # request ids of the jobs that have to be served first
    not_before_unix_ms: float  # 0: no such condition
    size_bytes: int  # of the request body, which remains in memory while the job is deferred


class ReleasedJob(NamedTuple):
    """A deferred job that may run now, by its request id."""

    id: str
    credit: float  # from 0 to 1: additional priority for the time for which the job was deferred


class EndedJob(NamedTuple):
    """A deferred job that must not run, with its final answer."""

    id: str
    answer: FinalAnswer


class JobDeferral(Protocol):
    """A queue of deferred jobs.

    It is notified of every job, deferred or not, and decides only in `step` which deferred jobs to release or
    to end. Times are in ms on the engine's clock.
    """

    @property
    def max_deferral_ms(self) -> float:
        """The longest time for which a job may be deferred."""

    def on_job_opened(self, request_id: str) -> None:
        """Record that the node has admitted a job."""

    def on_job_ended(self, request_id: str, answer: FinalAnswer | None, now: float) -> None:
        """Record that a job has ended with this answer; None if its client has disconnected."""

    def defer(
        self, request_id: str, request: JobRequest, conditions: RunConditions, deadline: float, now: float
    ) -> None:
        """Defer a newly opened job until its conditions are met, but not beyond its deadline."""

    def next_due(self, now: float) -> float:
        """Return when `step` has to be called next."""

    def step(self, now: float, free_slots: Callable[[], float]) -> Iterable[ReleasedJob | EndedJob]:
        """Return the jobs to release or to end now; `free_slots` returns the number of free slots."""
