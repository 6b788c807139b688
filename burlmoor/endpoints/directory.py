"""The endpoint directory: the discovered list as this node has it, with overrides laid over it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.endpoint_table import EndpointTable, ListedEndpoint
from burlmoor.endpoints.list_validation import InvalidEndpointListError, decode_list, validate_entries
from burlmoor.endpoints.overrides import EndpointOverrides
from burlmoor.log_events import (
    EndpointListInvalidEntries,
    EndpointListResumed,
    EndpointListSuspended,
    EndpointsDraining,
)
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.endpoints.interfaces import EndpointListObserver, IdleConnections, LivenessObserver
    from burlmoor.log import EventLogger

_MAX_LOGGED_NAMES = 8  # of endpoints in one log line


class EndpointDirectory:
    """Owns the endpoint list and the administrative overrides, and reports each change to its observer.

    `from_unix` converts a Unix time in ms to the node's own clock; `has_lease` says whether the list may be
    used at this moment.
    """

    def __init__(
        self,
        observer: EndpointListObserver,
        connections: IdleConnections,
        from_unix: Callable[[float], float],
        log: EventLogger,
        has_lease: Callable[[], bool] = lambda: True,
    ) -> None:
        self._observer = observer
        self._connections = connections
        self._from_unix = from_unix
        self._log = log
        self._has_lease = has_lease
        self._table = EndpointTable()
        self.overrides = EndpointOverrides()
        self._liveness_observer: LivenessObserver | None = None
        # Whether the policy was told that no endpoint is live for now: the lease on the list has expired.
        self.is_suspended = False
        self._is_suspension_logged = False

    def observe_liveness(self, observer: LivenessObserver) -> None:
        """Report to this observer which endpoints stop being live."""
        self._liveness_observer = observer

    # --- queries ----------------------------------------------------------------------------------

    @property
    def version(self) -> int | None:
        """The version of the list that this node has; None before the first."""
        return self._table.version

    def find_live(self, name: str) -> ListedEndpoint | None:
        """Return the endpoint if it may be sent new work now, else None."""
        return self._find_reported_live(name) if self._has_lease() else None

    def _find_reported_live(self, name: str) -> ListedEndpoint | None:
        """Return the endpoint if it was reported to be live, else None."""
        endpoint = None if self.is_suspended else self._table.get(name)
        if endpoint is None or endpoint.state is not EndpointState.LIVE or self.overrides.is_disabled(name):
            return None
        return endpoint

    def is_known(self, name: str) -> bool:
        """Whether an endpoint of this name is listed, or is disabled by an override."""
        return name in self._table or self.overrides.is_disabled(name)

    def address_of(self, name: str) -> str | None:
        """Return the endpoint's address, whatever its state; None if it is not listed."""
        endpoint = self._table.get(name)
        return endpoint.address if endpoint else None

    def snapshot(self) -> DiscoveredList | None:
        """Return the list as this node has it; None before the first."""
        return self._table.snapshot()

    # --- administrative overrides -----------------------------------------------------------------

    def disable(self, name: str) -> None:
        """Send no new work to this endpoint until it is enabled again; repeated, it changes nothing."""
        was_live = self._find_reported_live(name) is not None
        if self.overrides.disable(name, _unix_ms()):
            self._report([name])
            if was_live:
                self._report_not_live({name})

    def enable(self, name: str) -> None:
        """Let the list's state hold for this endpoint again; repeated, it changes nothing."""
        entry = self._table.entries.get(name)
        if not self.overrides.enable(name, entry.started_unix_ms if entry else None, _unix_ms()):
            return
        if entry is not None:
            # An idle connection may belong to the process before, and would lose the next job written to it.
            self._connections.close_idle_to(entry.address)
        self._report([name])

    def set_overrides(self, overrides: EndpointOverrides) -> None:
        """Replace all overrides."""
        names = self.overrides.names() | overrides.names()
        live_before = {name for name in names if self._find_reported_live(name) is not None}
        self.overrides = overrides
        self._report(names)
        self._report_not_live(live_before)

    def _live_names(self) -> set[str]:
        """Return the endpoints that were reported to be live."""
        return {name for name in self._table.live_names() if self._find_reported_live(name) is not None}

    def _report_not_live(self, live_before: set[str]) -> None:
        """Report those of these endpoints that are not live any more."""
        names = frozenset(name for name in live_before if self._find_reported_live(name) is None)
        if names and self._liveness_observer is not None:
            self._liveness_observer.on_endpoints_not_live(names)

    def _report(self, names: Iterable[str]) -> None:
        entries = [self._table.entries[name] for name in names if name in self._table]
        if entries:
            self._observer.on_endpoint_list(ListKind.DELTA, self._policy_entries(entries))

    # --- suspension -------------------------------------------------------------------------------

    def suspend(self, age_seconds: float) -> None:
        """Send nothing new on the list until it is resumed; it was last confirmed so long ago."""
        if self._is_suspension_logged:
            return
        self._is_suspension_logged = True
        self._log(EndpointListSuspended(age_seconds=age_seconds, version=self._table.version))
        if self.is_suspended:
            return
        live_before = self._live_names()
        self.is_suspended = True
        self._report(list(self._table.entries))
        self._report_not_live(live_before)

    def resume(self) -> None:
        """Send on the list again: there is a lease on it."""
        if not self.is_suspended:
            return
        self.is_suspended = False
        self._report(list(self._table.entries))
        if self._is_suspension_logged:
            self._is_suspension_logged = False
            self._log(EndpointListResumed(version=self._table.version))

    # --- lists ------------------------------------------------------------------------------------

    def load_cached(self, cached: DiscoveredList | None) -> None:
        """Take in the list as this node last had it, which may be stale (None: there is none).

        Without a lease on it no endpoint is live until `resume`.
        """
        self.is_suspended = not self._has_lease()
        entries = [] if cached is None else self._merge(cached)
        self._observer.on_endpoint_list(ListKind.CACHED, self._policy_entries(entries))

    def restore(self, from_predecessor: DiscoveredList | None) -> None:
        """Take in the list of the process before this one, which is newer than the cached one."""
        if from_predecessor is not None:
            live_before = self._live_names()
            entries = self._merge(from_predecessor)
            self._observer.on_endpoint_list(ListKind.SNAPSHOT, self._policy_entries(entries))
            self._report_not_live(live_before)

    def apply_response(self, body: bytes) -> None:
        """Take in a response of the discovery service.

        Raises InvalidEndpointListError, and changes nothing, if it is no list. Single invalid entries are
        logged and skipped.
        """
        received = decode_list(body)
        live_before = self._table.live_names()
        if received.is_complete and not received.endpoints and live_before:
            # A discovery service that has just started knows no endpoint. Following it would stop all work,
            # and endpoints that have really left refuse connections anyway.
            raise InvalidEndpointListError("hosts", received.endpoints, "empty, though executors were listed")
        validated = validate_entries(received.endpoints, self._table.entries)
        if validated.invalid:
            first = validated.invalid[0]
            self._log(EndpointListInvalidEntries(error=str(first), count=len(validated.invalid)))
        entries = self._merge(DiscoveredList(received.version, received.is_complete, validated.valid))
        self._log_draining(live_before - self._table.live_names())
        if received.is_complete or entries:
            kind = ListKind.SNAPSHOT if received.is_complete else ListKind.DELTA
            self._observer.on_endpoint_list(kind, self._policy_entries(entries))
            self._report_not_live(live_before)

    def _merge(self, update: DiscoveredList) -> list[DiscoveredEndpoint]:
        """Merge a list with what is known; its entries as they now hold."""
        merged = self._table.merge(update)
        for address in merged.stale_addresses:
            self._connections.close_idle_to(address)
        return merged.entries

    def _log_draining(self, no_longer_live: set[str]) -> None:
        if no_longer_live:
            names = sorted(no_longer_live)
            self._log(
                EndpointsDraining(
                    count=len(names), names=names[:_MAX_LOGGED_NAMES], version=self._table.version
                )
            )

    # --- the policy's form ------------------------------------------------------------------------

    def _policy_entries(self, entries: list[DiscoveredEndpoint]) -> list[EndpointEntry]:
        """Convert entries to the policy's form, with the overrides laid over them."""
        return [
            EndpointEntry(
                endpoint=entry.name,
                state=self._effective_state(entry),
                zone=entry.zone,
                weight=entry.weight,
                cell=entry.cell,
                kind=entry.kind,
                started_at=self._from_unix(self.overrides.effective_start(entry.name, entry.started_unix_ms)),
            )
            for entry in entries
        ]

    def _effective_state(self, entry: DiscoveredEndpoint) -> EndpointState:
        state = self.overrides.effective_state(entry.name, entry.state)
        return EndpointState.DRAINING if self.is_suspended and state is EndpointState.LIVE else state


def _unix_ms() -> float:
    return time.time() * 1000.0
