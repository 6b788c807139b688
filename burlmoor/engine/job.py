"""A job that the node has admitted, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from burlmoor.engine.interfaces import Responder
    from burlmoor.types.events import JobRequest
    from burlmoor.types.outcome import Outcome
    from burlmoor.types.reasons import CancelReason, EndReason


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job at one endpoint; times are in ms on the engine's clock."""

    job: Job
    number: int  # counts from 0 within the job
    endpoint: str
    sent_at: float
    deadline: float
    outcome: Outcome | None = None  # None until the attempt has ended
    cancelled_as: Outcome | None = None  # the outcome once its endpoint is known not to hold the job
    address: str = ""  # where upstream has sent it
    written_at: float | None = None  # the last byte of its request
    accepted_at: float | None = None  # the endpoint's 202
    started_at: float | None = None  # the endpoint has reported that the job runs
    cancelled_at: float | None = None
    cancel_reason: CancelReason | None = None
    ended_at: float | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has ended."""
        return self.outcome is not None

    @property
    def is_cancelling(self) -> bool:
        """Whether the node has cancelled it; its endpoint may hold the job until it has ended."""
        return self.cancelled_as is not None

    @property
    def is_over(self) -> bool:
        """Whether nothing more is to be done for it but to cancel it."""
        return self.has_ended or self.is_cancelling


@dataclass(slots=True, eq=False)
class Job:
    """A request that this node has admitted; times are in ms on the engine's clock."""

    id: str  # the client's Request-Id
    number: int  # the job's id in the policy's events and actions
    responder: Responder
    class_name: str
    payload: Any  # what upstream sends of the request; opaque to the engine
    received_at: float
    deadline: float
    is_non_idempotent: bool
    admitted_at: float = field(init=False)  # to the policy: later than received where the job was deferred
    is_closed: bool = False  # whether the job has its final answer, or needs none
    deferred_request: JobRequest | None = None  # set while the job is deferred and unknown to the policy
    attempts: list[Attempt] = field(default_factory=list)
    # How it was closed, for the log.
    answer_name: str = ""
    end_reason: EndReason | None = None
    closed_at: float = 0.0

    def __post_init__(self) -> None:
        """Admit the job as it is received; a release from deferral admits it anew."""
        self.admitted_at = self.received_at

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]

    def may_have_run(self) -> bool:
        """Return whether some attempt is not proved to have never started at its endpoint."""
        return any(
            attempt.outcome is None or not attempt.outcome.proves_not_started for attempt in self.attempts
        )
