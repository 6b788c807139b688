"""The retry-safety rules, to which every send, final answer and cancellation conforms.

The answer rule: a request gets exactly one final answer, before its deadline. The repeat rule: unless its
class allows a repeat, a job that may have run is neither run again nor rejected, since clients retry rejected
requests. The drain rule, that an endpoint not listed as live gets nothing new, is enforced by
`Endpoint.is_available` (through `EndpointEligibility`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.actions import CancelAttempt, FailJob, RejectJob, StartAttempt
from burlmoor.types.reasons import CancelReason, EndReason
from burlmoor.types.settings import DeduplicationScope, Idempotency, Limits

if TYPE_CHECKING:
    from burlmoor.policy.action_batch import ActionBatch
    from burlmoor.policy.model.attempt import ScheduledAttempt
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob


class RetrySafety:
    """Enforces the answer and repeat rules on every send, rejection, failure and cancellation of a job."""

    def __init__(self, limits: Limits, actions: ActionBatch) -> None:
        self._limits = limits
        self._actions = actions

    def may_send(self, job: ScheduledJob, endpoint: Endpoint, now: float) -> bool:
        """Return whether the two rules and the limits allow another attempt at this endpoint."""
        if job.is_closed or job.is_streaming or now >= job.deadline_at:
            return False
        if len(job.attempts) >= self._limits.max_attempts:
            return False
        possibly_run = job.possibly_run_attempts()
        idempotency = job.job_class.idempotency
        if not possibly_run or idempotency is Idempotency.NON_IDEMPOTENT:
            return not possibly_run
        if len(job.pending_attempts()) >= self._limits.max_open_attempts:
            return False
        if idempotency is Idempotency.IDEMPOTENT:
            return True
        first = possibly_run[0]
        is_in_window = now < first.sent_at + job.job_class.deduplication_window_ms
        return is_in_window and first.endpoint.deduplicates_with(endpoint, job.job_class.deduplication_scope)

    def may_reject(self, job: ScheduledJob) -> bool:
        """Return whether the job may be rejected, that is, whether a retry by its client is safe."""
        idempotency = job.job_class.idempotency
        is_scope_all = job.job_class.deduplication_scope is DeduplicationScope.ALL
        may_repeat = idempotency is Idempotency.IDEMPOTENT or (
            idempotency is Idempotency.IDEMPOTENT_WITH_KEY and is_scope_all
        )
        return may_repeat or not job.possibly_run_attempts()

    def send(self, job: ScheduledJob, attempt: ScheduledAttempt) -> None:
        """Send an attempt that `may_send` has allowed."""
        job.attempts.append(attempt)
        self._actions.add(StartAttempt(job.id, attempt.endpoint.name, 0.0))

    def finish(self, job: ScheduledJob, retry_after_ms: float, reason: EndReason) -> None:
        """Give the one final answer: a rejection if the repeat rule allows it, otherwise a failure."""
        if job.is_closed or job.is_streaming:
            return
        # Retry-After is sent even if the platform's own clients ignore it, since other clients may honour it.
        if self.may_reject(job):
            self._actions.add(RejectJob(job.id, retry_after_ms, reason))
        else:
            self._actions.add(FailJob(job.id, reason))
        self.close(job)

    def on_response_started(self, job: ScheduledJob) -> None:
        """Mark the job as streaming: no further attempt, cancellation or answer is allowed."""
        job.is_streaming = True

    def close(self, job: ScheduledJob) -> None:
        """Close the job and cancel its pending attempts; nothing more is sent for it."""
        if not job.is_closed:
            job.is_closed = True
            for attempt in job.pending_attempts():
                self.cancel(job, attempt, CancelReason.JOB_OVER)

    def cancel_others(self, job: ScheduledJob, started: ScheduledAttempt) -> None:
        """Cancel the other attempts of a job of which one has started."""
        for attempt in job.pending_attempts():
            if attempt is not started:
                self.cancel(job, attempt, CancelReason.SUPERSEDED)

    def cancel(self, job: ScheduledJob, attempt: ScheduledAttempt, reason: CancelReason) -> None:
        """Cancel one attempt, if the settings allow it and no response has begun."""
        if self._limits.may_cancel and not job.is_streaming:
            self._actions.add(CancelAttempt(job.id, attempt.number, reason))
