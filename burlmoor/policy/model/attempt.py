"""One attempt of a job as the policy sees it; the engine's is `burlmoor.engine.job.Attempt`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.types.outcome import Outcome


@dataclass(slots=True, eq=False)
class ScheduledAttempt:
    """One send of a job. Times are ms of the node's clock.

    `AttemptSender` creates it. Of the fields that change, `JobChecks` writes `check_at`, `OutcomeRecorder`
    `started_at`, `outcome` and `is_cancelling`, and `RetryPolicy` the others.
    """

    number: int  # counts from 0 within the job
    endpoint: Endpoint
    sent_at: float
    expected_ms: float  # from the send to its end
    is_cache_miss: bool
    check_at: float  # when it is checked if the endpoint has reported nothing of it by then
    started_at: float | None = None
    outcome: Outcome | None = None  # None until it has ended
    is_cancelling: bool = False  # by the node; pending until its endpoint is known not to hold the job
    is_overdue: bool = False
    awaits_late_retry: bool = False  # whether it is retried at the last moment that leaves time for it

    def mark_overdue(self) -> None:
        """Count it as overdue at its endpoint: it should have started by now."""
        self.is_overdue = True
        self.endpoint.overdue_attempts += 1

    def clear_overdue(self) -> None:
        """Count it as overdue no longer: it has started or ended."""
        self.endpoint.overdue_attempts -= self.is_overdue
        self.is_overdue = False
