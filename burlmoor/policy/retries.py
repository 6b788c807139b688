"""Retries failed jobs, and redistributes jobs whose attempts are overdue or silent.

A retry is another attempt after one has failed. Redistribution sends a job to another endpoint while an
attempt is pending: concurrently (hedging) where the settings allow it, otherwise once the pending attempt is
cancelled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.dispatch_rounds import REDISPATCH_TICKS
from burlmoor.policy.policy_warnings import PolicyWarning
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason, EndReason
from burlmoor.types.settings import Idempotency

if TYPE_CHECKING:
    from burlmoor.policy.dispatch_rounds import DispatchRounds
    from burlmoor.policy.job_checks import JobChecks
    from burlmoor.policy.model.attempt import ScheduledAttempt
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.open_jobs import OpenJobs
    from burlmoor.policy.policy_warnings import WarningLimiter
    from burlmoor.policy.redistribution_budget import RedistributionBudget
    from burlmoor.policy.safety import RetrySafety
    from burlmoor.policy.statistics.node_statistics import NodeStatistics
    from burlmoor.types.settings import Settings

SILENT_ENDPOINT_MS = 3000.0  # an endpoint that has reported nothing for this long may not be working


class RetryPolicy:
    """Retries, redistributes or ends a job whose attempt is overdue, hangs or has failed."""

    def __init__(
        self,
        settings: Settings,
        statistics: NodeStatistics,
        jobs: OpenJobs,
        safety: RetrySafety,
        rounds: DispatchRounds,
        checks: JobChecks,
        budget: RedistributionBudget,
        warnings: WarningLimiter,
    ) -> None:
        self._limits = settings.limits
        self._tick_ms = settings.tick_ms
        self._statistics = statistics
        self._jobs = jobs
        self._safety = safety
        self._rounds = rounds
        self._checks = checks
        self._budget = budget
        self._warnings = warnings

    def check(self, job: ScheduledJob, now: float) -> None:
        """Check a job at its deadline, or when its attempts should have reported a start or progress."""
        if job.is_closed or job.is_streaming:
            return
        has_started = any(attempt.started_at is not None for attempt in job.pending_attempts())
        if now >= job.deadline_at - self._tick_ms:
            self._jobs.reject_or_fail(job, EndReason.DEADLINE)
            return
        if now >= job.useful_until and not has_started:
            # The job has not started and a result is no longer useful: free its slots.
            self._jobs.reject_or_fail(job, EndReason.NOT_STARTED)
            return
        for attempt in job.pending_attempts():
            if now >= attempt.check_at and not attempt.is_cancelling:
                self._check_attempt(job, attempt, now)
        self._checks.schedule_next(job, now)

    def _check_attempt(self, job: ScheduledJob, attempt: ScheduledAttempt, now: float) -> None:
        self._checks.postpone(attempt, now)
        if attempt.started_at is None and not attempt.is_overdue:
            self._handle_overdue(job, attempt, now)
        elif attempt.started_at is None and attempt.awaits_late_redistribution:
            attempt.awaits_late_redistribution = False
            self._redistribute_unstarted(job, attempt, now)
        else:
            self._statistics.endpoints.record_clean_sample(attempt.endpoint, now, is_clean=False)
            self._warnings.warn(PolicyWarning.SILENT_ENDPOINTS, now)
            reason = CancelReason.OVERDUE if attempt.started_at is None else CancelReason.SILENT
            self._redistribute(job, attempt, reason, now)

    def _handle_overdue(self, job: ScheduledJob, attempt: ScheduledAttempt, now: float) -> None:
        """Mark the attempt overdue, so that its endpoint gets no job until the attempt starts or ends.

        The job is redistributed now if the endpoint is silent, and as late as is useful if the endpoint has
        not reported lately but may be new to this process. Otherwise it stays, since it is queued at the
        endpoint or no other endpoint could serve it in time.
        """
        endpoint = attempt.endpoint
        start_delays = self._statistics.start_delays
        redistribution_ms = attempt.expected_ms + start_delays.start_grace(endpoint.zone)
        attempt.mark_overdue()
        start_delays.record_delay(endpoint, now - attempt.sent_at, now, has_started=False)
        if endpoint.is_silent_since(now - SILENT_ENDPOINT_MS):
            self._redistribute_unstarted(job, attempt, now)
        elif (
            not endpoint.has_reported_since(now - SILENT_ENDPOINT_MS)
            and now < job.useful_until - redistribution_ms
        ):
            # The endpoint may be down, or connecting to it may take long: wait until the last time at which
            # another can serve the job.
            attempt.awaits_late_redistribution = True
            self._checks.check_no_later_than(attempt, job.useful_until - redistribution_ms)

    def _redistribute_unstarted(self, job: ScheduledJob, attempt: ScheduledAttempt, now: float) -> None:
        if self._may_redistribute_unstarted(job, now):
            self._budget.take_token()
            self._redistribute(job, attempt, CancelReason.OVERDUE, now)

    def _may_redistribute_unstarted(self, job: ScheduledJob, now: float) -> bool:
        """Return whether a job may be redistributed because its attempt is overdue, not yet silent.

        The job may run at both endpoints, so unlimited redistribution would aggravate an overload. It is
        limited to a few jobs, and to times when endpoints start jobs promptly.
        """
        prompt_fraction = self._statistics.start_delays.prompt_fraction(now)
        return (
            prompt_fraction * self._limits.max_attempts > 1.0
            and self._budget.has_token()
            and job.job_class.idempotency is Idempotency.IDEMPOTENT
        )

    def _redistribute(
        self, job: ScheduledJob, attempt: ScheduledAttempt, reason: CancelReason, now: float
    ) -> None:
        """Redistribute a job, if the limits on attempts and the idempotency of its class allow it."""
        if job.is_queued or not self._limits.may_cancel:
            return
        if len(job.attempts) >= self._limits.max_attempts:
            return
        if job.job_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return
        if not self._limits.may_hedge:
            self._safety.cancel(job, attempt, reason)
        elif len(job.pending_attempts()) == 1:
            self._rounds.enqueue(job, now, REDISPATCH_TICKS)

    def on_cancelling(self, job: ScheduledJob, outcome: Outcome, now: float) -> None:
        """Send a job again, if that is safe while its cancelled attempt is pending; not after a timeout."""
        if not job.is_closed and outcome is not Outcome.TIMEOUT:
            self.retry_or_finish(job, now)

    def retry_or_finish(self, job: ScheduledJob, now: float) -> None:
        """Requeue a job whose attempt brought no result, or end it if a retry is unsafe or useless.

        If a cancelled attempt that is still pending prevents a retry, the job waits for that attempt to end.
        """
        pending = job.pending_attempts()
        if job.is_queued or any(not attempt.is_cancelling for attempt in pending):
            return
        last = (job.possibly_run_attempts() or job.attempts)[-1]
        if now < job.useful_until and self._safety.may_send(job, last.endpoint, now):
            self._rounds.enqueue_retry(job, now)
        elif not pending:
            self._jobs.reject_or_fail(job, EndReason.NO_RETRY)
