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
    """The conditions that must be met before a deferred job runs, and its memory use until then."""

    after: tuple[str, ...]  # request ids of the jobs that have to be served first
    not_before_unix_ms: float  # 0: no such condition
    size_bytes: int  # of the request body, which remains in memory while the job is deferred


class ReleaseDecision(NamedTuple):
    """The decision that a deferred job, named by its request id, may run now."""

    id: str
    credit: float  # from 0 to 1: additional priority for the time for which the job was deferred


class EndDecision(NamedTuple):
    """The decision that a deferred job must not run, with its final answer."""

    id: str
    answer: FinalAnswer


class DeferralQueue(Protocol):
    """The deferred-job queue as the engine uses it.

    It is notified of every job, deferred or not, and decides only in `step` which deferred jobs to release or
    to end. Times are in ms on the engine's clock.
    """

    @property
    def max_deferral_ms(self) -> float:
        """The longest time for which a job may be deferred."""

    def on_job_admitted(self, request_id: str) -> None:
        """Record that the node has admitted a job."""

    def on_job_ended(self, request_id: str, answer: FinalAnswer | None, now: float) -> None:
        """Record that a job is closed with this answer; None if its client has disconnected."""

    def defer(
        self, request_id: str, request: JobRequest, conditions: RunConditions, deadline: float, now: float
    ) -> None:
        """Defer a newly opened job until its conditions are met, but not beyond its deadline."""

    def next_due(self, now: float) -> float:
        """Return when `step` has to be called next."""

    def step(
        self, now: float, releasable_slots: Callable[[], float]
    ) -> Iterable[ReleaseDecision | EndDecision]:
        """Return which jobs to release and which to end now.

        `releasable_slots` returns how many slots deferred jobs may use now. The number may be fractional,
        since it is based on a fraction of the endpoints' capacity.
        """
