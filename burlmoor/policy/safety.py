"""The rules that every send, rejection and cancel has to keep."""

from __future__ import annotations

from burlmoor.policy.job import ScheduledAttempt, ScheduledJob
from burlmoor.stats.endpoint import Endpoint
from burlmoor.types.actions import (
    Action,
    CancelAttempt,
    FailJob,
    RejectJob,
    StartAttempt,
)
from burlmoor.types.settings import DeduplicationScope, Idempotency, Settings


class Gate:
    """Holds rules 1 and 2: every send, refusal, failure and cancel of every job passes here."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        self.limits, self.actions = settings.limits, actions

    def may_send(self, job: ScheduledJob, worker: Endpoint, now: float) -> bool:
        """Whether one more attempt, at this worker, can break neither rule."""
        if (
            job.done
            or job.streaming
            or now >= job.deadline_at
            or len(job.attempts) >= self.limits.max_attempts
        ):
            return False
        risky, effect = job.risky(), job.job_class.idempotency
        if not risky or effect is Idempotency.NON_IDEMPOTENT:
            return not risky
        if len(job.out()) > (1 if self.limits.may_hedge else 0):
            return False
        if effect is Idempotency.IDEMPOTENT:
            return True
        first, group = risky[0], job.job_class.deduplication_scope
        near = first.worker.zone == worker.zone
        if group is DeduplicationScope.CELL:
            near = near and first.worker.entry.cell == worker.entry.cell
        return now < first.sent + job.job_class.deduplication_window_ms and (
            near or group is DeduplicationScope.ALL
        )

    def may_refuse(self, job: ScheduledJob) -> bool:
        """Whether the client may be told that a retry does no harm."""
        effect, group = job.job_class.idempotency, job.job_class.deduplication_scope
        repeatable = effect is Idempotency.IDEMPOTENT or (
            effect is Idempotency.IDEMPOTENT_WITH_KEY and group is DeduplicationScope.ALL
        )
        return repeatable or not job.risky()

    def send(self, job: ScheduledJob, attempt: ScheduledAttempt) -> None:
        """Send an attempt that `may_send` has allowed."""
        job.attempts.append(attempt)
        self.actions.append(StartAttempt(job.id, attempt.worker.id, 0.0))

    def finish(self, job: ScheduledJob, retry_after: float = 0.0) -> None:
        """Give the one final answer: a refusal where the rules allow it, else a failure."""
        if job.done or job.streaming:
            return
        # The advice is given also where the platform's own clients are not told of it: others may read it.
        self.actions.append(RejectJob(job.id, retry_after) if self.may_refuse(job) else FailJob(job.id))
        self.close(job)

    def close(self, job: ScheduledJob) -> None:
        """The request is over: nothing more goes out for it."""
        if not job.done:
            job.done = True
            self.drop(job)

    def drop(self, job: ScheduledJob, but: ScheduledAttempt | None = None) -> None:
        """Cancel the attempts that can no longer count, where the site lets us."""
        for attempt in job.out():
            if attempt is not but and self.limits.may_cancel and not job.streaming:
                self.actions.append(CancelAttempt(job.id, attempt.number))
