"""All statistics of one node, grouped by subject."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.statistics.class_weights import ClassWeights
from burlmoor.policy.statistics.demand import DemandStatistics
from burlmoor.policy.statistics.endpoint_statistics import EndpointStatistics
from burlmoor.policy.statistics.estimate_errors import EstimateErrors
from burlmoor.policy.statistics.evidence import EVIDENCE_HALF_LIFE_MS
from burlmoor.policy.statistics.run_statistics import RunStatistics
from burlmoor.policy.statistics.start_delay_statistics import StartDelayStatistics

if TYPE_CHECKING:
    from burlmoor.types.settings import Settings


class NodeStatistics:
    """The statistics of one node; those of individual endpoints are stored in `Endpoint`."""

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.classes
        self._is_weighted_by_work = settings.weight_by_work
        self.runs = RunStatistics()
        self.start_delays = StartDelayStatistics(settings.tick_ms, self.runs)
        self.endpoints = EndpointStatistics()
        self.estimate_errors = EstimateErrors()
        self.demand = DemandStatistics(settings)
        self.class_weights = ClassWeights(settings.objective)

    def record_arrival(self, work_ms: float, cost: float, now: float) -> None:
        """Record the work and the cost (work times slots) of a job that has arrived."""
        self.runs.mean_work.add(now, work_ms, EVIDENCE_HALF_LIFE_MS)
        self.demand.record_cost(cost, now)

    def record_weight_density(self, density: float, now: float) -> float:
        """Record a job's weight density; return the highest one, by which densities are normalized.

        The density is the job's effective weight per ms of work, reduced if its tenant is over quota. The
        highest is that of all jobs so far or, if weight depends on work, that of the classes and of this job.
        """
        highest = max(self._highest_class_density(now) or self.demand.highest_weight_density, density)
        self.demand.highest_weight_density = highest
        return highest

    def _highest_class_density(self, now: float) -> float:
        """Return the highest density that a class can have now; 0 if weight doesn't depend on work."""
        if not self._is_weighted_by_work:
            return 0.0
        weight = self.class_weights.weight
        return max(job_class.priority_weight * weight(job_class.name, now) for job_class in self._classes)
