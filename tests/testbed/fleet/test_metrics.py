"""Tests of the spread metrics on runs whose metrics are known, and of the baselines."""

from __future__ import annotations

import math

import numpy as np

from burlmoor.testbed.event_record import AttemptRecord
from burlmoor.testbed.fleet.baselines import BASELINES, replay_baseline
from burlmoor.testbed.fleet.load_grid import LoadGrid
from burlmoor.testbed.fleet.metrics import FaultWindow, measure_recovery, measure_spread
from tests.testbed.fleet.recorded_runs import SEARCH, SPECS, make_even_run, make_record, make_run


def make_grid() -> LoadGrid:
    return LoadGrid(list(SPECS.values()), list(SPECS), 0.0, 20.0, [])


def test_round_robin_is_even_and_bursts_are_not() -> None:
    even_run = make_even_run()
    bursty_run = make_run(lambda number: number // 50 % 4)
    even, bursty = (measure_spread(run, run.requests, run.attempts) for run in (even_run, bursty_run))
    assert even.thundering_herd_p999 == 1.0
    assert bursty.thundering_herd_p999 >= 2.0
    assert even.variation < 0.5
    assert bursty.variation > 1.5
    assert even.served == bursty.served == even.served_in_time == 1.0


def test_idleness_counts_only_while_a_job_waits() -> None:
    run = make_run(lambda _: 0)
    assert measure_spread(run, run.requests, run.attempts).idleness == 0.0
    for request, attempt in zip(run.requests, run.attempts, strict=True):
        attempt.started_ms = attempt.received_ms + 400.0
        request.answered_ms = attempt.ended_ms = attempt.started_ms + 100.0
    assert 0.6 < measure_spread(run, run.requests, run.attempts).idleness <= 0.75


def test_unfinished_job_is_outstanding_until_the_run_ends() -> None:
    work = make_grid().outstanding_work([AttemptRecord("j1", SEARCH.name, "s-0", 5000.0, work_ms=10.0)])
    assert work[49].sum() == 0.0
    assert work[50:].sum() == 10.0 * 150


def test_recovery_time_starts_at_the_end_of_the_fault() -> None:
    windows = [FaultWindow("x", 10_000.0, 12_000.0)]
    variation = np.full(200, 0.4)
    variation[100:150] = 2.0
    recovery = measure_recovery(make_grid(), variation, windows)
    assert 2.5 <= recovery["x"] <= 3.6
    variation[150:] = 2.0
    assert measure_recovery(make_grid(), variation, windows)["x"] == math.inf


def test_baselines_serve_the_same_jobs_and_shortest_spreads_better() -> None:
    record = make_record()
    metrics = {}
    for name in BASELINES:
        replayed = replay_baseline(record, name)
        requests = replayed.requests
        assert [request.id for request in requests] == [f"j{number}" for number in range(len(requests))]
        metrics[name] = measure_spread(record, requests, replayed.attempts)
    assert metrics["shortest"].variation < 0.8 * metrics["random"].variation
    assert metrics["shortest"].served >= metrics["random"].served > 0.5
