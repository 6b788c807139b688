"""Load shedding: rejects queued jobs that can no longer finish in time or that exceed the capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.policy_warnings import PolicyWarning
from burlmoor.types.reasons import EndReason

if TYPE_CHECKING:
    from burlmoor.policy.endpoints.fleet_load import FleetLoad
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.open_jobs import OpenJobs
    from burlmoor.policy.policy_warnings import WarningLimiter
    from burlmoor.policy.statistics.run_statistics import RunStatistics

MAX_RESPONSE_TO_OBJECTIVE = 0.8  # total expected response time of the waiting jobs / their total objective
OPTIMISTIC_FASTEST_SLOWNESS = 0.5  # time per unit of work, until a kind of endpoint has been used


class LoadShedder:
    """Rejects queued jobs, those of the lowest priority first."""

    def __init__(
        self, runs: RunStatistics, load: FleetLoad, jobs: OpenJobs, warnings: WarningLimiter
    ) -> None:
        self._runs = runs
        self._load = load
        self._jobs = jobs
        self._warnings = warnings

    def shed(
        self, queue: list[ScheduledJob], slowness: float, round_ms: float, now: float
    ) -> list[ScheduledJob]:
        """Reject the jobs that can no longer finish in time or that exceed the capacity; return the others.

        A job that is too late but has a pending attempt leaves the queue without an answer. The queue is in
        order of priority; `slowness` is the fleet's time per unit of work.
        """
        fastest = self._runs.slowness_of_fastest_kind(now, OPTIMISTIC_FASTEST_SLOWNESS)
        parallel_slots = self._load.parallel_slots()
        remaining: list[ScheduledJob] = []
        excess: list[ScheduledJob] = []
        ahead_ms = response_ms = objectives_ms = 0.0
        for job in queue:
            # An exploratory job is never too late here; its check ends it.
            min_run_ms = 0.0 if job.is_exploratory else fastest * job.work_ms
            if now + min_run_ms > max(job.useful_until, now):
                if not job.pending_attempts():
                    self._jobs.reject_or_fail(job, EndReason.TOO_LATE)
                continue
            if job.rounds_waited > 0:
                # Equation 2 of ATHOS (docs/design.md, "The policy"): compare the expected response times of
                # the queued jobs with their objectives. A response time is the time that the job has waited,
                # the time to serve the jobs ahead and this one on all slots in parallel, and its run time.
                ahead_ms += slowness * job.work_ms * job.slots / parallel_slots
                response_ms += now - (job.objective_at - job.objective_ms) + ahead_ms + slowness * job.work_ms
                objectives_ms += job.objective_ms + round_ms
            is_overload = response_ms > MAX_RESPONSE_TO_OBJECTIVE * objectives_ms
            is_excess = is_overload and job.rounds_waited > 0 and not job.attempts
            (excess if is_excess else remaining).append(job)
        self._reject_excess(excess, now)
        return remaining

    def _reject_excess(self, excess: list[ScheduledJob], now: float) -> None:
        """Reject these jobs, which are in order of priority, from the lowest priority up."""
        for job in reversed(excess):
            self._jobs.reject_or_fail(job, EndReason.OVERLOAD)
        if excess:
            self._warnings.warn(PolicyWarning.OVERLOAD, now)
