"""Statistics of the jobs that arrive at one node: work, cost, priority weight, keys and tenants."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.policy.statistics.evidence import EVIDENCE_HALF_LIFE_MS

if TYPE_CHECKING:
    from burlmoor.types.settings import JobClass, Settings

COST_HALF_LIFE_MS = 64_000.0  # of the mean cost; long, so that nodes that see few jobs agree on it
MIN_MEAN_COST = 1e-3
MAX_TRACKED_KEYS = 1000
KEY_PRIOR_JOBS = 10.0  # assumed jobs of other keys: keep a key's fraction low while few jobs have arrived
CURRENT_JOB_WEIGHT = 0.5  # subtracted to offset the effect of a job on its own key's fraction
UNHINTED_WORK_FRACTION = 0.5  # of the class's latency objective; assumed as work until a job was served
INITIAL_WEIGHT_DENSITY = 1e-9  # priority weight per ms of work, until the first job arrives


class DemandStatistics:
    """Rates and means of the jobs that have arrived. Times are in ms."""

    def __init__(self, settings: Settings) -> None:
        self.quotas_per_second = {  # this node's share
            tenant.name: tenant.quota_per_second / settings.node_count for tenant in settings.tenants
        }
        self.jobs_by_tenant: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.run_ms_by_class = {job_class.name: DecayedMean() for job_class in settings.classes}
        self.longest_timeout_ms = {job_class.name: 0.0 for job_class in settings.classes}
        self.mean_weight = DecayedMean()  # priority weight of a job, without its class weight
        self.highest_weight_density = INITIAL_WEIGHT_DENSITY
        self.mean_cost = 1.0  # work times slots of a job
        self._cost = DecayedMean()
        self._jobs_with_key = DecayedMean()
        self._jobs_by_key: dict[str, DecayedMean] = {}  # the least recently used first

    def estimate_work(self, job_class: JobClass, now: float) -> float:
        """Return the estimated work in ms of a job without a hint: the mean run time of its class.

        The slowness of the endpoints that ran those jobs is not taken out.
        """
        prior = UNHINTED_WORK_FRACTION * job_class.latency_objective_ms
        return max(1.0, self.run_ms_by_class[job_class.name].read(now, EVIDENCE_HALF_LIFE_MS, prior))

    def record_timeout(self, class_name: str, timeout_ms: float) -> float:
        """Record a client's timeout; return the longest one of this class."""
        longest = max(timeout_ms, self.longest_timeout_ms[class_name])
        self.longest_timeout_ms[class_name] = longest
        return longest

    def record_cost(self, cost: float, now: float) -> None:
        """Record a job's cost, which is its work times its slots."""
        self._cost.add(now, cost, COST_HALF_LIFE_MS)
        self.mean_cost = max(MIN_MEAN_COST, self._cost.total / self._cost.weight)

    def record_weight(self, priority_weight: float, now: float) -> None:
        """Record a job's priority weight (times work, with `weight_by_work`), without its class weight."""
        self.mean_weight.add(now, priority_weight, EVIDENCE_HALF_LIFE_MS)

    def record_run(self, class_name: str, run_ms: float, now: float) -> None:
        """Record the run time of a served job."""
        self.run_ms_by_class[class_name].add(now, run_ms, EVIDENCE_HALF_LIFE_MS)

    def record_key(self, key: str, now: float) -> float:
        """Record a job with this key; return the fraction of all keyed jobs that have it."""
        if not key:
            return 0.0
        key_jobs = self._jobs_by_key.pop(key, DecayedMean())
        self._jobs_by_key[key] = key_jobs
        if len(self._jobs_by_key) > MAX_TRACKED_KEYS:
            del self._jobs_by_key[next(iter(self._jobs_by_key))]
        key_jobs.add(now, 1.0, EVIDENCE_HALF_LIFE_MS)
        self._jobs_with_key.add(now, 1.0, EVIDENCE_HALF_LIFE_MS)
        return (key_jobs.weight - CURRENT_JOB_WEIGHT) / (self._jobs_with_key.weight + KEY_PRIOR_JOBS)

    def record_tenant(self, tenant: str, now: float) -> float:
        """Record a job of this tenant; return the fraction of the tenant's jobs within its quota."""
        quota = self.quotas_per_second.get(tenant, 0.0)
        # Unknown tenants share one entry, so that client-supplied names cannot exhaust memory.
        jobs = self.jobs_by_tenant[tenant if tenant in self.quotas_per_second else ""]
        jobs.add(now, 1.0, EVIDENCE_HALF_LIFE_MS)
        jobs_per_second = jobs.weight * math.log(2.0) / EVIDENCE_HALF_LIFE_MS * 1000.0
        return min(1.0, quota / jobs_per_second) if quota > 0.0 else 1.0
