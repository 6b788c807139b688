"""Run-time statistics: the slowness of endpoints, kinds and the fleet, and the cost of a cache miss.

Slowness is the run time per unit of work, which is hinted by the client or else estimated from the class.
Each statistic decays. The prior of an endpoint is the mean of its kind, and the prior of a kind is the mean
of the fleet. Times are in ms.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.policy.statistics.evidence import EVIDENCE_HALF_LIFE_MS, KIND_PRIOR_WEIGHT

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint

WORK_BUCKET_COUNT = 5  # jobs are grouped by the ratio of their work to the mean, in powers of two
MIN_WORK_MS = 1e-3
NOMINAL_SLOWNESS = 1.0  # without samples
PRIOR_RUN_MS = 500.0
ALL_BUCKETS_PRIOR_WEIGHT = 3.0  # of an endpoint's slowness over all work buckets, as the prior of one
CACHE_PRIOR_WEIGHT = 4.0
MAX_RELATIVE_SLOWNESS = 4.0  # bounds the ratio of one run's slowness to its kind's, in either direction
MIN_RUN_FRACTION = 0.25  # of a run with an expected cache miss: the least that remains without the fetch time


class RunStatistics:
    """Slowness, run times and the time that a cached key saves."""

    def __init__(self) -> None:
        self.fleet_slowness = DecayedMean()
        self.kind_slowness: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.mean_work = DecayedMean()
        self.mean_run = DecayedMean()
        # Run time of keyed jobs minus the expected run time, for expected cache hits and expected misses.
        self.cache_hit_excess = DecayedMean()
        self.cache_miss_excess = DecayedMean()

    def load_half_life(self, now: float) -> float:
        """Return the half-life of load measurements, which is twice the mean run time."""
        return 2.0 * self.mean_run.read(now, EVIDENCE_HALF_LIFE_MS, PRIOR_RUN_MS)

    def work_bucket(self, work_ms: float, now: float) -> int:
        """Return the work bucket of a job, from the ratio of its work to the mean."""
        mean = self.mean_work.read(now, EVIDENCE_HALF_LIFE_MS, work_ms)
        log2_ratio = round(math.log2(max(work_ms, MIN_WORK_MS) / max(mean, MIN_WORK_MS)))
        return max(0, min(WORK_BUCKET_COUNT - 1, WORK_BUCKET_COUNT // 2 + log2_ratio))

    def slowness_of_fleet(self, now: float) -> float:
        """Return the mean slowness of all endpoints."""
        return self.fleet_slowness.read(now, EVIDENCE_HALF_LIFE_MS, NOMINAL_SLOWNESS)

    def slowness_of_kind(self, kind: str, now: float) -> float:
        """Return the mean slowness of endpoints of this kind."""
        fleet = self.fleet_slowness.read(now, EVIDENCE_HALF_LIFE_MS, NOMINAL_SLOWNESS)
        return self.kind_slowness[kind].read(now, EVIDENCE_HALF_LIFE_MS, fleet, KIND_PRIOR_WEIGHT)

    def slowness_of_fastest_kind(self, now: float, default: float) -> float:
        """Return the slowness of the fastest kind, or `default` if no kind has been used."""
        return min((self.slowness_of_kind(kind, now) for kind in self.kind_slowness), default=default)

    def slowness(self, endpoint: Endpoint, work_bucket: int, kind_slowness: float, now: float) -> float:
        """Return the slowness of this endpoint for this work bucket."""
        mean = endpoint.slowness.read(now, EVIDENCE_HALF_LIFE_MS, kind_slowness, KIND_PRIOR_WEIGHT)
        bucket_mean = endpoint.slowness_by_work_bucket[work_bucket]
        return bucket_mean.read(now, EVIDENCE_HALF_LIFE_MS, mean, ALL_BUCKETS_PRIOR_WEIGHT)

    def cache_miss_penalty(self, now: float) -> float:
        """Return how much longer a job runs if its key is not cached."""
        miss = self.cache_miss_excess.read(now, EVIDENCE_HALF_LIFE_MS, 0.0, CACHE_PRIOR_WEIGHT)
        hit = self.cache_hit_excess.read(now, EVIDENCE_HALF_LIFE_MS, 0.0, CACHE_PRIOR_WEIGHT)
        return max(0.0, miss - hit)

    def record_run(
        self, endpoint: Endpoint, work_ms: float, run_ms: float, now: float, weight: float = 1.0
    ) -> float:
        """Record a run time, either measured or extrapolated from progress.

        Return the job's slowness relative to that of the endpoint's kind.
        """
        kind_slowness = self.slowness_of_kind(endpoint.kind, now)
        # Bounded, so that one job that far exceeds its hint doesn't make its endpoint look slow.
        slowness = run_ms / max(work_ms, MIN_WORK_MS)
        slowness = max(
            kind_slowness / MAX_RELATIVE_SLOWNESS, min(MAX_RELATIVE_SLOWNESS * kind_slowness, slowness)
        )
        # Weighted by work, so that the overhead of small jobs doesn't make every endpoint look slow.
        mean_work = self.mean_work.read(now, EVIDENCE_HALF_LIFE_MS, work_ms)
        weight *= min(1.0, work_ms / max(mean_work, MIN_WORK_MS))
        bucket_mean = endpoint.slowness_by_work_bucket[self.work_bucket(work_ms, now)]
        for mean in (bucket_mean, endpoint.slowness, self.kind_slowness[endpoint.kind], self.fleet_slowness):
            mean.add(now, slowness, EVIDENCE_HALF_LIFE_MS, weight)
        self.mean_run.add(now, run_ms, EVIDENCE_HALF_LIFE_MS, weight)
        return slowness / kind_slowness

    def record_cache_use(
        self, endpoint: Endpoint, work_ms: float, run_ms: float, now: float, *, expects_cache_miss: bool
    ) -> float:
        """Record the run time of a keyed job; return it without the time of the expected fetch, if any."""
        kind_slowness = self.slowness_of_kind(endpoint.kind, now)
        usual_ms = work_ms * self.slowness(endpoint, self.work_bucket(work_ms, now), kind_slowness, now)
        excess = self.cache_miss_excess if expects_cache_miss else self.cache_hit_excess
        excess.add(now, run_ms - usual_ms, EVIDENCE_HALF_LIFE_MS)
        if not expects_cache_miss:
            return run_ms
        return max(MIN_RUN_FRACTION * run_ms, run_ms - self.cache_miss_penalty(now))
