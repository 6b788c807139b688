"""Starts, cancels and ends the attempts of jobs, and reports them to the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.engine.answers import Served
from burlmoor.engine.job import Attempt, Job
from burlmoor.types.events import AttemptCancelling, AttemptEnded, AttemptProgressed, AttemptStarted
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.attempt_guard import AttemptGuard
    from burlmoor.engine.deadlines import DeadlineQueue
    from burlmoor.engine.interfaces import JobAnswerer, Upstream
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.engine.policy_driver import PolicyDriver
    from burlmoor.types.actions import CancelAttempt, StartAttempt


class AttemptController:
    """Keeps each attempt's state; the first outcome of an attempt counts, later ones change nothing."""

    def __init__(
        self,
        jobs: JobRegistry,
        deadlines: DeadlineQueue,
        policy: PolicyDriver,
        answerer: JobAnswerer,
        upstream: Upstream,
        guard: AttemptGuard,
        clock: Callable[[], float],
    ) -> None:
        self._jobs = jobs
        self._deadlines = deadlines
        self._policy = policy
        self._answerer = answerer
        self._upstream = upstream
        self._guard = guard
        self._clock = clock
        self._job_log = jobs.job_log

    def start(self, action: StartAttempt, now: float) -> None:
        """Start an attempt as the policy asks, or end it unsent if it can't be started any more."""
        job = self._jobs.find_by_number(action.id)
        if job is None:
            return
        attempt_deadline = min(job.deadline, now + action.timeout_ms) if action.timeout_ms else job.deadline
        attempt = Attempt(job, len(job.attempts), action.endpoint, now, attempt_deadline)
        may_start = self._guard.may_start(job, attempt, now)
        job.attempts.append(attempt)
        if not may_start:
            self.end(attempt, Outcome.UNSENT)
        elif attempt_deadline <= now:
            self.end(attempt, Outcome.TIMEOUT)
        else:
            if attempt_deadline < job.deadline:
                self._deadlines.schedule(attempt_deadline, attempt)
            self._job_log.on_attempt_started(attempt)
            self._upstream.start_attempt(attempt)

    def cancel_by_policy(self, action: CancelAttempt, now: float) -> None:
        """Cancel an attempt as the policy asks."""
        job = self._jobs.find_by_number(action.id)
        if job is not None and 0 <= action.attempt < len(job.attempts):
            reason = action.reason or CancelReason.JOB_OVER
            self.cancel_attempt(job.attempts[action.attempt], Outcome.CANCELLED, reason, now)

    def cancel_attempt(self, attempt: Attempt, outcome: Outcome, reason: CancelReason, now: float) -> None:
        """Cancel an attempt; it ends once its endpoint is known not to hold the job any more.

        Without the wait, the job could be sent again while the first endpoint runs it: it may have accepted
        the job just before it hears of this, and one that cannot be reached never hears of it.
        """
        if attempt.has_ended:
            return
        is_first = not attempt.is_cancelling
        if is_first:
            attempt.cancelled_as = outcome
            self._job_log.on_attempt_cancelled(attempt, reason, now)
        job = attempt.job
        if job.is_closed or job.is_non_idempotent:
            self._end_cancelled(attempt)  # it is not sent again in any case
        elif is_first:
            self._policy.post(AttemptCancelling(job.number, attempt.number, attempt.endpoint, outcome))
        self._upstream.cancel_attempt(attempt)

    def _end_cancelled(self, attempt: Attempt) -> None:
        if attempt.cancelled_as is not None:
            self.end(attempt, attempt.cancelled_as)

    def on_job_closed(self, job: Job) -> None:
        """End the attempts that are cancelled: their job is not sent again."""
        for attempt in job.open_attempts():
            self._end_cancelled(attempt)

    def on_cancelled(self, attempt: Attempt) -> None:
        """Note that the endpoint can't hold the job any more."""
        self.end(attempt, attempt.cancelled_as or Outcome.CANCELLED)

    def expire(self, now: float) -> list[Job]:
        """Time out the attempts that are due, and all attempts of the jobs that are due.

        Returns the jobs that were open when their deadline came.
        """
        expired_jobs: list[Job] = []
        while (item := self._deadlines.pop_expired(now)) is not None:
            if isinstance(item, Attempt):
                self._time_out(item, now)
            elif not item.is_closed:
                # What is cancelled here may still be out: nothing is sent for the job from now on.
                item.deadline = min(item.deadline, now)
                for attempt in item.open_attempts():
                    self._time_out(attempt, now)
                expired_jobs.append(item)
        return expired_jobs

    def _time_out(self, attempt: Attempt, now: float) -> None:
        if attempt.has_ended:
            return
        if now < attempt.job.deadline:
            self.cancel_attempt(attempt, Outcome.TIMEOUT, CancelReason.OUT_OF_TIME, now)
            return
        self._job_log.on_attempt_cancelled(attempt, CancelReason.OUT_OF_TIME, now)
        self.end(attempt, Outcome.TIMEOUT)
        self._upstream.cancel_attempt(attempt)

    def report_started(self, attempt: Attempt) -> None:
        """Report to the policy that the endpoint has begun to run the job."""
        if attempt.is_over:
            return
        if attempt.started_at is None:
            attempt.started_at = self._clock()
        self._policy.post(AttemptStarted(attempt.job.number, attempt.number, attempt.endpoint))

    def report_progress(self, attempt: Attempt, fraction: float) -> None:
        """Report to the policy that the endpoint has done this fraction, from 0 to 1, of the job."""
        if not attempt.is_over:
            self._policy.post(
                AttemptProgressed(attempt.job.number, attempt.number, attempt.endpoint, fraction)
            )

    def end(self, attempt: Attempt, outcome: Outcome, result: bytes | None = None) -> None:
        """Record how an attempt ended; the first result that comes is the job's answer."""
        if attempt.has_ended:
            return
        attempt.outcome = outcome
        attempt.ended_at = self._clock()
        job = attempt.job
        if outcome is Outcome.SERVED and not job.is_closed:
            self._answerer.answer_job(job, Served(result or b""))
        elapsed_ms = attempt.ended_at - attempt.sent_at
        self._policy.post(
            AttemptEnded(job.number, attempt.number, attempt.endpoint, outcome, elapsed_ms, job.is_closed)
        )
        self._jobs.forget_if_done(job)
