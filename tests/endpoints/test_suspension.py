"""A suspended endpoint list: no endpoint is live until it is resumed; drains are still applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.log_events import EndpointListResumed, EndpointListSuspended
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind

if TYPE_CHECKING:
    from burlmoor.log_events import LogEvent


class Observer:
    """Records the last reported state of each endpoint, and the endpoints that stopped being live."""

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self.not_live: list[frozenset[str]] = []

    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None:
        self.states |= {entry.endpoint: entry.state for entry in entries}

    def on_endpoints_not_live(self, names: frozenset[str]) -> None:
        self.not_live.append(names)

    def close_idle_to(self, address: str) -> None: ...


def test_nothing_is_live_while_the_list_is_suspended() -> None:
    observer = Observer()
    events: list[LogEvent] = []
    directory = EndpointDirectory(from_unix=lambda unix_ms: unix_ms, has_lease=lambda: True)
    updater = EndpointListUpdater(directory, observer, observer, observer, events.append)
    entries = [DiscoveredEndpoint(name, "127.0.0.1:9", health="active") for name in ("e0", "e1", "e2")]
    updater.load_cached(DiscoveredList(1, is_complete=True, endpoints=entries))
    updater.disable("e2")
    assert observer.not_live == [frozenset({"e2"})]
    for _ in range(2):  # the second call has no effect
        updater.suspend(7.5)
    assert observer.not_live[1:] == [frozenset({"e0", "e1"})]
    assert set(observer.states.values()) == {EndpointState.DRAINING}
    assert not any(directory.find_live(name) for name in ("e0", "e1", "e2"))
    updater.apply_response(b'{"seq":2,"whole":false,"hosts":[{"host":"e0","health":"leaving"}]}')
    updater.resume()
    assert directory.find_live("e0") is None
    assert directory.find_live("e1") is not None
    assert directory.find_live("e2") is None
    assert observer.states["e1"] is EndpointState.LIVE
    assert observer.states["e0"] is EndpointState.DRAINING
    changes = [event for event in events if isinstance(event, EndpointListSuspended | EndpointListResumed)]
    assert changes == [
        EndpointListSuspended(age_seconds=7.5, version=1),
        EndpointListResumed(version=2),
    ]
