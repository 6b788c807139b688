"""Merging lists into the table: complete and partial lists, stale versions, replaced processes."""

from __future__ import annotations

import pytest

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.endpoint_table import EndpointTable
from burlmoor.types.endpoint_list import EndpointState


def entry(
    name: str, health: str = "active", started: float = 5.0, address: str = "127.0.0.1:9"
) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(name, address, health=health, started_unix_ms=started)


def table_with(version: int, *entries: DiscoveredEndpoint) -> EndpointTable:
    table = EndpointTable()
    table.merge(DiscoveredList(version, is_complete=True, endpoints=list(entries)))
    return table


def state_of(table: EndpointTable, name: str) -> EndpointState:
    endpoint = table.get(name)
    assert endpoint is not None
    return endpoint.state


def test_only_a_complete_list_removes_unlisted_endpoints() -> None:
    table = table_with(1, entry("e0"), entry("e1"))
    assert table.merge(DiscoveredList(2, is_complete=False, endpoints=[entry("e2")])).stale_addresses == []
    assert table.live_names() == {"e0", "e1", "e2"}
    assert (
        table.merge(DiscoveredList(3, is_complete=True, endpoints=[entry("e2")])).stale_addresses
        == ["127.0.0.1:9"] * 2
    )
    assert table.live_names() == {"e2"}
    assert table.snapshot() == DiscoveredList(3, is_complete=True, endpoints=[entry("e2")])


@pytest.mark.parametrize("health", ["leaving", "left"])
def test_an_older_list_does_not_undo_a_drain(health: str) -> None:
    table = table_with(5, entry("e0", health), entry("e1"))
    merged = table.merge(DiscoveredList(4, is_complete=True, endpoints=[entry("e0"), entry("e1")]))
    assert [each.health for each in merged.entries] == [health, "active"]
    assert table.live_names() == {"e1"}
    assert table.version == 4


def test_the_same_version_or_a_new_process_ends_a_drain() -> None:
    table = table_with(5, entry("e0", "leaving"))
    table.merge(DiscoveredList(4, is_complete=False, endpoints=[entry("e0", started=6.0)]))
    assert state_of(table, "e0") is EndpointState.LIVE
    table = table_with(5, entry("e0", "leaving"))
    table.merge(DiscoveredList(5, is_complete=False, endpoints=[entry("e0")]))
    assert state_of(table, "e0") is EndpointState.LIVE


def test_a_new_process_or_address_makes_the_old_address_stale() -> None:
    table = table_with(1, entry("e0"), entry("e1"), entry("e2"))
    changed = [entry("e0", started=6.0), entry("e1", address="127.0.0.1:10"), entry("e2", "leaving")]
    assert (
        table.merge(DiscoveredList(2, is_complete=False, endpoints=changed)).stale_addresses
        == ["127.0.0.1:9"] * 2
    )


def test_unknown_health_counts_as_gone_and_keeps_the_address() -> None:
    table = table_with(1, entry("e0"))
    table.merge(DiscoveredList(2, is_complete=False, endpoints=[entry("e0", "resting", address="")]))
    endpoint = table.get("e0")
    assert endpoint is not None
    assert (endpoint.address, endpoint.state) == ("127.0.0.1:9", EndpointState.GONE)
