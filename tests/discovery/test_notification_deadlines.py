"""Under arbitrary faults of the watch, no list change arrives later than the drain rule allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burlmoor.discovery import schedule
from burlmoor.discovery.schedule import CallResult, WatchSchedule
from tests.discovery.watch_simulation import (
    DRAIN_GRACE_SECONDS,
    QUEUE_TIMEOUT_SECONDS,
    WatchScenario,
    worst_lateness,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SCENARIOS = st.builds(
    WatchScenario,
    nodes=st.sampled_from([1, 5, 40, 230]),
    has_agent=st.booleans(),
    changes=st.lists(st.floats(0.0, 40.0), min_size=1, max_size=8),
    silences=st.lists(st.floats(0.0, 10.0), max_size=3).map(
        lambda offsets: [15.0 * number + offset for number, offset in enumerate(offsets)]
    ),
    resets=st.lists(st.floats(0.0, 30.0), max_size=2),
    # An agent's silence is not noticed if it is shorter than the wait of the watch.
    outages=st.lists(st.tuples(st.floats(0.0, 30.0), st.floats(2.0, 8.0)), max_size=1),
    address_changes=st.lists(st.floats(0.0, 30.0), max_size=1),
    invalid=st.lists(st.floats(0.0, 30.0), max_size=2),
    # A poll interval below the queue timeout would end before any queued call.
    poll_interval=st.sampled_from([QUEUE_TIMEOUT_SECONDS, 3.0, 10.0, 60.0]),
    seed=st.integers(0, 1000),
)


@settings(max_examples=400, deadline=None)
@given(SCENARIOS)
def test_no_change_arrives_later_than_the_drain_rule_allows(scenario: WatchScenario) -> None:
    assert worst_lateness(scenario) <= DRAIN_GRACE_SECONDS


def spread_calls_past_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Spread the calls after a silence as widely as those of a starting fleet, past the deadline."""
    monkeypatch.setattr(schedule, "NOTIFICATION_SECONDS", 10.0)


def raise_backoff_to_fleet_jitter(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the backoff grow to the jitter of a whole fleet."""

    def schedule_late(self: WatchSchedule, result: CallResult, now: float) -> None:
        on_call_ended(self, result, now)
        if self.failures > 2:
            self._next_start = now + self._rng.uniform(4.0, 8.0)

    on_call_ended = WatchSchedule.on_call_ended
    monkeypatch.setattr(WatchSchedule, "on_call_ended", schedule_late)


def time_out_watches_past_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the wait and the allowance add up to more than the notification deadline."""
    monkeypatch.setattr(schedule, "_WATCH_WAIT_SECONDS", 8.0)
    monkeypatch.setattr(schedule, "_OVERDUE_ALLOWANCE_SECONDS", 2.0)


def slow_down_agent_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Call a silent agent again only after a long delay."""
    monkeypatch.setattr(schedule, "_AGENT_RETRY_SECONDS", 1.0)
    monkeypatch.setattr(schedule, "_AGENT_ALLOWANCE_SECONDS", 1.0)


@pytest.mark.parametrize(
    ("mutation", "has_agent", "outage"),
    [
        (spread_calls_past_the_deadline, False, None),
        (time_out_watches_past_the_deadline, False, None),
        (raise_backoff_to_fleet_jitter, False, (9.0, 8.0)),
        (slow_down_agent_retries, True, (15.3, 4.0)),
    ],
)
def test_faults_of_the_schedule_are_detected(
    monkeypatch: pytest.MonkeyPatch,
    mutation: Callable[[pytest.MonkeyPatch], None],
    *,
    has_agent: bool,
    outage: tuple[float, float] | None,
) -> None:
    def scenario(nodes: int, seed: int) -> WatchScenario:
        return WatchScenario(
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
    assert all(worst_lateness(scenario(*case)) <= DRAIN_GRACE_SECONDS for case in cases)
    mutation(monkeypatch)
    assert any(worst_lateness(scenario(*case)) > DRAIN_GRACE_SECONDS for case in cases)
