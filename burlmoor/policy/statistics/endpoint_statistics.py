"""The clean rates of endpoints, and the yields of the jobs sent there.

The yield of a job at an endpoint is the priority weight that a ms of a slot is expected to produce there: the
job's weight times its on-time probability, divided by the time for which it holds the slot. The mean yield of
an endpoint is the geometric mean over the jobs sent there recently. On a full fleet a job has to reach a
minimum yield, a fraction of that mean (`EndpointScorer`).

Each figure decays, and falls back from the endpoint to its kind or the fleet while there is little evidence.
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
UNKNOWN_LOG_YIELD = -5.0  # before any job was sent: low, so that every job reaches the minimum yield
MIN_YIELD = 1e-9


class EndpointStatistics:
    """Measured clean rates and yields."""

    def __init__(self) -> None:
        self.fleet_clean_rate = DecayedMean()
        self.fleet_log_yield = DecayedMean()
        self.kind_log_yield: dict[str, DecayedMean] = defaultdict(DecayedMean)

    def clean_rate(self, endpoint: Endpoint, now: float) -> float:
        """Return the fraction of attempts that end here without a fault and in time."""
        fleet = self.fleet_clean_rate.read(
            now, EVIDENCE_HALF_LIFE_MS, PRIOR_CLEAN_RATE, CLEAN_RATE_PRIOR_WEIGHT
        )
        return endpoint.clean_rate.read(now, EVIDENCE_HALF_LIFE_MS, fleet, KIND_PRIOR_WEIGHT)

    def mean_yield(self, endpoint: Endpoint, now: float) -> float:
        """Return the endpoint's mean yield in priority weight per ms of a slot.

        The mean is geometric, so that a few jobs of many times the usual weight move it little.
        """
        fleet = self.fleet_log_yield.read(now, EVIDENCE_HALF_LIFE_MS, UNKNOWN_LOG_YIELD)
        kind = self.kind_log_yield[endpoint.kind].read(now, EVIDENCE_HALF_LIFE_MS, fleet, KIND_PRIOR_WEIGHT)
        return math.exp(endpoint.log_yield.read(now, EVIDENCE_HALF_LIFE_MS, kind, KIND_PRIOR_WEIGHT))

    def record_attempt_end(self, endpoint: Endpoint, now: float, *, is_clean: bool) -> None:
        """Count an attempt that ended cleanly or not."""
        endpoint.clean_rate.add(now, float(is_clean), EVIDENCE_HALF_LIFE_MS)
        self.fleet_clean_rate.add(now, float(is_clean), EVIDENCE_HALF_LIFE_MS)

    def record_yield(self, endpoint: Endpoint, expected_yield: float, now: float) -> None:
        """Count a job sent to the endpoint, by its expected yield in priority weight per ms of a slot."""
        log_yield = math.log(max(expected_yield, MIN_YIELD))
        for mean in (endpoint.log_yield, self.kind_log_yield[endpoint.kind], self.fleet_log_yield):
            mean.add(now, log_yield, EVIDENCE_HALF_LIFE_MS)
