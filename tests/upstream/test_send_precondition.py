"""The send precondition: an attempt is sent only while its job needs it and its endpoint may get work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import pytest

from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.engine.job import Attempt, Job
from burlmoor.errors import BurlmoorError
from burlmoor.types.outcome import Outcome
from burlmoor.upstream.send_precondition import (
    SendPreconditionError,
    check_send_precondition,
    recheck_send_precondition,
)
from tests.support.engine_harness import RecordingResponder

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.types.endpoint_list import EndpointEntry, ListKind


class NullObserver:
    """Ignores changes of the endpoint list and requests to close idle connections."""

    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None: ...

    def on_endpoints_not_live(self, names: frozenset[str]) -> None: ...

    def close_idle_to(self, address: str) -> None: ...


class Scenario:
    """One attempt at one live endpoint, whose conditions the tests change."""

    def __init__(self) -> None:
        self.directory = EndpointDirectory(from_unix=lambda unix_ms: unix_ms, has_lease=lambda: True)
        self.updater = EndpointListUpdater(
            self.directory, NullObserver(), NullObserver(), NullObserver(), print
        )
        self.publish("active")
        self.job = Job(
            id="a1",
            number=1,
            responder=cast("Any", None),
            class_name="lookup",
            payload=None,
            received_at=0.0,
            deadline=1000.0,
            is_non_idempotent=False,
        )
        self.attempt = Attempt(self.job, 0, "e0", 0.0, 1000.0)

    def publish(self, health: str, started_unix_ms: float = 1.0) -> None:
        entry = DiscoveredEndpoint("e0", "127.0.0.1:9", health=health, started_unix_ms=started_unix_ms)
        self.updater.load_cached(DiscoveredList(1, is_complete=True, endpoints=[entry]))


def end_job(scenario: Scenario) -> None:
    scenario.job.is_closed = True


def end_attempt(scenario: Scenario) -> None:
    scenario.attempt.outcome = Outcome.CANCELLED


class DisconnectedResponder(RecordingResponder):
    """The connection of a client that has disconnected."""

    def detect_disconnect(self) -> bool:
        return True


def disconnect(scenario: Scenario) -> None:
    scenario.job.responder = DisconnectedResponder()


def drain(scenario: Scenario) -> None:
    scenario.publish("leaving")


def remove(scenario: Scenario) -> None:
    scenario.updater.load_cached(DiscoveredList(2, is_complete=True, endpoints=[]))


def disable(scenario: Scenario) -> None:
    scenario.updater.disable("e0")


def replace_process(scenario: Scenario) -> None:
    scenario.publish("active", started_unix_ms=2.0)


def test_an_attempt_of_an_open_job_is_sent_to_the_live_endpoint() -> None:
    scenario = Scenario()
    endpoint = check_send_precondition(scenario.attempt, scenario.directory)
    assert endpoint.address == "127.0.0.1:9"
    recheck_send_precondition(scenario.attempt, scenario.directory, endpoint)


@pytest.mark.parametrize("change", [end_job, end_attempt, disconnect, drain, remove, disable])
def test_a_change_before_or_during_the_connect_stops_the_attempt(
    change: Callable[[Scenario], None],
) -> None:
    scenario = Scenario()
    connected_to = check_send_precondition(scenario.attempt, scenario.directory)
    change(scenario)
    with pytest.raises(SendPreconditionError) as raised:
        check_send_precondition(scenario.attempt, scenario.directory)
    assert raised.value.attempt is scenario.attempt
    assert isinstance(raised.value, BurlmoorError)
    with pytest.raises(SendPreconditionError):
        recheck_send_precondition(scenario.attempt, scenario.directory, connected_to)


def test_connection_to_a_replaced_process_is_not_used() -> None:
    scenario = Scenario()
    connected_to = check_send_precondition(scenario.attempt, scenario.directory)
    replace_process(scenario)
    with pytest.raises(SendPreconditionError):
        recheck_send_precondition(scenario.attempt, scenario.directory, connected_to)
    assert check_send_precondition(scenario.attempt, scenario.directory).started_unix_ms == 2.0
