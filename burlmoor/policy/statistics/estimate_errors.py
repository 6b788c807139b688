"""How far the response times of served jobs lie from what was expected of them, by class."""

from __future__ import annotations

import math
from collections import defaultdict

from burlmoor.policy.model.decayed_mean import DecayedMean

# The standard deviation of the logarithm of taken over expected time before any is seen, and its weight.
PRIOR_LOG_DEVIATION = 0.4
PRIOR_JOBS = 5.0
MIN_LOG_VARIANCE = 0.01
MAX_LOG_ERROR = 2.0  # what one job may say at most, either way
HALF_LIFE_MS = 30_000.0
RECOMPUTE_INTERVAL_MS = 100.0  # how often a class's distribution is computed anew
LOGISTIC_SLOPE = 1.702  # of the logistic curve that is nearest to the normal distribution's
MAX_EXPONENT = 30.0  # beyond it the probability is 0 or 1 to all that matters, and `exp` may overflow
MIN_EXPECTED_MS = 1.0
MIN_REMAINING_MS = 1e-3


class EstimateErrors:
    """The distribution of taken over expected time, taken to be lognormal, by class."""

    def __init__(self) -> None:
        self.log_error: defaultdict[str, DecayedMean] = defaultdict(DecayedMean)
        self.log_error_squared: defaultdict[str, DecayedMean] = defaultdict(DecayedMean)
        # By class: when it was computed, mean, standard deviation.
        self._distributions: dict[str, tuple[float, float, float]] = {}

    def record(self, class_name: str, expected_ms: float, taken_ms: float, now: float) -> None:
        """Count a job that was served so long after it was sent."""
        log_error = math.log(max(taken_ms, MIN_EXPECTED_MS) / max(expected_ms, MIN_EXPECTED_MS))
        log_error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, log_error))
        self.log_error[class_name].add(now, log_error, HALF_LIFE_MS)
        self.log_error_squared[class_name].add(now, log_error * log_error, HALF_LIFE_MS)

    def on_time_probability(
        self, class_name: str, expected_ms: float, remaining_ms: float, now: float
    ) -> float:
        """Return how likely a job that is expected to take so long is done in the time that remains."""
        computed_at, mean, deviation = self._distributions.get(
            class_name, (-math.inf, 0.0, PRIOR_LOG_DEVIATION)
        )
        if now >= computed_at + RECOMPUTE_INTERVAL_MS:
            prior_square = PRIOR_LOG_DEVIATION * PRIOR_LOG_DEVIATION
            mean = self.log_error[class_name].read(now, HALF_LIFE_MS, 0.0, PRIOR_JOBS)
            square = self.log_error_squared[class_name].read(now, HALF_LIFE_MS, prior_square, PRIOR_JOBS)
            deviation = math.sqrt(max(MIN_LOG_VARIANCE, square - mean * mean))
            self._distributions[class_name] = (now, mean, deviation)
        log_slack = math.log(max(remaining_ms, MIN_REMAINING_MS) / max(expected_ms, MIN_EXPECTED_MS))
        deviations = (log_slack - mean) / deviation
        exponent = max(-MAX_EXPONENT, min(MAX_EXPONENT, -LOGISTIC_SLOPE * deviations))
        return 1.0 / (1.0 + math.exp(exponent))
