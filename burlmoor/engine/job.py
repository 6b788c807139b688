"""A job that the node has admitted, and its attempts, as the engine sees them.

The engine's `Job` and `Attempt` hold what clients and executors depend on: identity, deadlines, state and
outcome. The policy has its own view of the same job, in `burlmoor.policy.model`, with what it decides by:
priority, expected times, cached keys. The two views share the numbers of jobs and attempts, and no object.

`JobLifecycle` makes the transitions; `upstream` records what it has written and received of an attempt
(`record_address`, `record_written`, `record_accepted`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from burlmoor.engine.answers import FinalAnswer, Responder
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
    address: str = ""  # `host:port` to which upstream has sent it
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

    def record_address(self, address: str) -> None:
        """Note the `host:port` to which upstream begins to send the request."""
        self.address = address

    def record_written(self, now: float) -> None:
        """Note that upstream has written the last byte of the request."""
        self.written_at = now

    def record_accepted(self, now: float) -> None:
        """Note that upstream has received the endpoint's 202."""
        self.accepted_at = now

    def start(self, now: float) -> None:
        """Note that the endpoint runs the job; the first report counts."""
        if self.started_at is None:
            self.started_at = now

    def end(self, outcome: Outcome, now: float) -> None:
        """Note how the attempt ended."""
        self.outcome = outcome
        self.ended_at = now


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
    # How it was closed.
    answer_type: type[FinalAnswer] | None = None  # None: its client has disconnected
    end_reason: EndReason | None = None  # None: it was served
    closed_at: float = 0.0

    def __post_init__(self) -> None:
        """Count the job as admitted when it is received; a release from deferral sets a later time."""
        self.admitted_at = self.received_at

    def close(self, answer: FinalAnswer | None, reason: EndReason | None, now: float) -> None:
        """Note the job's one final answer, None if its client has disconnected, and the reason for it."""
        self.is_closed = True
        self.answer_type = None if answer is None else type(answer)
        self.end_reason = reason
        self.closed_at = now

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]

    def may_have_run(self) -> bool:
        """Return whether some attempt is not proved to have never started at its endpoint."""
        return any(
            attempt.outcome is None or not attempt.outcome.proves_not_started for attempt in self.attempts
        )
