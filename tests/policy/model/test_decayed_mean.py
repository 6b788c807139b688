"""The exponentially decayed mean."""

from __future__ import annotations

import pytest

from burlmoor.policy.model.decayed_mean import DecayedMean


def test_a_mean_decays_to_its_prior() -> None:
    mean = DecayedMean()
    mean.add(0.0, 10.0, half_life=100.0, weight=9.0)
    assert mean.read(0.0, 100.0, prior=0.0) == pytest.approx(9.0)
    assert mean.read(2000.0, 100.0, prior=0.0) < 0.01
