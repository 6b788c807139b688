"""Admission: a request becomes a job with an objective, a deadline and a priority."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.policy.model.job import ScheduledJob

if TYPE_CHECKING:
    from burlmoor.policy.context import PolicyContext
    from burlmoor.types.events import JobRequest

# What each part adds to a job's priority at most. The last is for having waited as a deferred job: as much
# as a short objective adds, far less than priority weight.
SHORT_OBJECTIVE_WEIGHT, QUOTA_WEIGHT, WEIGHT_DENSITY_WEIGHT, DEFERRAL_WEIGHT = 1.0, 1.0, 8.0, 1.0
EXPLORATION_SHARE = 0.06  # of jobs, sent even where they look hopeless, lest a wrong estimate stay for good


class Admission:
    """Admits requests: sets what a job is to achieve and what it counts beside others."""

    def __init__(self, context: PolicyContext) -> None:
        self._settings = context.settings
        self._statistics = context.statistics
        self._rng = context.rng
        classes = context.settings.classes
        self._classes = {job_class.name: job_class for job_class in classes}
        self._shortest_objective_ms = max(1.0, min(job_class.latency_objective_ms for job_class in classes))

    def admit(self, request: JobRequest, now: float) -> ScheduledJob:
        """Return the job for a request; a class that is not known counts as the first one."""
        job_class = self._classes.get(request.job_class) or self._settings.classes[0]
        work_ms = request.work_ms
        if not 0.0 < work_ms < math.inf:
            work_ms = self._statistics.demand.estimate_work(job_class, now)
        job = ScheduledJob(request, job_class, work_ms)
        self._set_deadlines(job, request, now)
        job.is_exploratory = self._rng.random() < EXPLORATION_SHARE
        self._statistics.record_arrival(job.work_ms, job.cost, now)
        job.key_share = self._statistics.demand.record_key(job.key, now)
        job.priority = self._weigh(job, request, now)
        return job

    def _set_deadlines(self, job: ScheduledJob, request: JobRequest, now: float) -> None:
        job.deadline_at = now + request.timeout_ms
        # Time that a deferred job waited for its start is not spent on earlier attempts.
        given_ms = request.timeout_ms + request.deferred_ms
        longest_ms = self._statistics.demand.record_timeout(job.job_class.name, given_ms)
        # What the client has spent on earlier attempts is gone from the objective too. A client that waits
        # for less than the objective is in a hurry rather than on a late attempt: it may use all it gives.
        spent_ms = longest_ms - given_ms if request.timeout_ms >= job.objective_ms else 0.0
        job.objective_at = min(job.deadline_at, now + job.objective_ms - spent_ms)
        is_late_useful = job.job_class.late_fraction > 0.0
        job.useful_until = job.deadline_at if is_late_useful else job.objective_at

    def _weigh(self, job: ScheduledJob, request: JobRequest, now: float) -> float:
        """Set what the job counts by class and tenant; return its priority."""
        demand, class_weights = self._statistics.demand, self._statistics.class_weights
        job_class = job.job_class
        job.weight = job_class.priority_weight * (job.work_ms if self._settings.weight_by_work else 1.0)
        demand.record_weight(job.weight, now)
        within_quota = demand.record_tenant(request.tenant, now)
        job.objective_weight = job.weight * within_quota
        class_weights.record_request(job_class.name, job.objective_weight, now)
        job.weight *= class_weights.weight(job_class.name, now)
        quota_factor = within_quota + (1.0 - within_quota) * self._settings.over_quota_fraction
        density = job.weight / job.work_ms * quota_factor
        highest = self._statistics.record_weight_density(density, now)
        shortness = min(1.0, self._shortest_objective_ms / max(job.objective_ms, 1.0))
        return (
            SHORT_OBJECTIVE_WEIGHT * shortness
            + QUOTA_WEIGHT * within_quota
            + WEIGHT_DENSITY_WEIGHT * density / highest
            + DEFERRAL_WEIGHT * request.deferral_credit
        )
