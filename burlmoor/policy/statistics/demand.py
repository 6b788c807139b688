"""Statistics of the jobs that arrive at one node: work, cost, priority weight, keys and tenants."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.policy.statistics.evidence import EVIDENCE_HALF_LIFE_MS

if TYPE_CHECKING:
    from burlmoor.types.settings import JobClass, Settings

COST_HALF_LIFE_MS = 64_000.0  # of the mean cost: long, so that nodes that see few jobs agree on it
MIN_MEAN_COST = 1e-3
MAX_TRACKED_KEYS = 1000
KEY_PRIOR_JOBS = 10.0  # with other keys: keeps a key's fraction low while few jobs have arrived
CURRENT_JOB_WEIGHT = 0.5  # subtracted, so that a job does not raise its own key's fraction
UNHINTED_WORK_FRACTION = 0.5  # of the class's objective: the work assumed while no job was served
INITIAL_WEIGHT_DENSITY = 1e-9  # priority weight per ms of work, until a job has arrived


class DemandStatistics:
    """Rates and means over the jobs that have arrived. Times are ms."""

    def __init__(self, settings: Settings) -> None:
        self.quotas_per_second = {  # of this node
            tenant.name: tenant.quota_per_second / settings.node_count for tenant in settings.tenants
        }
        self.jobs_by_tenant: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.run_by_class = {job_class.name: DecayedMean() for job_class in settings.classes}
        self.longest_timeout_ms = {job_class.name: 0.0 for job_class in settings.classes}
        self.mean_weight = DecayedMean()  # priority weight of a job
        self.highest_weight_density = INITIAL_WEIGHT_DENSITY
        self.mean_cost = 1.0  # of a job: its work times its slots
        self._cost = DecayedMean()
        self._jobs_with_key = DecayedMean()
        self._jobs_by_key: dict[str, DecayedMean] = {}  # the least recently used first

    def estimate_work(self, job_class: JobClass, now: float) -> float:
        """Return the estimated work in ms of a job without a hint."""
        prior = UNHINTED_WORK_FRACTION * job_class.latency_objective_ms
        return max(1.0, self.run_by_class[job_class.name].read(now, EVIDENCE_HALF_LIFE_MS, prior))

    def record_timeout(self, class_name: str, timeout_ms: float) -> float:
        """Count a client's timeout; return the longest one of this class."""
        longest = max(timeout_ms, self.longest_timeout_ms[class_name])
        self.longest_timeout_ms[class_name] = longest
        return longest

    def record_cost(self, cost: float, now: float) -> None:
        """Count a job's cost: its work times its slots."""
        self._cost.add(now, cost, COST_HALF_LIFE_MS)
        self.mean_cost = max(MIN_MEAN_COST, self._cost.total / self._cost.weight)

    def record_weight(self, priority_weight: float, now: float) -> None:
        """Count the priority weight of a job, before its class weight."""
        self.mean_weight.add(now, priority_weight, EVIDENCE_HALF_LIFE_MS)

    def record_run(self, class_name: str, run_ms: float, now: float) -> None:
        """Count how long a served job ran."""
        self.run_by_class[class_name].add(now, run_ms, EVIDENCE_HALF_LIFE_MS)

    def record_key(self, key: str, now: float) -> float:
        """Count a job with this key; return the fraction of all jobs with a key that have this one."""
        if not key:
            return 0.0
        of_key = self._jobs_by_key.pop(key, DecayedMean())
        self._jobs_by_key[key] = of_key
        if len(self._jobs_by_key) > MAX_TRACKED_KEYS:
            del self._jobs_by_key[next(iter(self._jobs_by_key))]
        of_key.add(now, 1.0, EVIDENCE_HALF_LIFE_MS)
        self._jobs_with_key.add(now, 1.0, EVIDENCE_HALF_LIFE_MS)
        return (of_key.weight - CURRENT_JOB_WEIGHT) / (self._jobs_with_key.weight + KEY_PRIOR_JOBS)

    def record_tenant(self, tenant: str, now: float) -> float:
        """Count a job of this tenant; return the fraction of its jobs that is within its quota."""
        quota = self.quotas_per_second.get(tenant, 0.0)
        # Unknown tenants share one entry: names that clients choose must not exhaust memory.
        jobs = self.jobs_by_tenant[tenant if tenant in self.quotas_per_second else ""]
        jobs.add(now, 1.0, EVIDENCE_HALF_LIFE_MS)
        per_second = jobs.weight * math.log(2.0) / EVIDENCE_HALF_LIFE_MS * 1000.0
        return min(1.0, quota / per_second) if quota > 0.0 else 1.0
