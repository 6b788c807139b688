"""The engine's records of admitted jobs and their attempts.

`Job` and `Attempt` hold what clients and executors depend on: identity, deadlines, state and outcome. The
policy keeps its own records of the same jobs, in `burlmoor.policy.model`, with the data for its decisions:
priority, expected times, cached keys. The two share no objects, only the numbers of jobs and attempts.

`JobLifecycle` makes the transitions; `upstream` records what it has sent and received for an attempt
(`record_send`, `record_written`, `record_accepted`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

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
    selected_at: float  # when the attempt was created, before a connection is acquired
    deadline: float
    outcome: Outcome | None = None  # None until the attempt has ended
    pending_outcome: Outcome | None = None  # set on cancellation: its outcome once the endpoint confirms
    address: str = ""  # `host:port` to which upstream sends it
    send_began_at: float | None = None  # when the first byte of its request was written, the last time
    written_at: float | None = None  # when the last byte of its request was written
    accepted_at: float | None = None  # when the endpoint's 202 was received
    started_at: float | None = None  # when the endpoint reported that it runs the job
    cancelled_at: float | None = None
    cancel_reason: CancelReason | None = None
    ended_at: float | None = None
    _end_listener: Callable[[], None] | None = field(default=None, init=False)

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has ended."""
        return self.outcome is not None

    @property
    def is_cancelling(self) -> bool:
        """Whether the node has cancelled the attempt; until it ends, its endpoint may hold the job."""
        return self.pending_outcome is not None

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended or is being cancelled."""
        return self.has_ended or self.is_cancelling

    def record_send(self, address: str, now: float) -> None:
        """Record the `host:port` to which upstream begins to send the request."""
        self.address = address
        self.send_began_at = now

    @property
    def may_have_run(self) -> bool:
        """Whether the job may have run in this attempt, or may still run; False if it provably never did."""
        return self.outcome is None or not self.outcome.proves_not_started

    def record_written(self, now: float) -> None:
        """Record that upstream has written the last byte of the request."""
        self.written_at = now

    def record_accepted(self, now: float) -> None:
        """Record that upstream has received the endpoint's 202."""
        self.accepted_at = now

    def record_started(self, now: float) -> None:
        """Record that the endpoint runs the job; only the first report counts."""
        if self.started_at is None:
            self.started_at = now

    def notify_on_end(self, listener: Callable[[], None]) -> None:
        """Have `listener` called when the attempt ends, so that its sender can release what it holds."""
        self._end_listener = listener

    def end(self, outcome: Outcome, now: float) -> None:
        """Record how and when the attempt ended, and notify the listener."""
        self.outcome = outcome
        self.ended_at = now
        if self._end_listener is not None:
            self._end_listener()


@dataclass(slots=True, eq=False)
class Job:
    """A request that this node has admitted; times are in ms on the engine's clock."""

    id: str  # the client's Request-Id
    number: int  # the job's id in the policy's events and actions
    responder: Responder | None  # None once the job is closed
    class_name: str
    payload: Any  # the request as upstream sends it; opaque to the engine; None once the job is closed
    received_at: float
    deadline: float
    is_non_idempotent: bool
    passed_to_policy_at: float = field(init=False)  # at its receipt, or at the release of a deferred job
    # How long after the first attempt that may have run another one may be sent; infinite if it always may.
    repeat_window_ms: float = math.inf
    is_closed: bool = False  # whether the job has its final answer or needs none
    deferred_request: JobRequest | None = None  # set while the job is deferred and unknown to the policy
    attempts: list[Attempt] = field(default_factory=list)
    # Set when the job is closed.
    answer_type: type[FinalAnswer] | None = None  # None: its client has disconnected
    end_reason: EndReason | None = None  # None: it was served
    closed_at: float = 0.0

    def __post_init__(self) -> None:
        """Set `passed_to_policy_at` to the time of receipt; a release of the job sets a later time."""
        self.passed_to_policy_at = self.received_at

    def close(self, answer: FinalAnswer | None, reason: EndReason | None, now: float) -> None:
        """Record the final answer, None if the client has disconnected, and the reason for it.

        The request and the client's connection are released: a closed job stays in the queue of deadlines,
        and with its open attempts, for seconds.
        """
        self.is_closed = True
        self.responder = None
        self.payload = None
        self.answer_type = None if answer is None else type(answer)
        self.end_reason = reason
        self.closed_at = now

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]

    def may_have_run(self) -> bool:
        """Return whether the job may have run; False if all attempts provably never started."""
        return any(attempt.may_have_run for attempt in self.attempts)

    def latest_send_at(self, attempt: Attempt) -> float:
        """Return the latest time at which this attempt may be sent; infinite if no other may have run.

        The window for repeats counts from the first byte of the first other attempt that may have run. Its
        executor can't have received the job, and remembers its key, before then.
        """
        sent_at = [
            other.send_began_at
            for other in self.attempts
            if other is not attempt and other.may_have_run and other.send_began_at is not None
        ]
        return min(sent_at) + self.repeat_window_ms if sent_at else math.inf
