"""The policy's view of one attempt of a job; the engine's is `burlmoor.engine.job.Attempt`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.types.outcome import Outcome


@dataclass(slots=True, eq=False)
class ScheduledAttempt:
    """An attempt to run a job at an endpoint. Times are in ms of the node's clock.

    `AttemptSender` creates it. Later, `JobChecks` updates `check_at`, `OutcomeRecorder` updates `started_at`,
    `outcome` and `is_cancelling`, and `RetryPolicy` sets `is_overdue` and `awaits_late_redistribution`.
    """

    number: int  # counts from 0 within the job
    endpoint: Endpoint
    sent_at: float
    expected_ms: float  # expected time from the send to the end
    # Whether a fetch of the job's key was expected at the send. False while the estimated time of a fetch is
    # 0, even if the key was not expected to be cached.
    expects_cache_miss: bool
    check_at: float  # when to check the attempt if the endpoint has not reported on it by then
    started_at: float | None = None
    outcome: Outcome | None = None  # None until the attempt has ended
    is_cancelling: bool = False  # the node has cancelled it, but the endpoint may still have the job
    is_overdue: bool = False
    awaits_late_redistribution: bool = False  # at the last time at which another endpoint can serve the job

    def mark_overdue(self) -> None:
        """Count the attempt as overdue at its endpoint because it has not started in time."""
        self.is_overdue = True
        self.endpoint.overdue_attempts += 1

    def clear_overdue(self) -> None:
        """Stop counting the attempt as overdue once it has started or ended."""
        self.endpoint.overdue_attempts -= self.is_overdue
        self.is_overdue = False
