"""The endpoint directory: the node's copy of the discovered list, with overrides applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.endpoints.endpoint_table import EndpointTable, ListedEndpoint
from burlmoor.endpoints.overrides import EndpointOverrides
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList


class EndpointDirectory:
    """Owns the endpoint list, the administrative overrides and whether the list is suspended.

    Only `EndpointListUpdater` makes changes; all other components only look endpoints up. `from_unix`
    converts a Unix time in ms to the node's own clock; `has_lease` returns whether the lease on the list is
    valid now.
    """

    def __init__(self, from_unix: Callable[[float], float], has_lease: Callable[[], bool]) -> None:
        self._from_unix = from_unix
        self._overrides = EndpointOverrides()
        self._is_suspended = False
        self.has_lease = has_lease
        self.table = EndpointTable()

    @property
    def version(self) -> int | None:
        """The version of the node's list; None until a list has been merged."""
        return self.table.version

    @property
    def overrides(self) -> EndpointOverrides:
        """The administrative overrides."""
        return self._overrides

    @property
    def is_suspended(self) -> bool:
        """Whether all endpoints are reported as not live, because there is no lease on the list."""
        return self._is_suspended

    def find_live(self, name: str) -> ListedEndpoint | None:
        """Return the endpoint if new work may be sent to it now, else None."""
        return self.find_effectively_live(name) if self.has_lease() else None

    def find_effectively_live(self, name: str) -> ListedEndpoint | None:
        """Return the endpoint if it is live in the list as the policy knows it, else None.

        That is the list with the overrides and a suspension applied; the lease is not checked.
        """
        endpoint = None if self._is_suspended else self.table.get(name)
        if endpoint is None or endpoint.state is not EndpointState.LIVE or self._overrides.is_disabled(name):
            return None
        return endpoint

    def effectively_live_names(self) -> set[str]:
        """Return the names of the endpoints that are live in the list as the policy knows it."""
        return {name for name in self.table.live_names() if self.find_effectively_live(name) is not None}

    def is_known(self, name: str) -> bool:
        """Return whether an endpoint of this name is listed or is disabled by an override."""
        return name in self.table or self._overrides.is_disabled(name)

    def address_of(self, name: str) -> str | None:
        """Return the endpoint's address, whatever its state; None if it is not listed."""
        endpoint = self.table.get(name)
        return endpoint.address if endpoint else None

    def snapshot(self) -> DiscoveredList | None:
        """Return the node's list, complete; None until a list has been merged."""
        return self.table.snapshot()

    def policy_entries(self, entries: Iterable[DiscoveredEndpoint]) -> list[EndpointEntry]:
        """Convert entries to the policy's form, with the overrides applied."""
        return [
            EndpointEntry(
                endpoint=entry.name,
                state=self._effective_state(entry),
                zone=entry.zone,
                weight=entry.weight,
                cell=entry.cell,
                kind=entry.kind,
                started_at=self._from_unix(
                    self._overrides.effective_start(entry.name, entry.started_unix_ms)
                ),
            )
            for entry in entries
        ]

    def _effective_state(self, entry: DiscoveredEndpoint) -> EndpointState:
        state = self._overrides.effective_state(entry.name, entry.state)
        return EndpointState.DRAINING if self._is_suspended and state is EndpointState.LIVE else state

    def replace_overrides(self, overrides: EndpointOverrides) -> None:
        """Replace all overrides."""
        self._overrides = overrides

    def set_suspended(self, *, is_suspended: bool) -> None:
        """Suspend the list, or resume it."""
        self._is_suspended = is_suspended
