"""Handles the start, progress, response, cancellation and end of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.policy.dispatch_rounds import DispatchRounds
    from burlmoor.policy.endpoints.fleet_load import FleetLoad
    from burlmoor.policy.endpoints.outcomes import OutcomeRecorder
    from burlmoor.policy.job_checks import JobChecks
    from burlmoor.policy.open_jobs import OpenJobs
    from burlmoor.policy.retries import RetryPolicy
    from burlmoor.policy.safety import RetrySafety
    from burlmoor.types.events import (
        AttemptCancelling,
        AttemptEnded,
        AttemptProgressed,
        AttemptStarted,
        ResponseStarted,
    )


class AttemptEventHandler:
    """Handles the events of attempts; those of an ended attempt are ignored, except for its response."""

    def __init__(
        self,
        jobs: OpenJobs,
        safety: RetrySafety,
        load: FleetLoad,
        rounds: DispatchRounds,
        checks: JobChecks,
        outcomes: OutcomeRecorder,
        retries: RetryPolicy,
    ) -> None:
        self._jobs = jobs
        self._safety = safety
        self._load = load
        self._rounds = rounds
        self._checks = checks
        self._outcomes = outcomes
        self._retries = retries

    def on_started(self, event: AttemptStarted, now: float) -> None:
        """Record the start, and cancel the job's other attempts."""
        found = self._jobs.find_pending_attempt(event.id, event.attempt)
        if found is None:
            return
        self._checks.postpone(found.attempt, now)
        self._outcomes.record_start(found.attempt, now)
        if not found.job.is_closed:
            self._rounds.withdraw(found.job)
            self._safety.cancel_others(found.job, found.attempt)

    def on_progressed(self, event: AttemptProgressed, now: float) -> None:
        """Record the progress, and postpone the attempt's next check."""
        found = self._jobs.find_pending_attempt(event.id, event.attempt)
        if found is not None:
            self._checks.postpone(found.attempt, now)
            self._outcomes.record_progress(found.job, found.attempt, event.fraction, now)

    def on_response_started(self, event: ResponseStarted, _now: float) -> None:
        """Mark the job as streaming: no further attempt, cancellation or answer is allowed."""
        job = self._jobs.by_id.get(event.id)
        if job is not None:
            self._safety.on_response_started(job)

    def on_cancelling(self, event: AttemptCancelling, now: float) -> None:
        """Record the cancellation, and retry the job if that is safe while the attempt is still pending."""
        found = self._jobs.find_pending_attempt(event.id, event.attempt)
        if found is not None:
            self._outcomes.record_cancelling(found.attempt, event.outcome, now)
            self._retries.on_cancelling(found.job, event.outcome, now)

    def on_ended(self, event: AttemptEnded, now: float) -> None:
        """Record the outcome, then close the job if it is answered, or else retry or end it."""
        found = self._jobs.find_pending_attempt(event.id, event.attempt)
        if found is None:
            return
        job, attempt = found
        self._outcomes.record_end(job, attempt, event.outcome, event.elapsed_ms, now)
        self._load.release(attempt.endpoint, job)
        if event.is_job_closed:
            self._safety.close(job)
        elif not job.is_closed:
            self._retries.retry_or_finish(job, now)
        self._jobs.forget_if_over(job)
