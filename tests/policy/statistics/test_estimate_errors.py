"""The on-time probability follows the errors of past estimates."""

from __future__ import annotations

import random

import pytest

from burlmoor.policy.statistics.estimate_errors import EstimateErrors


def test_the_on_time_probability_follows_the_measured_errors() -> None:
    # A fixed margin would fit only one deployment, because hints and noise differ between classes.
    errors, rng = EstimateErrors(), random.Random(3)
    for number in range(400):
        errors.record("rough", 1000.0, 1000.0 * rng.lognormvariate(0.3, 0.6), 50.0 * number)
        errors.record("fine", 1000.0, 1000.0 * rng.lognormvariate(0.0, 0.1), 50.0 * number)
    now = 50.0 * 400
    for remaining_ms, expected in ((1000.0, 0.31), (1350.0, 0.5), (2000.0, 0.74), (3000.0, 0.91)):
        probability = errors.on_time_probability("rough", 1000.0, remaining_ms, now)
        assert probability == pytest.approx(expected, abs=0.06)
    assert errors.on_time_probability("fine", 1000.0, 1350.0, now) > 0.97
    assert errors.on_time_probability("unseen", 1000.0, 1000.0, now) == pytest.approx(0.5)
