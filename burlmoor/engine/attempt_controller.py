"""Starts, cancels and times out attempts; `job_lifecycle` makes their state transitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.engine.job import Attempt
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason

if TYPE_CHECKING:
    from burlmoor.engine.attempt_guard import AttemptGuard
    from burlmoor.engine.deadlines import DeadlineQueue
    from burlmoor.engine.interfaces import Upstream
    from burlmoor.engine.job import Job
    from burlmoor.engine.job_lifecycle import JobLifecycle
    from burlmoor.engine.job_log import JobLog
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.types.actions import CancelAttempt, StartAttempt


class AttemptController:
    """Starts attempts, and cancels them at the policy's request or at their deadlines."""

    def __init__(
        self,
        jobs: JobRegistry,
        deadlines: DeadlineQueue,
        lifecycle: JobLifecycle,
        upstream: Upstream,
        guard: AttemptGuard,
        job_log: JobLog,
    ) -> None:
        self._jobs = jobs
        self._deadlines = deadlines
        self._lifecycle = lifecycle
        self._upstream = upstream
        self._guard = guard
        self._job_log = job_log

    def start(self, action: StartAttempt, now: float) -> None:
        """Start an attempt at the policy's request.

        One that the guard refuses ends at once as unsent, and one past its deadline as timed out.
        """
        job = self._jobs.find_by_number(action.id)
        if job is None:
            return
        attempt_deadline = min(job.deadline, now + action.timeout_ms) if action.timeout_ms else job.deadline
        attempt = Attempt(job, len(job.attempts), action.endpoint, now, attempt_deadline)
        may_start = self._guard.may_start(job, attempt, now)
        job.attempts.append(attempt)
        if not may_start:
            self._lifecycle.on_attempt_ended(attempt, Outcome.UNSENT)
        elif attempt_deadline <= now:
            self._lifecycle.on_attempt_ended(attempt, Outcome.TIMEOUT)
        else:
            if attempt_deadline < job.deadline:
                self._deadlines.schedule(attempt_deadline, attempt)
            self._job_log.count_retry(attempt)
            self._upstream.start_attempt(attempt)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt at the policy's request."""
        job = self._jobs.find_by_number(action.id)
        if job is not None and 0 <= action.attempt < len(job.attempts):
            reason = action.reason or CancelReason.JOB_OVER
            self._cancel(job.attempts[action.attempt], Outcome.CANCELLED, reason)

    def _cancel(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> None:
        if self._lifecycle.begin_cancellation(attempt, outcome, reason):
            self._upstream.cancel_attempt(attempt)

    def expire(self, now: float) -> list[Job]:
        """Time out expired attempts, and all open attempts of expired jobs, also if the job is closed.

        Returns the expired jobs that still need a final answer.
        """
        expired_jobs: list[Job] = []
        while (item := self._deadlines.pop_expired(now)) is not None:
            if isinstance(item, Attempt):
                self._time_out(item, now)
                continue
            # An attempt that is cancelled here may still run, so the job must not be sent again: the guard
            # refuses attempts of a job whose deadline is not later than now.
            item.deadline = min(item.deadline, now)
            if not item.is_closed:
                expired_jobs.append(item)
            for attempt in item.open_attempts():
                self._time_out(attempt, now)
        return expired_jobs

    def _time_out(self, attempt: Attempt, now: float) -> None:
        if attempt.has_ended:
            return
        if now < attempt.job.deadline:
            self._cancel(attempt, Outcome.TIMEOUT, CancelReason.OUT_OF_TIME)
            return
        self._lifecycle.on_attempt_timed_out(attempt, CancelReason.OUT_OF_TIME)
        self._upstream.cancel_attempt(attempt)
