"""Load shedding: which queued jobs are rejected, since they can no longer count or the load is too high."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.reasons import EndReason

if TYPE_CHECKING:
    from burlmoor.policy.context import PolicyContext
    from burlmoor.policy.model.job import ScheduledJob

MAX_QUEUE_LOAD = 0.8  # of the jobs' objectives, the time that queued jobs will have taken
UNKNOWN_FASTEST_SLOWNESS = 0.5  # time per unit of work while no kind of endpoint has been met: optimistic


class LoadShedder:
    """Rejects queued jobs, those of the lowest priority first."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context

    def shed(
        self, queue: list[ScheduledJob], slowness: float, round_ms: float, now: float
    ) -> list[ScheduledJob]:
        """Reject what cannot be in time any more, and what is too much for the fleet; return the rest.

        The queue is in order of priority; `slowness` is the fleet's time per unit of work.
        """
        fastest = self._context.statistics.endpoints.slowness_of_fastest_kind(now, UNKNOWN_FASTEST_SLOWNESS)
        parallel_slots = self._context.endpoints.parallel_slots()
        remaining: list[ScheduledJob] = []
        excess: list[ScheduledJob] = []
        ahead_ms = taken_ms = objectives_ms = 0.0
        for job in queue:
            least_ms = 0.0 if job.is_exploratory else fastest * job.work_ms
            if now + least_ms > max(job.useful_until, now):
                self._drop_from_queue(job)
                continue
            if job.rounds_waited > 0:
                # Equation 2: time that queued jobs will have taken, against their objectives.
                ahead_ms += slowness * job.work_ms * job.slots / parallel_slots
                taken_ms += now - (job.objective_at - job.objective_ms) + ahead_ms + slowness * job.work_ms
                objectives_ms += job.objective_ms + round_ms
            is_overload = taken_ms > MAX_QUEUE_LOAD * objectives_ms
            is_excess = is_overload and job.rounds_waited > 0 and not job.attempts
            (excess if is_excess else remaining).append(job)
        for job in reversed(excess):
            self._context.jobs.abandon(job, EndReason.OVERLOAD)
        if excess:
            self._context.warn("overload: refusing the least worth", now)
        return remaining

    def _drop_from_queue(self, job: ScheduledJob) -> None:
        job.is_queued = False
        if not job.pending_attempts():
            self._context.jobs.abandon(job, EndReason.TOO_LATE)
