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
    expected_ms: float  # expected time from the send to the end
    is_cache_miss: bool
    check_at: float  # when it is checked, unless the endpoint reports on it before
    started_at: float | None = None
    outcome: Outcome | None = None  # None until it has ended
    is_cancelling: bool = False  # the node has cancelled it, and the endpoint may still hold the job
    is_overdue: bool = False
    awaits_late_retry: bool = False  # the job is redistributed at the last time that allows it

    def mark_overdue(self) -> None:
        """Count the attempt as overdue at its endpoint: it should have started by now."""
        self.is_overdue = True
        self.endpoint.overdue_attempts += 1

    def clear_overdue(self) -> None:
        """Stop counting the attempt as overdue: it has started or ended."""
        self.endpoint.overdue_attempts -= self.is_overdue
        self.is_overdue = False
