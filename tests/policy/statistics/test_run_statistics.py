"""Slowness by endpoint, with the means of its kind and of the fleet as priors."""

from __future__ import annotations

from burlmoor.policy.model.endpoint import Endpoint
from burlmoor.policy.statistics.run_statistics import WORK_BUCKET_COUNT, RunStatistics
from burlmoor.types.endpoint_list import EndpointEntry


def make_endpoint(name: str = "a0", kind: str = "std") -> Endpoint:
    return Endpoint(EndpointEntry(name, zone="a", weight=4.0, kind=kind))


def test_runs_of_one_work_bucket_count_for_the_others_and_for_the_kind() -> None:
    runs = RunStatistics()
    used = make_endpoint("a0")
    same_kind = make_endpoint("a1")
    other_kind = make_endpoint("b0", "other")
    for _ in range(10):
        runs.record_run(used, 100.0, 300.0, 1000.0)
    kind_slowness = runs.slowness_of_kind("std", 1000.0)
    for work_bucket in range(WORK_BUCKET_COUNT):
        assert runs.slowness(used, work_bucket, kind_slowness, 1000.0) > 2.0
        assert runs.slowness(same_kind, work_bucket, kind_slowness, 1000.0) > 2.0
    assert runs.slowness_of_kind("other", 1000.0) < kind_slowness
    assert other_kind.slowness.weight == 0.0


def test_slowness_is_measured_by_work_bucket() -> None:
    runs, endpoint = RunStatistics(), make_endpoint()
    for _ in range(20):
        runs.mean_work.add(0.0, 200.0, 8000.0)
    for _ in range(20):
        runs.record_run(endpoint, 50.0, 50.0, 1000.0)
        runs.record_run(endpoint, 1600.0, 4800.0, 1000.0)
    kind_slowness = runs.slowness_of_kind("std", 1000.0)
    lightest = runs.slowness(endpoint, 0, kind_slowness, 1000.0)
    heaviest = runs.slowness(endpoint, WORK_BUCKET_COUNT - 1, kind_slowness, 1000.0)
    assert lightest < heaviest


def test_one_job_far_over_its_hint_does_not_make_its_endpoint_look_slow() -> None:
    # One job that takes 20 times its hint must not make a healthy endpoint look failed.
    runs, endpoint = RunStatistics(), make_endpoint()
    for _ in range(10):
        runs.record_run(endpoint, 100.0, 100.0, 1000.0)
    runs.record_run(endpoint, 100.0, 2000.0, 1000.0)
    assert runs.slowness(endpoint, 2, runs.slowness_of_kind("std", 1000.0), 1000.0) < 1.6
