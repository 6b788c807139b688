"""Keeps the admitted jobs that are open or have a pending attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from burlmoor.policy.model.attempt import ScheduledAttempt
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.safety import RetrySafety
    from burlmoor.types.reasons import EndReason

MIN_RETRY_AFTER_FRACTION = 0.5  # of the maximum Retry-After


class PendingAttempt(NamedTuple):
    """An attempt whose outcome is not known yet, and its job."""

    job: ScheduledJob
    attempt: ScheduledAttempt


class OpenJobs:
    """Finds jobs by id, rejects or fails them, and forgets those that are over."""

    def __init__(self, safety: RetrySafety, rng: random.Random, max_retry_after_ms: float) -> None:
        self._safety = safety
        self._rng = rng
        self._max_retry_after_ms = max_retry_after_ms
        self.by_id: dict[int, ScheduledJob] = {}

    def add(self, job: ScheduledJob) -> None:
        """Add a job that has just been admitted."""
        self.by_id[job.id] = job

    def find_pending_attempt(self, job_id: int, number: int) -> PendingAttempt | None:
        """Return the job and its attempt with this number; None if it is unknown or the attempt has ended."""
        job = self.by_id.get(job_id)
        if job is None or not 0 <= number < len(job.attempts) or job.attempts[number].outcome is not None:
            return None
        return PendingAttempt(job, job.attempts[number])

    def reject_or_fail(self, job: ScheduledJob, reason: EndReason) -> None:
        """Reject the job with a random Retry-After, or fail it if a rejection is not safe.

        Does nothing for a job that is closed or streaming. All of the policy's rejections are made here, for
        `LoadShedder` and `RetryPolicy`.
        """
        fraction = self._rng.uniform(MIN_RETRY_AFTER_FRACTION, 1.0)
        self._safety.finish(job, fraction * self._max_retry_after_ms, reason)
        self.forget_if_over(job)

    def forget_if_over(self, job: ScheduledJob) -> None:
        """Forget the job if it is over: closed, with no pending attempt."""
        if job.is_closed and not job.pending_attempts():
            self.by_id.pop(job.id, None)
