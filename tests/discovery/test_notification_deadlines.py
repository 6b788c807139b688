"""No change of the list arrives later than the drain rule allows, whatever faults the watch has."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burlmoor.discovery import schedule
from burlmoor.discovery.schedule import CallResult, WatchSchedule
from tests.discovery.watch_simulation import DRAIN_RULE, QUEUE_TIMEOUT, World, worst_lateness

if TYPE_CHECKING:
    from collections.abc import Callable

WORLDS = st.builds(
    World,
    nodes=st.sampled_from([1, 5, 40, 230]),
    has_agent=st.booleans(),
    changes=st.lists(st.floats(0.0, 40.0), min_size=1, max_size=8),
    silences=st.lists(st.floats(0.0, 10.0), max_size=3).map(
        lambda offsets: [15.0 * number + offset for number, offset in enumerate(offsets)]
    ),
    resets=st.lists(st.floats(0.0, 30.0), max_size=2),
    # A silence of an agent that is shorter than its watch's wait is not noticed.
    outages=st.lists(st.tuples(st.floats(0.0, 30.0), st.floats(2.0, 8.0)), max_size=1),
    address_changes=st.lists(st.floats(0.0, 30.0), max_size=1),
    invalid=st.lists(st.floats(0.0, 30.0), max_size=2),
    # A poll interval below the queue timeout would end before any queued call.
    poll_interval=st.sampled_from([QUEUE_TIMEOUT, 3.0, 10.0, 60.0]),
    seed=st.integers(0, 1000),
)


@settings(max_examples=400, deadline=None)
@given(WORLDS)
def test_no_change_arrives_later_than_the_drain_rule_allows(world: World) -> None:
    assert worst_lateness(world) <= DRAIN_RULE


def silence_spreads_as_a_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fleet that has fallen silent spreads its calls as one that starts, past the notification deadline."""
    monkeypatch.setattr(schedule, "NOTIFICATION_SECONDS", 10.0)


def backoff_grows_to_a_fleets_jitter(monkeypatch: pytest.MonkeyPatch) -> None:
    """The backoff grows to the jitter of a whole fleet."""

    def schedule_late(self: WatchSchedule, result: CallResult, now: float) -> None:
        on_call_ended(self, result, now)
        if self.failures > 2:
            self._next_start = now + self._rng.uniform(4.0, 8.0)

    on_call_ended = WatchSchedule.on_call_ended
    monkeypatch.setattr(WatchSchedule, "on_call_ended", schedule_late)


def watch_times_out_at_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """The end of the wait and the allowance add up to the notification deadline."""
    monkeypatch.setattr(schedule, "_WATCH_WAIT_SECONDS", 8.0)
    monkeypatch.setattr(schedule, "_OVERDUE_ALLOWANCE_SECONDS", 2.0)


def agent_is_polled_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    """An agent that is silent is called again only after a long backoff."""
    monkeypatch.setattr(schedule, "_AGENT_RETRY_SECONDS", 1.0)
    monkeypatch.setattr(schedule, "_AGENT_ALLOWANCE_SECONDS", 1.0)


@pytest.mark.parametrize(
    ("mutation", "has_agent", "outage"),
    [
        (silence_spreads_as_a_start, False, None),
        (watch_times_out_at_the_deadline, False, None),
        (backoff_grows_to_a_fleets_jitter, False, (9.0, 8.0)),
        (agent_is_polled_slowly, True, (15.3, 4.0)),
    ],
)
def test_a_fault_in_the_schedule_is_noticed(
    monkeypatch: pytest.MonkeyPatch,
    mutation: Callable[[pytest.MonkeyPatch], None],
    *,
    has_agent: bool,
    outage: tuple[float, float] | None,
) -> None:
    def world(nodes: int, seed: int) -> World:
        return World(
            nodes,
            has_agent,
            changes=[10.0, 12.0, 16.0],
            silences=[] if outage and not has_agent else [9.5],
            resets=[],
            outages=[outage] if outage else [],
            address_changes=[],
            invalid=[],
            poll_interval=10.0,
            seed=seed,
        )

    cases = [(nodes, seed) for nodes in (1, 5, 40, 230) for seed in range(5)]
    assert all(worst_lateness(world(*case)) <= DRAIN_RULE for case in cases)
    mutation(monkeypatch)
    assert any(worst_lateness(world(*case)) > DRAIN_RULE for case in cases)
