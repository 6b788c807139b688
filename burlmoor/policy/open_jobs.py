"""The jobs that this node has admitted and still owes an answer or an attempt's outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from burlmoor.policy.model.job import ScheduledAttempt, ScheduledJob
    from burlmoor.policy.safety import RetrySafety
    from burlmoor.types.reasons import EndReason


class OpenJobs:
    """Finds jobs by id, ends them, and forgets those that are over."""

    def __init__(self, safety: RetrySafety, rng: random.Random, max_retry_after_ms: float) -> None:
        self._safety = safety
        self._rng = rng
        self._max_retry_after_ms = max_retry_after_ms
        self.by_id: dict[int, ScheduledJob] = {}

    def find_attempt(self, job_id: int, number: int) -> tuple[ScheduledJob, ScheduledAttempt] | None:
        """Return a job and its attempt of this number, if its outcome is not known yet."""
        job = self.by_id.get(job_id)
        if job is None or not 0 <= number < len(job.attempts) or job.attempts[number].outcome is not None:
            return None
        return job, job.attempts[number]

    def abandon(self, job: ScheduledJob, reason: EndReason) -> None:
        """Reject the job, or fail it where that is not safe, with a Retry-After spread at random.

        Every rejection comes from here. Callers: `LoadShedder` and `RetryPolicy`, which say why.
        """
        self._safety.finish(job, self._rng.uniform(0.5, 1.0) * self._max_retry_after_ms, reason)
        self.forget_if_over(job)

    def forget_if_over(self, job: ScheduledJob) -> None:
        """Drop a closed job none of whose attempts is pending."""
        if job.is_closed and not job.pending_attempts():
            self.by_id.pop(job.id, None)
