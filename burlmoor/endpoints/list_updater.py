"""Applies lists, overrides and suspensions to the endpoint directory, and reports each change."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.list_validation import InvalidEndpointListError, decode_list, validate_entries
from burlmoor.log_events import (
    EndpointListInvalidEntries,
    EndpointListResumed,
    EndpointListSuspended,
    EndpointsDraining,
)
from burlmoor.types.endpoint_list import ListKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.interfaces import EndpointListObserver, IdleConnections, LivenessObserver
    from burlmoor.endpoints.overrides import EndpointOverrides
    from burlmoor.log import EventLogger

_MAX_LOGGED_NAMES = 8  # endpoint names in one log line


class EndpointListUpdater:
    """Makes every change of the endpoint directory.

    Reports the changed entries to `list_observer`, and the endpoints that stop being live to
    `liveness_observer`.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        list_observer: EndpointListObserver,
        liveness_observer: LivenessObserver,
        connections: IdleConnections,
        log: EventLogger,
    ) -> None:
        self._directory = directory
        self._table = directory.table
        self._list_observer = list_observer
        self._liveness_observer = liveness_observer
        self._connections = connections
        self._log = log
        # Whether `suspend` has taken effect since the last `resume`. Unlike `is_suspended`, this is False
        # while the list is suspended only because the process started without a lease.
        self._is_suspension_logged = False

    def disable(self, name: str) -> None:
        """Send no new work to this endpoint until it is enabled; no effect if it is already disabled."""
        was_live = self._directory.find_effectively_live(name) is not None
        if self._directory.overrides.disable(name, _unix_ms()):
            self._report_endpoints([name])
            if was_live:
                self._report_not_live({name})

    def enable(self, name: str) -> None:
        """Apply the list's state to this endpoint again; no effect if it is not disabled."""
        entry = self._table.entries.get(name)
        listed_start_unix_ms = entry.started_unix_ms if entry else None
        if not self._directory.overrides.enable(name, listed_start_unix_ms, _unix_ms()):
            return
        if entry is not None:
            # An idle connection may lead to an earlier process; the next job written to it would be lost.
            self._connections.close_idle_to(entry.address)
        self._report_endpoints([name])

    def set_overrides(self, overrides: EndpointOverrides) -> None:
        """Replace all overrides."""
        names = self._directory.overrides.names() | overrides.names()
        live_before = {name for name in names if self._directory.find_effectively_live(name) is not None}
        self._directory.replace_overrides(overrides)
        self._report_endpoints(names)
        self._report_not_live(live_before)

    def suspend(self, age_seconds: float) -> None:
        """Send no new work until `resume`; discovery last answered `age_seconds` ago."""
        if self._is_suspension_logged:
            return
        self._is_suspension_logged = True
        self._log(EndpointListSuspended(age_seconds=age_seconds, version=self._table.version))
        if self._directory.is_suspended:
            return  # suspended since the start, when there was no lease
        live_before = self._directory.effectively_live_names()
        self._directory.set_suspended(is_suspended=True)
        self._report_endpoints(list(self._table.entries))
        self._report_not_live(live_before)

    def resume(self) -> None:
        """Send new work again, now that there is a lease on the list."""
        if not self._directory.is_suspended:
            return
        self._directory.set_suspended(is_suspended=False)
        self._report_endpoints(list(self._table.entries))
        if self._is_suspension_logged:
            self._is_suspension_logged = False
            self._log(EndpointListResumed(version=self._table.version))

    def load_cached(self, cached: DiscoveredList | None) -> None:
        """Load the node's cached list, which may be stale (None: there is none).

        Without a lease on the list, no endpoint is live until `resume`.
        """
        self._directory.set_suspended(is_suspended=not self._directory.has_lease())
        entries = [] if cached is None else self._merge(cached)
        self._report_entries(ListKind.CACHED, entries)

    def restore(self, from_predecessor: DiscoveredList | None) -> None:
        """Apply the list of this process's predecessor, which is newer than the cached one."""
        if from_predecessor is not None:
            live_before = self._directory.effectively_live_names()
            entries = self._merge(from_predecessor)
            self._report_entries(ListKind.SNAPSHOT, entries)
            self._report_not_live(live_before)

    def apply_response(self, body: bytes) -> None:
        """Apply a response of the discovery service; invalid entries are logged and skipped.

        Raises:
            InvalidEndpointListError: the response is not a usable list; nothing has changed.
        """
        received = decode_list(body)
        live_before = self._table.live_names()
        if received.is_complete and not received.endpoints and live_before:
            # A discovery service that has just started knows no endpoint yet. Applying its empty list would
            # stop all work, and endpoints that are really gone refuse connections anyway.
            raise InvalidEndpointListError(
                field="hosts",
                value=received.endpoints,
                problem=f"empty, although {len(live_before)} endpoints are live in the known list",
            )
        validated = validate_entries(received.endpoints, self._table.entries)
        if validated.invalid:
            first = validated.invalid[0]
            self._log(EndpointListInvalidEntries(error=str(first), count=len(validated.invalid)))
        entries = self._merge(DiscoveredList(received.version, received.is_complete, validated.valid))
        self._log_draining(live_before - self._table.live_names())
        if received.is_complete or entries:
            kind = ListKind.SNAPSHOT if received.is_complete else ListKind.DELTA
            self._report_entries(kind, entries)
            self._report_not_live(live_before)

    def _merge(self, update: DiscoveredList) -> list[DiscoveredEndpoint]:
        """Merge a list, close idle connections to stale addresses, and return the merged entries."""
        merged = self._table.merge(update)
        for address in merged.stale_addresses:
            self._connections.close_idle_to(address)
        return merged.entries

    def _report_endpoints(self, names: Iterable[str]) -> None:
        """Report the entries of the named endpoints, except for those that are not listed."""
        entries = [self._table.entries[name] for name in names if name in self._table]
        if entries:
            self._report_entries(ListKind.DELTA, entries)

    def _report_entries(self, kind: ListKind, entries: list[DiscoveredEndpoint]) -> None:
        self._list_observer.on_endpoint_list(kind, self._directory.policy_entries(entries))

    def _report_not_live(self, live_before: set[str]) -> None:
        """Report the endpoints in `live_before` that are no longer live."""
        names = frozenset(name for name in live_before if self._directory.find_effectively_live(name) is None)
        if names:
            self._liveness_observer.on_endpoints_not_live(names)

    def _log_draining(self, no_longer_live: set[str]) -> None:
        if no_longer_live:
            names = sorted(no_longer_live)
            self._log(
                EndpointsDraining(
                    count=len(names), names=names[:_MAX_LOGGED_NAMES], version=self._table.version
                )
            )


def _unix_ms() -> float:
    return time.time() * 1000.0
