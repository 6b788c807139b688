"""The endpoints that a node knows and the rules for merging a list with them; no I/O and no clock."""

from __future__ import annotations

from typing import NamedTuple

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.types.endpoint_list import EndpointState


class ListedEndpoint(NamedTuple):
    """The address, state and start of one process of an endpoint."""

    address: str  # `host:port`
    state: EndpointState
    started_unix_ms: float


class MergedList(NamedTuple):
    """The result of a merge."""

    entries: list[DiscoveredEndpoint]  # the list's entries as they were merged
    stale_addresses: list[str]  # the addresses of processes that have been replaced or removed


class EndpointTable:
    """Owns the list as this node has it: each endpoint's last entry, and the list's version."""

    def __init__(self) -> None:
        self.version: int | None = None  # None until a list has been merged
        self.entries: dict[str, DiscoveredEndpoint] = {}
        self._listed: dict[str, ListedEndpoint] = {}

    def get(self, name: str) -> ListedEndpoint | None:
        """Return the endpoint of this name, whatever its state."""
        return self._listed.get(name)

    def __contains__(self, name: str) -> bool:
        return name in self._listed

    def live_names(self) -> set[str]:
        """Return the names of the endpoints that are live according to the list."""
        return {name for name, endpoint in self._listed.items() if endpoint.state is EndpointState.LIVE}

    def snapshot(self) -> DiscoveredList | None:
        """Return the list as this node has it, complete; None before the first one."""
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
            entry = self._keep_drain(received, known) if is_older else received
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
    def _keep_drain(received: DiscoveredEndpoint, known: ListedEndpoint | None) -> DiscoveredEndpoint:
        """Apply the rule for stale versions: a process that drains stays draining.

        Without this, a list from before a drain, from another discovery server or an old file, would undo it.
        """
        if known is None or known.state is EndpointState.LIVE:
            return received
        if known.started_unix_ms != received.started_unix_ms:
            return received
        return received.with_state(known.state)


def _is_other_process(known: ListedEndpoint, listed: ListedEndpoint) -> bool:
    """Return whether an endpoint's process has been replaced, so that its old connections are stale."""
    return (listed.address, listed.started_unix_ms) != (known.address, known.started_unix_ms)
