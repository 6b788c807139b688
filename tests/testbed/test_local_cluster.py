"""The local cluster: a real node between stand-in clients and executors, and the records of both sides."""

from __future__ import annotations

import json
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio
from click.testing import CliRunner

from burlmoor.cli.main import main
from burlmoor.testbed.event_record import AttemptOutcome, AttemptRecord, EventRecord, RequestRecord
from burlmoor.testbed.executor import PlannedFault
from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.load import JobOutcome, LoadGenerator, OutcomeTally, draw_arrivals
from burlmoor.testbed.local_cluster import LocalCluster, executor_specs, local_cluster, new_request
from tests.support.polling import poll_until

if TYPE_CHECKING:
    from pathlib import Path

SEARCH, _, CONFIRM = JOB_CLASSES
LATE_TOLERANCE_MS = 50.0
POLL_SECONDS = 0.01
TIMEOUT_SECONDS = 60.0


async def has_started_attempt(cluster: LocalCluster) -> bool:
    return bool(cluster.event_record.started_attempts_by_id())


async def test_every_job_of_a_load_is_answered_without_violations(tmp_path: Path) -> None:
    with trio.fail_after(TIMEOUT_SECONDS):
        async with local_cluster(tmp_path, executor_specs(2)) as cluster:
            arrivals = draw_arrivals(30.0, 1.0, JOB_CLASSES, 1, scale=0.2)
            report = await LoadGenerator(cluster.clients).run(arrivals)
    # On a slow machine the node may reject a job that is close to its latency objective.
    outcomes = report.all_classes.outcomes
    assert outcomes[JobOutcome.SERVED] + outcomes[JobOutcome.REJECTED] == report.all_classes.job_count > 10
    assert outcomes[JobOutcome.SERVED] > 0
    record = cluster.event_record
    assert not record.find_unanswered()
    assert not record.find_late(LATE_TOLERANCE_MS)
    assert not record.find_fabricated()
    assert not record.protocol_violations
    assert not record.find_repeated({CONFIRM.name})


@pytest.mark.parametrize("fault", PlannedFault)
async def test_an_idempotent_job_is_served_after_a_planned_fault(tmp_path: Path, fault: PlannedFault) -> None:
    with trio.fail_after(TIMEOUT_SECONDS):
        async with local_cluster(tmp_path, executor_specs(2)) as cluster:
            faults_of_all_executors = [fault]
            for executor in cluster.executors.values():
                executor.planned_faults = faults_of_all_executors
            assert (await cluster.clients[0].send(new_request("a1", SEARCH, 20.0))).is_served
    record = cluster.event_record
    assert len(record.attempts) >= 2
    assert not record.find_fabricated()
    assert not record.find_unanswered()


async def test_a_killed_executor_loses_its_jobs_and_restarts_in_slow_start(tmp_path: Path) -> None:
    with trio.fail_after(TIMEOUT_SECONDS):
        async with local_cluster(tmp_path, executor_specs(2)) as cluster, trio.open_nursery() as nursery:
            nursery.start_soon(cluster.clients[0].send, new_request("a1", CONFIRM, 3000.0))
            await poll_until(partial(has_started_attempt, cluster), POLL_SECONDS)
            name = cluster.event_record.attempts[0].executor
            await cluster.kill_executor(name, 0.1, 0.2)
            assert cluster.executors[name].jobs.model.slow_start_factor(0.0) < 1.0
    record = cluster.event_record
    assert record.requests["a1"].status not in (200, 429, 503)  # it may have run
    assert [attempt.outcome for attempt in record.attempts] == [AttemptOutcome.LOST]


def test_an_event_record_finds_each_violation() -> None:
    attempts = [
        AttemptRecord("repeated", "c", "s", 0.0, 1.0),
        AttemptRecord("repeated", "c", "t", 0.0, 2.0),
        AttemptRecord("full", "c", "t", 0.0),
    ]
    requests = [
        RequestRecord("unanswered", "c", 0.0, 100.0),
        RequestRecord("disconnected", "c", 0.0, 100.0, disconnect_at_ms=50.0),
        RequestRecord("late", "c", 0.0, 100.0, answered_ms=200.0, status=503),
        RequestRecord("fabricated", "c", 0.0, 100.0, answered_ms=10.0, status=200),
    ]
    record = EventRecord(requests={request.id: request for request in requests}, attempts=attempts)
    assert [request.id for request in record.find_unanswered()] == ["unanswered"]
    assert [request.id for request in record.find_late(LATE_TOLERANCE_MS)] == ["late"]
    assert record.find_fabricated() == ["fabricated"]
    assert record.find_repeated({"c"}) == ["repeated"]
    assert record.find_repeated({"d"}) == []


def test_arrivals_are_reproducible_by_seed_and_outcomes_are_counted() -> None:
    first = draw_arrivals(100.0, 2.0, JOB_CLASSES, 3)
    assert first == draw_arrivals(100.0, 2.0, JOB_CLASSES, 3)
    assert first != draw_arrivals(100.0, 2.0, JOB_CLASSES, 4)
    assert 150 < len(first) < 250
    tally = OutcomeTally()
    for status, answer_count in ((200, 1), (503, 1), (502, 1), (0, 0)):
        request = RequestRecord(
            "x", "c", 0.0, 100.0, answered_ms=40.0, status=status, answer_count=answer_count
        )
        tally.add(request)
    assert dict(tally.outcomes) == {"served": 1, "refused": 1, "failed": 1, "no answer": 1}
    assert tally.latency_percentile_ms(50.0) == pytest.approx(40.0, rel=0.01)


def test_the_try_and_load_commands_need_no_files() -> None:
    for command in ("try", "load"):
        result = CliRunner().invoke(main, [command, "--seconds", "1", "--rate", "20", "--json", "-"])
        assert result.exit_code == 0, result.output
        report = json.loads(result.stdout)
        all_classes = report["classes"]["all"]
        assert all_classes["served"] + all_classes.get("refused", 0) == all_classes["asked"] > 5
        assert report["node_cpu_ms_per_job"] > 0.0
