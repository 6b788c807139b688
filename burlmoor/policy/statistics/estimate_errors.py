"""Errors of the estimated response times by class, and the on-time probability that follows from them.

The ratio of the actual to the expected time is assumed to be lognormally distributed.
"""

from __future__ import annotations

import math
from collections import defaultdict

from burlmoor.policy.model.decayed_mean import DecayedMean

PRIOR_LOG_DEVIATION = 0.4  # standard deviation of log(actual / expected time) without samples
PRIOR_JOBS = 5.0  # weight of the prior
MIN_LOG_VARIANCE = 0.01
MAX_LOG_ERROR = 2.0  # of one job, in either direction
HALF_LIFE_MS = 30_000.0
RECOMPUTE_INTERVAL_MS = 100.0
LOGISTIC_SLOPE = 1.702  # makes the logistic function approximate the normal distribution function
MAX_EXPONENT = 30.0  # beyond this, the probability is practically 0 or 1 and `exp` may overflow
MIN_EXPECTED_MS = 1.0
MIN_REMAINING_MS = 1e-3


class ErrorDistribution:
    """The distribution of log(actual / expected time)."""

    __slots__ = ("computed_at", "deviation", "mean")

    def __init__(self, computed_at: float, mean: float, deviation: float) -> None:
        self.computed_at = computed_at
        self.mean = mean
        self.deviation = deviation


UNKNOWN_DISTRIBUTION = ErrorDistribution(-math.inf, 0.0, PRIOR_LOG_DEVIATION)


class EstimateErrors:
    """Tracks the errors of the estimated response times by class. Times are in ms."""

    def __init__(self) -> None:
        self.log_error: defaultdict[str, DecayedMean] = defaultdict(DecayedMean)
        self.log_error_squared: defaultdict[str, DecayedMean] = defaultdict(DecayedMean)
        self._distributions: dict[str, ErrorDistribution] = {}

    def record(self, class_name: str, expected_ms: float, taken_ms: float, now: float) -> None:
        """Record a job that was served `taken_ms` after it was sent."""
        log_error = math.log(max(taken_ms, MIN_EXPECTED_MS) / max(expected_ms, MIN_EXPECTED_MS))
        log_error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, log_error))
        self.log_error[class_name].add(now, log_error, HALF_LIFE_MS)
        self.log_error_squared[class_name].add(now, log_error * log_error, HALF_LIFE_MS)

    def on_time_probability(
        self, class_name: str, expected_ms: float, remaining_ms: float, now: float
    ) -> float:
        """Return the probability that a job expected to take `expected_ms` ends within `remaining_ms`."""
        distribution = self._distributions.get(class_name, UNKNOWN_DISTRIBUTION)
        if now >= distribution.computed_at + RECOMPUTE_INTERVAL_MS:
            distribution = self._compute_distribution(class_name, now)
            self._distributions[class_name] = distribution
        log_slack = math.log(max(remaining_ms, MIN_REMAINING_MS) / max(expected_ms, MIN_EXPECTED_MS))
        deviations = (log_slack - distribution.mean) / distribution.deviation
        exponent = max(-MAX_EXPONENT, min(MAX_EXPONENT, -LOGISTIC_SLOPE * deviations))
        return 1.0 / (1.0 + math.exp(exponent))

    def _compute_distribution(self, class_name: str, now: float) -> ErrorDistribution:
        prior_square = PRIOR_LOG_DEVIATION * PRIOR_LOG_DEVIATION
        mean = self.log_error[class_name].read(now, HALF_LIFE_MS, 0.0, PRIOR_JOBS)
        square = self.log_error_squared[class_name].read(now, HALF_LIFE_MS, prior_square, PRIOR_JOBS)
        deviation = math.sqrt(max(MIN_LOG_VARIANCE, square - mean * mean))
        return ErrorDistribution(now, mean, deviation)
