"""The rig as a whole: a real node between stand-ins, failures by plan, and ledgers that agree."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from burlmoor.cli.main import main
from burlmoor.testbed.event_record import Asked, Ledger, Ran
from burlmoor.testbed.load import Generator, Tally, draw
from burlmoor.testbed.local_cluster import KINDS, Town, asked, fleet, town

SEARCH, _, CONFIRM = KINDS


def play(folder: Path, story: Callable[[Town], Awaitable[None]], executors: int = 2) -> Ledger:
    async def run() -> Ledger:
        with trio.fail_after(60.0):
            async with town(folder, fleet(executors)) as made:
                await story(made)
        return made.ledger

    return trio.run(run)


def test_a_load_is_answered_and_the_ledgers_agree(tmp_path: Path) -> None:
    async def story(made: Town) -> None:
        report = await Generator(made.clients).run(draw(30.0, 1.0, KINDS, 1, scale=0.2))
        # On a slow machine the node may refuse a job whose aim is close: that is an answer, too.
        outcomes = report.total.outcomes
        assert outcomes["served"] + outcomes["refused"] == report.total.asked > 10
        assert outcomes["served"] > 0

    ledger = play(tmp_path, story)
    assert not ledger.unanswered() and not ledger.late(50.0)
    assert not ledger.invented() and not ledger.strange and not ledger.twice({CONFIRM.name})


@pytest.mark.parametrize("act", ["full", "error", "reset", "hang"])
def test_what_an_executor_does_to_a_request_is_what_the_plan_says(tmp_path: Path, act: str) -> None:
    async def story(made: Town) -> None:
        acts = [act]
        for executor in made.executors.values():
            executor.acts = acts
        assert (await made.clients[0].ask(asked("a1", SEARCH, 20.0))).served

    ledger = play(tmp_path, story)
    assert len(ledger.ran) >= 2
    assert not ledger.invented() and not ledger.unanswered()


def test_an_executor_that_dies_loses_what_it_held_and_comes_back_cold(tmp_path: Path) -> None:
    async def story(made: Town) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.clients[0].ask, asked("a1", CONFIRM, 3000.0))
            while not made.ledger.runs():
                await trio.sleep(0.01)
            name = made.ledger.ran[0].executor
            await made.kill(name, 0.1, 0.2)
            assert made.executors[name].machine.warmth(0.0) < 1.0

    ledger = play(tmp_path, story)
    assert ledger.asked["a1"].status not in (200, 429, 503)  # it may have run
    assert [row.end for row in ledger.ran] == ["died"]


def test_a_ledger_tells_what_is_wrong() -> None:
    rows = [Ran("twice", "c", "s", 0.0, 1.0), Ran("twice", "c", "t", 0.0, 2.0), Ran("full", "c", "t", 0.0)]
    ledger = Ledger(asked={
        "never": Asked("never", "c", 0.0, 100.0),
        "left": Asked("left", "c", 0.0, 100.0, left=50.0),
        "late": Asked("late", "c", 0.0, 100.0, answered=200.0, status=503),
        "made up": Asked("made up", "c", 0.0, 100.0, answered=10.0, status=200),
    }, ran=rows)  # fmt: skip
    assert [each.id for each in ledger.unanswered()] == ["never"]
    assert [each.id for each in ledger.late(50.0)] == ["late"]
    assert ledger.invented() == ["made up"]
    assert ledger.twice({"c"}) == ["twice"]
    assert ledger.twice({"d"}) == []


def test_a_load_is_drawn_the_same_each_time_and_counts_by_outcome() -> None:
    first, again = draw(100.0, 2.0, KINDS, 3), draw(100.0, 2.0, KINDS, 3)
    assert first == again != draw(100.0, 2.0, KINDS, 4)
    assert 150 < len(first) < 250
    tally = Tally()
    for status, answers in ((200, 1), (503, 1), (502, 1), (0, 0)):
        tally.add(Asked("x", "c", 0.0, 100.0, answered=40.0, status=status, answers=answers))
    assert dict(tally.outcomes) == {"served": 1, "refused": 1, "failed": 1, "no answer": 1}
    assert tally.at(50.0) == pytest.approx(40.0, rel=0.01)


def test_try_and_load_need_no_file() -> None:
    for arguments in (["try", "--seconds", "1", "--rate", "20"], ["load", "--seconds", "1", "--rate", "20"]):
        done = CliRunner().invoke(main, [*arguments, "--json", "-"])
        assert done.exit_code == 0, done.output
        figures = json.loads(done.stdout)
        told = figures["classes"]["all"]
        assert told["served"] + told.get("refused", 0) == told["asked"] > 5
        assert figures["node_cpu_ms_per_job"] > 0.0
