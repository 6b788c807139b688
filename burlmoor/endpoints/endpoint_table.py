"""The endpoints that a node knows, and the rules for merging a received list; no I/O and no clock."""

from __future__ import annotations

from typing import NamedTuple

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.types.endpoint_list import EndpointState


class ListedEndpoint(NamedTuple):
    """The address, state and start time of an endpoint's process."""

    address: str  # `host:port`
    state: EndpointState
    started_unix_ms: float


class MergedList(NamedTuple):
    """The result of merging a list."""

    entries: list[DiscoveredEndpoint]  # the entries of the received list, as merged
    stale_addresses: list[str]  # the addresses of processes that have been replaced or removed


class EndpointTable:
    """Owns the node's copy of the list: the last entry of each endpoint, and the version of the list."""

    def __init__(self) -> None:
        self.version: int | None = None  # None until a list has been merged
        self.entries: dict[str, DiscoveredEndpoint] = {}  # as merged; the address may be empty
        self._listed: dict[str, ListedEndpoint] = {}  # with the last address of entries that have none

    def get(self, name: str) -> ListedEndpoint | None:
        """Return the endpoint of this name, whatever its state."""
        return self._listed.get(name)

    def __contains__(self, name: str) -> bool:
        return name in self._listed

    def live_names(self) -> set[str]:
        """Return the names of the endpoints that are live according to the list."""
        return {name for name, endpoint in self._listed.items() if endpoint.state is EndpointState.LIVE}

    def snapshot(self) -> DiscoveredList | None:
        """Return the node's list, complete; None until a list has been merged."""
        if self.version is None:
            return None
        return DiscoveredList(self.version, is_complete=True, endpoints=list(self.entries.values()))

    def merge(self, update: DiscoveredList) -> MergedList:
        """Merge a list: a complete one replaces all known entries, a partial one only those it contains."""
        stale_addresses = self._remove_unlisted(update) if update.is_complete else []
        is_older = self.version is not None and update.version < self.version
        entries = []
        for received in update.endpoints:
            known = self._listed.get(received.name)
            entry = self._keep_not_live(received, known) if is_older else received
            # An endpoint that is gone keeps its address, so that attempts there can still be cancelled.
            address = entry.address or (known.address if known else "")
            listed = ListedEndpoint(address, entry.state, entry.started_unix_ms)
            if known is not None and _is_other_process(known, listed):
                stale_addresses.append(known.address)
            self._listed[entry.name] = listed
            self.entries[entry.name] = entry
            entries.append(entry)
        self.version = update.version
        return MergedList(entries, stale_addresses)

    def _remove_unlisted(self, update: DiscoveredList) -> list[str]:
        """Remove the endpoints that a complete list doesn't contain, and return their addresses."""
        names = {entry.name for entry in update.endpoints}
        removed = [name for name in self._listed if name not in names]
        for name in removed:
            del self.entries[name]
        return [self._listed.pop(name).address for name in removed]

    @staticmethod
    def _keep_not_live(received: DiscoveredEndpoint, known: ListedEndpoint | None) -> DiscoveredEndpoint:
        """Return the entry to merge from a list of an older version.

        A process that is draining or gone does not become live again. Otherwise a list from before the
        drain, sent by another discovery server or read from an old file, would undo the drain.
        """
        if known is None or known.state is EndpointState.LIVE:
            return received
        if known.started_unix_ms != received.started_unix_ms:
            return received
        return received.with_state(known.state)


def _is_other_process(known: ListedEndpoint, listed: ListedEndpoint) -> bool:
    """Return whether an endpoint's process has been replaced, so that its old connections are stale."""
    return (listed.address, listed.started_unix_ms) != (known.address, known.started_unix_ms)
