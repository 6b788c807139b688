"""What is measured of endpoints, and how it falls back from the endpoint to its kind to the fleet."""

from __future__ import annotations

import random

import pytest

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.policy.model.endpoint import Endpoint
from burlmoor.policy.statistics.endpoint_statistics import WORK_CLASSES, EndpointStatistics
from burlmoor.policy.statistics.estimate_errors import EstimateErrors
from burlmoor.types.endpoint_list import EndpointEntry


def endpoint(name: str = "a0", kind: str = "std") -> Endpoint:
    return Endpoint(EndpointEntry(name, zone="a", weight=4.0, kind=kind))


def test_a_decayed_mean_returns_to_its_prior() -> None:
    mean = DecayedMean()
    mean.add(0.0, 10.0, half_life=100.0, weight=9.0)
    assert mean.read(0.0, 100.0, prior=0.0) == pytest.approx(9.0)
    assert mean.read(2000.0, 100.0, prior=0.0) < 0.01


def test_one_outcome_counts_for_every_work_class_and_for_its_kind() -> None:
    statistics, known, mate, other = (
        EndpointStatistics(5.0),
        endpoint("a0"),
        endpoint("a1"),
        endpoint("b0", "other"),
    )
    for _ in range(10):
        statistics.record_run(known, 100.0, 300.0, 1000.0)
    kind = statistics.slowness_of_kind("std", 1000.0)
    for band in range(WORK_CLASSES):
        assert statistics.slowness(known, band, kind, 1000.0) > 2.0
        assert statistics.slowness(mate, band, kind, 1000.0) > 2.0
    assert statistics.slowness_of_kind("other", 1000.0) < kind
    assert other.slowness.weight == 0.0


def test_slowness_is_measured_by_work_class() -> None:
    statistics, known = EndpointStatistics(5.0), endpoint()
    for _ in range(20):
        statistics.mean_work.add(0.0, 200.0, 8000.0)
    for _ in range(20):
        statistics.record_run(known, 50.0, 50.0, 1000.0)
        statistics.record_run(known, 1600.0, 4800.0, 1000.0)
    kind = statistics.slowness_of_kind("std", 1000.0)
    assert statistics.slowness(known, 0, kind, 1000.0) < statistics.slowness(
        known, WORK_CLASSES - 1, kind, 1000.0
    )


def test_one_heavy_job_does_not_make_its_endpoint_look_slow() -> None:
    # Without this, one job of twenty times its hint makes a sound endpoint look dead.
    statistics, known = EndpointStatistics(5.0), endpoint()
    for _ in range(10):
        statistics.record_run(known, 100.0, 100.0, 1000.0)
    statistics.record_run(known, 100.0, 2000.0, 1000.0)
    assert statistics.slowness(known, 2, statistics.slowness_of_kind("std", 1000.0), 1000.0) < 1.6


def test_the_on_time_probability_follows_the_measured_errors() -> None:
    # A fixed margin would suit one deployment only: hints and noise differ from class to class.
    errors, rng = EstimateErrors(), random.Random(3)
    for number in range(400):
        errors.record("rough", 1000.0, 1000.0 * rng.lognormvariate(0.3, 0.6), 50.0 * number)
        errors.record("fine", 1000.0, 1000.0 * rng.lognormvariate(0.0, 0.1), 50.0 * number)
    now = 50.0 * 400
    for left, rough in ((1000.0, 0.31), (1350.0, 0.5), (2000.0, 0.74), (3000.0, 0.91)):
        assert errors.on_time_probability("rough", 1000.0, left, now) == pytest.approx(rough, abs=0.06)
    assert errors.on_time_probability("fine", 1000.0, 1350.0, now) > 0.97
    assert errors.on_time_probability("unseen", 1000.0, 1000.0, now) == pytest.approx(0.5)


def test_a_standing_queue_does_not_lengthen_the_start_grace() -> None:
    # Without this, jobs are redistributed too late: queues would raise what counts as a prompt start.
    statistics, known = EndpointStatistics(5.0), endpoint()
    statistics.record_start_delay(known, 4.0, 0.0)
    for step in range(20):
        statistics.record_start_delay(known, 3000.0, 100.0 * step)
    assert statistics.start_grace("a") < 60.0


def test_start_delays_of_one_zone_do_not_count_for_another() -> None:
    # Without this, jobs stay in a full zone because all zones share one expected delay.
    statistics, near, far = (
        EndpointStatistics(5.0),
        endpoint("a0"),
        Endpoint(EndpointEntry("b0", zone="b", weight=4.0, kind="std")),
    )
    statistics.record_start_delay(near, 4.0, 0.0)
    for step in range(20):
        statistics.record_start_delay(near, 2000.0, 100.0 * step)
    assert statistics.expected_start_delay(endpoint("a1"), 2000.0, 500.0) > 500.0
    assert statistics.expected_start_delay(far, 2000.0, 500.0) == 0.0


def test_an_attempt_not_started_yet_does_not_shorten_the_expected_delay() -> None:
    # Without this, jobs are sent into standing queues: one redistributed after 25 ms shows no short delay.
    statistics, known = EndpointStatistics(5.0), endpoint()
    statistics.record_start_delay(known, 4.0, 0.0)
    for step in range(10):
        statistics.record_start_delay(known, 2000.0, 10.0 * step)
    before = statistics.expected_start_delay(known, 100.0, 500.0)
    for _ in range(10):
        statistics.record_start_delay(known, 25.0, 100.0, has_started=False)
    assert statistics.expected_start_delay(known, 100.0, 500.0) >= 0.99 * before


def test_a_burst_shows_in_the_expected_delay_of_endpoints_never_used() -> None:
    # With hundreds of nodes each has used hardly any endpoint lately: it goes by the kind.
    statistics, met, other = EndpointStatistics(5.0), endpoint("a0"), endpoint("a1")
    half_life = statistics.load_half_life(0.0)
    for step in range(20):
        statistics.record_start_delay(met, 4.0, 10.0 * step)
    for step in range(3):  # two jobs' time later endpoints are full
        statistics.record_start_delay(met, 2004.0, 2.0 * half_life + 10.0 * step)
    full = statistics.expected_start_delay(other, 2.0 * half_life + 30.0, half_life)
    assert full > 400.0
    for step in range(3):  # and free again
        statistics.record_start_delay(met, 4.0, 5.0 * half_life + 10.0 * step)
    assert statistics.expected_start_delay(other, 5.0 * half_life + 30.0, half_life) < 0.4 * full
