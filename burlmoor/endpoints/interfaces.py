"""Interfaces of the components that `EndpointListUpdater` notifies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind


class EndpointListObserver(Protocol):
    """Is notified of each update of the endpoint list."""

    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None:
        """Handle an update; the administrative overrides are already applied to the entries."""


class LivenessObserver(Protocol):
    """Is notified of endpoints that may no longer receive new work."""

    def on_endpoints_not_live(self, names: frozenset[str]) -> None:
        """Handle endpoints that have stopped being live: they are draining, gone, disabled or suspended."""


class IdleConnections(Protocol):
    """The idle connections to endpoints."""

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address, `host:port`."""
