"""The protocol between the engine and the queue that holds deferred jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.types.events import JobRequest


class InvalidConditionError(BurlmoorError, ValueError):
    """A client's run conditions are invalid."""

    def __init__(self, header: str, problem: str) -> None:
        super().__init__(f"{header} {problem}")
        self.header = header
        self.problem = problem


class RunConditions(NamedTuple):
    """What a deferred job waits for."""

    after: tuple[str, ...]  # ids of the jobs that have to be served first
    not_before_unix_ms: float  # 0: no such condition
    size_bytes: int  # of the request body, which stays in memory meanwhile


class ReleasedJob(NamedTuple):
    """A deferred job may run now."""

    id: str
    credit: float  # from 0 to 1: the priority that it gets for the time it was deferred


class EndedJob(NamedTuple):
    """A deferred job is not to run: its final answer."""

    id: str
    answer: FinalAnswer


class JobDeferral(Protocol):
    """A queue of deferred jobs.

    It is notified of every job, deferred or not, and decides in `step`, never earlier, which of the deferred
    jobs to release or to end. Times are in ms on the engine's clock.
    """

    @property
    def max_deferral_ms(self) -> float:
        """The longest that a job may be deferred."""

    def on_job_opened(self, request_id: str) -> None:
        """Note that the node has admitted a job."""

    def on_job_ended(self, request_id: str, answer: FinalAnswer | None, now: float) -> None:
        """Note that a job has ended with this answer; None if its client has disconnected."""

    def defer(
        self, request_id: str, request: JobRequest, conditions: RunConditions, deadline: float, now: float
    ) -> None:
        """Hold a job that was just opened until its conditions are met, or its deadline at most."""

    def next_due(self, now: float) -> float:
        """Return when `step` is needed next."""

    def step(self, now: float, free_slots: Callable[[], float]) -> Iterable[ReleasedJob | EndedJob]:
        """Return the jobs to release or to end now; `free_slots` returns the slots known to be free."""
