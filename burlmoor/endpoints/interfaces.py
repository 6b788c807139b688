"""What the endpoint directory requires of the parts around it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind


class EndpointListObserver(Protocol):
    """Learns of each update of the endpoint list."""

    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None:
        """Take in an update: entries with the administrative overrides laid over them."""


class LivenessObserver(Protocol):
    """Learns which endpoints may not be sent new work any more."""

    def on_endpoints_not_live(self, names: frozenset[str]) -> None:
        """Take in that these endpoints were live until now: they drain, are gone, or were disabled."""


class IdleConnections(Protocol):
    """The idle connections to endpoints."""

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address, `host:port`."""
