"""Checks of jobs whose attempts are overdue or silent, their redistribution (hedging), and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.statistics.endpoint_statistics import EVIDENCE_HALF_LIFE_MS
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason, EndReason
from burlmoor.types.settings import Idempotency

if TYPE_CHECKING:
    from burlmoor.policy.attempts import AttemptSender
    from burlmoor.policy.context import PolicyContext
    from burlmoor.policy.dispatch_rounds import DispatchRounds
    from burlmoor.policy.model.job import ScheduledAttempt, ScheduledJob

SILENT_ENDPOINT_MS = 3000.0  # an endpoint that has reported nothing for this long may not be working
RETRY_TICKS = 1.0  # a retry waits for a round after about so many ticks


class RetryPolicy:
    """Decides what becomes of a job whose attempt is late, hangs or has failed."""

    def __init__(self, context: PolicyContext, rounds: DispatchRounds, sender: AttemptSender) -> None:
        self._context = context
        self._limits = context.settings.limits
        self._tick_ms = context.settings.tick_ms
        self._measured = context.statistics.endpoints
        self._rounds = rounds
        self._sender = sender

    def check(self, job: ScheduledJob, now: float) -> None:
        """Look at a job of which something should have been heard by now."""
        if job.is_closed or job.is_streaming:
            return
        has_started = any(attempt.started_at is not None for attempt in job.pending_attempts())
        if now >= job.deadline_at - self._tick_ms:
            self._context.jobs.abandon(job, EndReason.DEADLINE)  # rule 1
            return
        if now >= job.useful_until and not has_started:
            # What has not even started when it can no longer count must free its slots.
            self._context.jobs.abandon(job, EndReason.NOT_STARTED)
            return
        for attempt in job.pending_attempts():
            if now >= attempt.check_at and not attempt.is_cancelling:
                self._check_attempt(job, attempt, now)
        self._sender.schedule_next_check(job, now)

    def _check_attempt(self, job: ScheduledJob, attempt: ScheduledAttempt, now: float) -> None:
        attempt.check_at = now + self._sender.max_silence_ms
        if attempt.started_at is None and not attempt.is_overdue:
            self._note_overdue(job, attempt, now)
        elif attempt.started_at is None and attempt.awaits_late_retry:
            attempt.awaits_late_retry = False
            self._redistribute_unstarted(job, attempt, now)
        else:
            self._measured.record_attempt_end(attempt.endpoint, False, now)
            self._context.warn("silent executors: moving repeatable work away", now)
            reason = CancelReason.OVERDUE if attempt.started_at is None else CancelReason.SILENT
            self._redistribute(job, attempt, reason, now)

    def _note_overdue(self, job: ScheduledJob, attempt: ScheduledAttempt, now: float) -> None:
        """Send nothing more to the endpoint until the attempt starts, which waits behind others there."""
        endpoint = attempt.endpoint
        retry_ms = attempt.expected_ms + self._measured.start_grace(endpoint.zone)
        attempt.is_overdue = True
        endpoint.overdue_attempts += 1
        self._measured.record_start_delay(endpoint, now - attempt.sent_at, now, has_started=False)
        if endpoint.is_silent_since(now - SILENT_ENDPOINT_MS):
            self._redistribute_unstarted(job, attempt, now)
        elif not endpoint.has_reported_since(now - SILENT_ENDPOINT_MS) and now < job.useful_until - retry_ms:
            # It may be far away, or not work: wait for it while another could still serve the job after it.
            attempt.awaits_late_retry = True
            attempt.check_at = min(attempt.check_at, job.useful_until - retry_ms)

    def _redistribute_unstarted(self, job: ScheduledJob, attempt: ScheduledAttempt, now: float) -> None:
        if self._may_redistribute_unstarted(job, now):
            self._sender.redistribution_tokens -= 1.0
            self._redistribute(job, attempt, CancelReason.OVERDUE, now)

    def _may_redistribute_unstarted(self, job: ScheduledJob, now: float) -> bool:
        """Return whether an attempt that has not started may be made elsewhere.

        Without these limits redistribution feeds an overload, since the job may run at both endpoints: it is
        for few jobs, and while prompt starts are to be had.
        """
        prompt_rate = self._measured.prompt_start_rate.read(now, EVIDENCE_HALF_LIFE_MS, 1.0)
        return (
            prompt_rate * self._limits.max_attempts > 1.0
            and self._sender.redistribution_tokens >= 1.0
            and job.job_class.idempotency is Idempotency.IDEMPOTENT
        )

    def _redistribute(
        self, job: ScheduledJob, attempt: ScheduledAttempt, reason: CancelReason, now: float
    ) -> None:
        """Send a job elsewhere, where its class allows a repeat and attempts are left."""
        if job.is_queued or not self._limits.may_cancel:
            return
        if len(job.attempts) >= self._limits.max_attempts:
            return
        if job.job_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return
        if not self._limits.may_hedge:
            self._context.safety.cancel(job, attempt, reason)
        elif len(job.pending_attempts()) == 1:
            self._rounds.enqueue(job, now, RETRY_TICKS)

    def on_cancelling(self, job: ScheduledJob, outcome: Outcome, now: float) -> None:
        """Retry a job whose attempt was cancelled, where a second one may be out beside it."""
        if not job.is_closed and outcome is not Outcome.TIMEOUT:
            self.retry_or_abandon(job, now)

    def retry_or_abandon(self, job: ScheduledJob, now: float) -> None:
        """Queue a job whose attempt brought no answer again where that is safe, else end it.

        Where an attempt that was cancelled is still out, and bars a retry, the job waits for its end.
        """
        pending = job.pending_attempts()
        if job.is_queued or any(not attempt.is_cancelling for attempt in pending):
            return
        last = (job.possibly_run_attempts() or job.attempts)[-1]
        if now < job.useful_until and self._context.safety.may_send(job, last.endpoint, now):
            job.rounds_waited += 1
            self._rounds.enqueue(job, now, RETRY_TICKS)
        elif not pending:
            self._context.jobs.abandon(job, EndReason.NO_RETRY)
