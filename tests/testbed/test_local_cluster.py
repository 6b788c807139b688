"""The rig as a whole: a real node between stand-ins, failures by plan, and ledgers that agree."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from burlmoor.cli.main import main
from burlmoor.testbed.event_record import AttemptRecord, EventRecord, RequestRecord
from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.load import LoadGenerator, OutcomeTally, draw_arrivals
from burlmoor.testbed.local_cluster import LocalCluster, executor_specs, local_cluster, new_request

SEARCH, _, CONFIRM = JOB_CLASSES


def play(folder: Path, story: Callable[[LocalCluster], Awaitable[None]], executors: int = 2) -> EventRecord:
    async def run() -> EventRecord:
        with trio.fail_after(60.0):
            async with local_cluster(folder, executor_specs(executors)) as made:
                await story(made)
        return made.event_record

    return trio.run(run)


def test_a_load_is_answered_and_the_ledgers_agree(tmp_path: Path) -> None:
    async def story(made: LocalCluster) -> None:
        report = await LoadGenerator(made.clients).run(draw_arrivals(30.0, 1.0, JOB_CLASSES, 1, scale=0.2))
        # On a slow machine the node may refuse a job whose aim is close: that is an answer, too.
        outcomes = report.all_classes.outcomes
        assert outcomes["served"] + outcomes["refused"] == report.all_classes.job_count > 10
        assert outcomes["served"] > 0

    ledger = play(tmp_path, story)
    assert not ledger.find_unanswered() and not ledger.find_late(50.0)
    assert (
        not ledger.find_fabricated()
        and not ledger.protocol_violations
        and not ledger.find_repeated({CONFIRM.name})
    )


@pytest.mark.parametrize("act", ["full", "error", "reset", "hang"])
def test_what_an_executor_does_to_a_request_is_what_the_plan_says(tmp_path: Path, act: str) -> None:
    async def story(made: LocalCluster) -> None:
        acts = [act]
        for executor in made.executors.values():
            executor.planned_faults = acts
        assert (await made.clients[0].send(new_request("a1", SEARCH, 20.0))).is_served

    ledger = play(tmp_path, story)
    assert len(ledger.attempts) >= 2
    assert not ledger.find_fabricated() and not ledger.find_unanswered()


def test_an_executor_that_dies_loses_what_it_held_and_comes_back_cold(tmp_path: Path) -> None:
    async def story(made: LocalCluster) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.clients[0].send, new_request("a1", CONFIRM, 3000.0))
            while not made.event_record.started_attempts_by_id():
                await trio.sleep(0.01)
            name = made.event_record.attempts[0].executor
            await made.kill_executor(name, 0.1, 0.2)
            assert made.executors[name].model.slow_start_factor(0.0) < 1.0

    ledger = play(tmp_path, story)
    assert ledger.requests["a1"].status not in (200, 429, 503)  # it may have run
    assert [row.outcome for row in ledger.attempts] == ["died"]


def test_a_ledger_tells_what_is_wrong() -> None:
    rows = [
        AttemptRecord("twice", "c", "s", 0.0, 1.0),
        AttemptRecord("twice", "c", "t", 0.0, 2.0),
        AttemptRecord("full", "c", "t", 0.0),
    ]
    ledger = EventRecord(requests={
        "never": RequestRecord("never", "c", 0.0, 100.0),
        "left": RequestRecord("left", "c", 0.0, 100.0, disconnected_ms=50.0),
        "late": RequestRecord("late", "c", 0.0, 100.0, answered_ms=200.0, status=503),
        "made up": RequestRecord("made up", "c", 0.0, 100.0, answered_ms=10.0, status=200),
    }, attempts=rows)  # fmt: skip
    assert [each.id for each in ledger.find_unanswered()] == ["never"]
    assert [each.id for each in ledger.find_late(50.0)] == ["late"]
    assert ledger.find_fabricated() == ["made up"]
    assert ledger.find_repeated({"c"}) == ["twice"]
    assert ledger.find_repeated({"d"}) == []


def test_a_load_is_drawn_the_same_each_time_and_counts_by_outcome() -> None:
    first, again = draw_arrivals(100.0, 2.0, JOB_CLASSES, 3), draw_arrivals(100.0, 2.0, JOB_CLASSES, 3)
    assert first == again != draw_arrivals(100.0, 2.0, JOB_CLASSES, 4)
    assert 150 < len(first) < 250
    tally = OutcomeTally()
    for status, answers in ((200, 1), (503, 1), (502, 1), (0, 0)):
        tally.add(RequestRecord("x", "c", 0.0, 100.0, answered_ms=40.0, status=status, answer_count=answers))
    assert dict(tally.outcomes) == {"served": 1, "refused": 1, "failed": 1, "no answer": 1}
    assert tally.latency_percentile_ms(50.0) == pytest.approx(40.0, rel=0.01)


def test_try_and_load_need_no_file() -> None:
    for arguments in (["try", "--seconds", "1", "--rate", "20"], ["load", "--seconds", "1", "--rate", "20"]):
        done = CliRunner().invoke(main, [*arguments, "--json", "-"])
        assert done.exit_code == 0, done.output
        figures = json.loads(done.stdout)
        told = figures["classes"]["all"]
        assert told["served"] + told.get("refused", 0) == told["asked"] > 5
        assert figures["node_cpu_ms_per_job"] > 0.0
