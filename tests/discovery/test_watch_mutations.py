"""Each of the testbed's discovery mutations takes effect and is detected."""

from __future__ import annotations

from typing import Any, NamedTuple, cast

import pytest

from burlmoor.discovery import schedule
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.testbed.mutations import WATCH_MUTATIONS
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from tests.discovery.watch_simulation import DRAIN_GRACE_SECONDS, WatchScenario, worst_lateness


def scenario(seed: int) -> WatchScenario:
    return WatchScenario(
        nodes=5,
        has_agent=False,
        changes=[10.0, 12.0, 16.0, 18.0, 20.0],
        silences=[9.5],
        resets=[],
        outages=[(15.0, 4.0)],
        address_changes=[],
        invalid=[],
        poll_interval=10.0,
        seed=seed,
    )


@pytest.mark.parametrize("name", ["late-watch", "slow-again"])
def test_a_mutation_of_the_schedule_delays_changes_beyond_the_drain_rule(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    constants = {constant: value for constant, value in vars(schedule).items() if constant.isupper()}
    for constant, value in constants.items():
        monkeypatch.setattr(schedule, constant, value)  # so that it is restored after the test
    assert all(worst_lateness(scenario(seed)) <= DRAIN_GRACE_SECONDS for seed in range(5))
    WATCH_MUTATIONS[name].apply()
    assert {constant for constant in vars(schedule) if constant.isupper()} == set(constants)
    assert any(worst_lateness(scenario(seed)) > DRAIN_GRACE_SECONDS for seed in range(5))


class StateRecorder:
    def __init__(self) -> None:
        self.states: list[EndpointState] = []

    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None:
        self.states += [entry.state for entry in entries]


class DrainingEndpoint(NamedTuple):
    """How a directory handles a draining endpoint."""

    is_live: bool  # so that new work may be sent to it
    reported_states: list[EndpointState]  # to the policy


def load_draining_endpoint() -> DrainingEndpoint:
    observer = StateRecorder()
    directory = EndpointDirectory(from_unix=lambda unix_ms: unix_ms, has_lease=lambda: True)
    updater = EndpointListUpdater(directory, observer, cast("Any", None), cast("Any", None), print)
    draining = DiscoveredEndpoint("e0", "h:1", health="leaving")
    updater.load_cached(DiscoveredList(1, is_complete=True, endpoints=[draining]))
    return DrainingEndpoint(directory.find_live("e0") is not None, observer.states)


def test_the_undrained_mutation_lets_a_draining_endpoint_get_work(monkeypatch: pytest.MonkeyPatch) -> None:
    for method in ("find_live", "_effective_state"):
        monkeypatch.setattr(EndpointDirectory, method, getattr(EndpointDirectory, method))
    assert load_draining_endpoint() == (False, [EndpointState.DRAINING])
    WATCH_MUTATIONS["undrained"].apply()
    assert load_draining_endpoint() == (True, [EndpointState.LIVE])
