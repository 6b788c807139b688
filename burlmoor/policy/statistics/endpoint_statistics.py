"""Clean rates of endpoints, and yields of the jobs sent to them.

The yield of a job at an endpoint is its expected weight per ms of run time: the job's effective weight times
its on-time probability, divided by its expected run time there. The number of its slots does not count. The
mean yield of an endpoint is the geometric mean over the jobs recently sent to it. On a full fleet a job has
to reach a minimum yield, a fraction of that mean (`EndpointScorer`).

Each statistic decays. The prior of an endpoint is the mean of its kind or of the fleet.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.policy.statistics.evidence import EVIDENCE_HALF_LIFE_MS, KIND_PRIOR_WEIGHT

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint

PRIOR_CLEAN_RATE = 1.0
CLEAN_RATE_PRIOR_WEIGHT = 4.0
UNKNOWN_LOG_YIELD = -5.0  # prior, low so that every job reaches the minimum yield until jobs were sent
MIN_YIELD = 1e-9


class EndpointStatistics:
    """Clean rates and yields of endpoints, kinds and the fleet."""

    def __init__(self) -> None:
        self.fleet_clean_rate = DecayedMean()
        self.fleet_log_yield = DecayedMean()
        self.kind_log_yield: dict[str, DecayedMean] = defaultdict(DecayedMean)

    def clean_rate(self, endpoint: Endpoint, now: float) -> float:
        """Return the fraction of the endpoint's samples that are clean (see `record_clean_sample`)."""
        fleet = self.fleet_clean_rate.read(
            now, EVIDENCE_HALF_LIFE_MS, PRIOR_CLEAN_RATE, CLEAN_RATE_PRIOR_WEIGHT
        )
        return endpoint.clean_rate.read(now, EVIDENCE_HALF_LIFE_MS, fleet, KIND_PRIOR_WEIGHT)

    def mean_yield(self, endpoint: Endpoint, now: float) -> float:
        """Return the endpoint's mean yield in weight per ms of run time.

        The mean is geometric, so that a few jobs of exceptional weight affect it little.
        """
        fleet = self.fleet_log_yield.read(now, EVIDENCE_HALF_LIFE_MS, UNKNOWN_LOG_YIELD)
        kind = self.kind_log_yield[endpoint.kind].read(now, EVIDENCE_HALF_LIFE_MS, fleet, KIND_PRIOR_WEIGHT)
        return math.exp(endpoint.log_yield.read(now, EVIDENCE_HALF_LIFE_MS, kind, KIND_PRIOR_WEIGHT))

    def record_clean_sample(self, endpoint: Endpoint, now: float, *, is_clean: bool) -> None:
        """Record a sample of the clean rate.

        A served job counts as clean if it is in time or not slow. An error, a reset and a failed connection
        do not, nor does a check that finds a pending attempt silent; each such check adds a sample. Other
        outcomes, such as a timeout, add none.
        """
        endpoint.clean_rate.add(now, float(is_clean), EVIDENCE_HALF_LIFE_MS)
        self.fleet_clean_rate.add(now, float(is_clean), EVIDENCE_HALF_LIFE_MS)

    def record_yield(self, endpoint: Endpoint, expected_yield: float, now: float) -> None:
        """Record the expected yield of a job sent to the endpoint, in weight per ms of run time."""
        log_yield = math.log(max(expected_yield, MIN_YIELD))
        for mean in (endpoint.log_yield, self.kind_log_yield[endpoint.kind], self.fleet_log_yield):
            mean.add(now, log_yield, EVIDENCE_HALF_LIFE_MS)
