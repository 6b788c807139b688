"""The protocol between the engine and whatever holds deferred jobs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from burlmoor.engine.answers import FinalAnswer
from burlmoor.types.events import (
    JobRequest,
)


class InvalidConditionError(ValueError):
    """What a client asks its job to wait for cannot be meant; the text names the header."""


class RunConditions(NamedTuple):
    """What a job is to wait for: jobs that are to be served first, and a Unix time in ms (0: none)."""

    after: tuple[str, ...]
    not_before_unix_ms: float
    size_bytes: int  # bytes held meanwhile


class ReleasedJob(NamedTuple):
    """A job that waited may run; `claim`, from 0 to 1, is what its waiting has earned."""

    id: str
    credit: float


class EndedJob(NamedTuple):
    """A job that waited is not to run."""

    id: str
    answer: FinalAnswer


class JobDeferral(Protocol):
    """Who keeps jobs that wait: told of every job, it says in `step` what becomes of those it holds."""

    @property
    def max_deferral_ms(self) -> float:
        """The most that a job may wait in all, in ms."""

    def on_job_opened(self, ref: str) -> None:
        """The node has taken a job."""

    def on_job_ended(self, ref: str, answer: FinalAnswer | None, now: float) -> None:
        """A job is over, with its answer; None where its client has left."""

    def defer(
        self, ref: str, request: JobRequest, conditions: RunConditions, deadline: float, now: float
    ) -> None:
        """A job that was just opened is to wait, until its deadline at most."""

    def next_due(self, now: float) -> float:
        """When `step` is needed next."""

    def step(self, now: float, free_slots: Callable[[], float]) -> Iterable[ReleasedJob | EndedJob]:
        """What becomes of some jobs now; `room`: slots known to be free."""
