"""A job that the node has admitted, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from burlmoor.engine.interfaces import Responder
from burlmoor.types.events import (
    JobRequest,
)
from burlmoor.types.outcome import Outcome


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job at one target."""

    job: Job
    number: int
    endpoint: str
    sent_at: float
    deadline: float
    outcome: Outcome | None = None

    @property
    def is_over(self) -> bool:
        """Whether its end is known."""
        return self.outcome is not None


@dataclass(slots=True, eq=False)
class Job:
    """A request that this node has taken."""

    id: str
    number: int
    responder: Responder
    payload: Any  # what the targets need of the request; the core does not look at it
    admitted_at: float
    deadline: float
    is_non_idempotent: bool
    is_over: bool = False
    deferred_request: JobRequest | None = (
        None  # what is asked, while the job waits and the module does not know of it
    )
    attempts: list[Attempt] = field(default_factory=list)

    def open_attempts(self) -> list[Attempt]:
        """The forwards whose end is not known."""
        return [forward for forward in self.attempts if not forward.is_over]

    def may_have_run(self) -> bool:
        """Whether some forward is not proved to have never run."""
        return any(
            forward.outcome is None or not forward.outcome.proves_not_started for forward in self.attempts
        )
