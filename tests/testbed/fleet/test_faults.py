"""Tests of fault schedules: file format, selectors and random schedules."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.testbed.fleet.fault_kinds import (
    DISCOVERY_FAULTS,
    EXECUTOR_FAULTS,
    LINK_FAULTS,
    NODE_FAULTS,
    SCHEDULED_FAULTS,
    FaultKind,
)
from burlmoor.testbed.fleet.fault_selectors import Population, resolve_selector
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule, LinkDirection
from burlmoor.testbed.fleet.random_schedule import draw_sequential_schedule
from burlmoor.testbed.fleet.schedule_file import format_schedule, parse_schedule

seconds = st.floats(0.0, 1000.0).map(lambda value: round(value, 3))
faults = st.builds(
    Fault,
    kind=st.sampled_from(SCHEDULED_FAULTS),
    start=seconds,
    duration=seconds,
    nodes=st.sampled_from(["n0*", "20%"]),
    executors=st.sampled_from(["s-*", "zone:a"]),
    direction=st.sampled_from([LinkDirection.BOTH, LinkDirection.BACK]),
    magnitude=seconds,
    stagger=seconds,
    notification_delay=seconds,
)


@given(st.lists(faults), st.integers(0, 10**9))
def test_formatted_schedule_parses_to_the_same_schedule(drawn: list[Fault], seed: int) -> None:
    schedule = FaultSchedule(seed, tuple(drawn))
    assert parse_schedule(format_schedule(schedule)) == schedule


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[trouble 1]\nwhat = fire\nat = 1\nlasts = 1\nnodes = *", "invalid what 'fire'"),
        ("[trouble 1]\nwhat = sigkill\nat = 1\nlasts = 1\nnodes = *", "invalid what 'sigkill'"),
        ("[trouble 1]\nat = 1\nlasts = 1\nnodes = *", "missing required field `what`"),
        ("[trouble 1]\nwhat = kill\nat = soon\nlasts = 1\nnodes = *", "trouble 1"),
        ("[trouble 1]\nwhat = kill\nat = 1\nlasts = 1", "needs nodes"),
        ("[trouble 1]\nwhat = die\nat = 1\nlasts = 1\nnodes = *", "needs executors"),
        ("[trouble 1]\nwhat = cut\nat = -1\nlasts = 1\nnodes = *", "seconds from 0"),
        ("[trouble 1]\nwhat = cut\nat = nan\nlasts = 1\nnodes = *", "seconds from 0"),
        ("[trouble 1]\nwhat = cut\nat = 1\nlasts = 1\nnodes = *\nwhere = x", "invalid key where"),
        ("[trouble 1]\nwhat = cut\nat = 1\nlasts = 1\nnodes = *\ndirection = up", "direction"),
        ("[schedule]\nseed = x", "invalid seed 'x'"),
        ("[other]\nseed = 1", "other: invalid section"),
        ("what = cut", "section"),
    ],
)
def test_invalid_schedule_raises_a_one_line_error(text: str, message: str) -> None:
    with pytest.raises(ValueError, match=message) as error:
        parse_schedule(text)
    assert "\n" not in str(error.value)


def test_selectors_and_random_schedules_are_deterministic() -> None:
    nodes = Population(
        [f"n{number:03d}" for number in range(100)], ["ab"[number % 2] for number in range(100)]
    )
    assert resolve_selector(nodes, "n00*, n010", 1) == list(range(11))
    assert resolve_selector(nodes, "zone:b", 1) == list(range(1, 100, 2))
    assert resolve_selector(nodes, "30%", 1) == resolve_selector(nodes, "30%", 1)
    assert len(resolve_selector(nodes, "30%", 1)) == 30
    assert resolve_selector(nodes, "30%", 1) != resolve_selector(nodes, "30%", 2)
    assert (
        draw_sequential_schedule(5, 60.0, 4)
        == draw_sequential_schedule(5, 60.0, 4)
        != draw_sequential_schedule(6, 60.0, 4)
    )


def test_fault_kinds_are_in_one_group_and_random_schedules_can_be_stored() -> None:
    assert set(LINK_FAULTS) | set(EXECUTOR_FAULTS) | set(DISCOVERY_FAULTS) < set(SCHEDULED_FAULTS)
    assert len(LINK_FAULTS) + len(NODE_FAULTS) + len(EXECUTOR_FAULTS) + len(DISCOVERY_FAULTS) == len(
        set(SCHEDULED_FAULTS)
    )
    assert set(FaultKind) - set(SCHEDULED_FAULTS) == {FaultKind.RESTART_KILL}
    schedule = draw_sequential_schedule(1, 60.0, 9)
    assert msgspec.json.decode(msgspec.json.encode(schedule), type=FaultSchedule) == schedule
    assert schedule == draw_sequential_schedule(1, 60.0, 9)


def test_stored_names_of_fault_kinds_are_stable() -> None:
    words = "cut delay drop reset stall throttle corrupt repeat reorder kill stop term restart reload crowd"
    words += " clients stalls flood die drain still slow fail vanish late down crowded silent broken isolate"
    assert " ".join(SCHEDULED_FAULTS) == words
