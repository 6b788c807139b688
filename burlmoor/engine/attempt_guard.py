"""Decides whether an attempt may be started, be it the first, a retry or a hedged request.

The check immediately before the first byte is in `upstream/send_precondition.py`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.invariants import Invariant, InvariantMonitor

if TYPE_CHECKING:
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.types.settings import Limits


class AttemptGuard:
    """Refuses attempts that would break a safety rule, even if the policy requests them.

    Two refusals also count as invariant violations: a retry of a non-idempotent job that may have run, and an
    attempt beyond the limit of open ones.
    """

    def __init__(self, limits: Limits, invariants: InvariantMonitor) -> None:
        self._max_attempts = limits.max_attempts
        self._max_open_attempts = limits.max_open_attempts
        self._invariants = invariants

    def may_start(self, job: Job, attempt: Attempt, now: float) -> bool:
        """Return whether a new attempt of the job may be started now."""
        if job.is_closed or now >= job.deadline or attempt.number >= self._max_attempts:
            return False
        if now > job.latest_send_at(attempt):
            return False
        # A call-back identifies its attempt by request id and endpoint: one attempt of a job per endpoint.
        if any(earlier.endpoint == attempt.endpoint for earlier in job.attempts):
            return False
        if job.is_non_idempotent and job.may_have_run():
            self._record_violation(Invariant.REPEAT, attempt)
            return False
        if len(job.open_attempts()) >= self._max_open_attempts:
            self._record_violation(Invariant.SIMULTANEOUS, attempt)
            return False
        return True

    def _record_violation(self, invariant: Invariant, attempt: Attempt) -> None:
        """Record a violation: `policy/safety.py` should have prevented this attempt."""
        self._invariants.record_violation(
            invariant, job_id=attempt.job.id, endpoint=attempt.endpoint, attempt=attempt.number
        )
