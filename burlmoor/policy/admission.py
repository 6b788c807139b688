"""Admission: turns a request into a job with an objective, a deadline and a priority."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.policy.model.job import JobTimes, JobWeights, ScheduledJob

if TYPE_CHECKING:
    import random

    from burlmoor.policy.statistics.node_statistics import NodeStatistics
    from burlmoor.types.events import JobRequest
    from burlmoor.types.settings import JobClass, Settings

# The maximum that each component adds to a job's priority.
SHORT_OBJECTIVE_WEIGHT = 1.0
QUOTA_WEIGHT = 1.0
WEIGHT_DENSITY_WEIGHT = 8.0
DEFERRAL_WEIGHT = 1.0  # for a job that was deferred
# The fraction of jobs that are sent even where they are unlikely to finish in time: their outcomes correct
# estimates that are too pessimistic.
EXPLORATION_FRACTION = 0.06


class Admission:
    """Admits requests: computes each job's objective, deadline, weights and priority."""

    def __init__(self, settings: Settings, statistics: NodeStatistics, rng: random.Random) -> None:
        self._settings = settings
        self._statistics = statistics
        self._rng = rng
        classes = settings.classes
        self._classes = {job_class.name: job_class for job_class in classes}
        self._shortest_objective_ms = max(1.0, min(job_class.latency_objective_ms for job_class in classes))

    def admit(self, request: JobRequest, now: float) -> ScheduledJob:
        """Return the job for a request; an unknown class is treated as the first class."""
        job_class = self._classes.get(request.job_class) or self._settings.classes[0]
        work_ms = request.work_ms
        if not 0.0 < work_ms < math.inf:
            work_ms = self._statistics.demand.estimate_work(job_class, now)
        times = self._compute_times(request, job_class, work_ms, now)
        is_exploratory = self._rng.random() < EXPLORATION_FRACTION
        self._statistics.record_arrival(work_ms, work_ms * request.slots, now)
        key_fraction = self._statistics.demand.record_key(request.affinity_key, now)
        weights = self._compute_weights(request, job_class, work_ms, times.objective_ms, now)
        return ScheduledJob(
            request, job_class, work_ms, times, weights, key_fraction, is_exploratory=is_exploratory
        )

    def _compute_times(
        self, request: JobRequest, job_class: JobClass, work_ms: float, now: float
    ) -> JobTimes:
        stretched_ms = job_class.latency_objective_ms + job_class.objective_stretch * work_ms
        objective_ms = min(stretched_ms, job_class.deadline_ms)
        deadline_at = now + request.timeout_ms
        # The time for which a job was deferred does not count as time spent on earlier tries.
        client_timeout_ms = request.timeout_ms + request.deferred_ms
        longest_timeout_ms = self._statistics.demand.record_timeout(job_class.name, client_timeout_ms)
        # The objective is measured from the client's first request for the job, so the time that its earlier
        # tries took is subtracted: the amount by which its timeout is below the longest one of the class. A
        # timeout shorter than the objective is taken for an impatient client, not a late retry.
        spent_ms = longest_timeout_ms - client_timeout_ms if request.timeout_ms >= objective_ms else 0.0
        objective_at = min(deadline_at, now + objective_ms - spent_ms)
        useful_until = deadline_at if job_class.late_fraction > 0.0 else objective_at
        return JobTimes(objective_ms, objective_at, useful_until, deadline_at)

    def _compute_weights(
        self, request: JobRequest, job_class: JobClass, work_ms: float, objective_ms: float, now: float
    ) -> JobWeights:
        """Compute the job's weights by class and tenant, and record it in the statistics of requests."""
        demand, class_weights = self._statistics.demand, self._statistics.class_weights
        weight = job_class.priority_weight * (work_ms if self._settings.weight_by_work else 1.0)
        demand.record_weight(weight, now)
        fraction_within_quota = demand.record_tenant(request.tenant, now)
        objective_weight = weight * fraction_within_quota
        class_weights.record_request(job_class.name, objective_weight, now)
        weight *= class_weights.weight(job_class.name, now)
        quota_factor = (
            fraction_within_quota + (1.0 - fraction_within_quota) * self._settings.over_quota_fraction
        )
        density = weight / work_ms * quota_factor
        highest_density = self._statistics.record_weight_density(density, now)
        shortness = min(1.0, self._shortest_objective_ms / max(objective_ms, 1.0))
        priority = (
            SHORT_OBJECTIVE_WEIGHT * shortness
            + QUOTA_WEIGHT * fraction_within_quota
            + WEIGHT_DENSITY_WEIGHT * density / highest_density
            + DEFERRAL_WEIGHT * request.deferral_credit
        )
        return JobWeights(weight, objective_weight, priority)
