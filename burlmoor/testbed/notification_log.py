"""When nodes were notified of changes to the endpoint list, or count as notified by the drain rule.

The drain rule assumes that a node knows of a change some time after its watch stalled or its call failed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.messages import EndpointEntry, EndpointHealth

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burlmoor.testbed.endpoint_history import Change, EndpointHistory

# A node with a stalled watch counts as notified of a change this long after the stall began, or this long
# after the watch would have ended, whichever is later.
_NOTIFIED_AFTER_STALL_MS = 6000.0
_NOTIFIED_AFTER_WATCH_END_MS = 2000.0
# A node whose last call failed, was rejected or was cancelled counts as notified this long after the change,
# or after the end of the outage, whichever is later.
_NOTIFIED_AFTER_FAILURE_MS = 6000.0
_OUTAGE_POLL_MS = 50.0


class Notification(NamedTuple):
    """The time at which a node was notified of an endpoint's health, or counts as notified."""

    at_ms: float
    node: str
    endpoint: str
    health: EndpointHealth


class Watch(NamedTuple):
    """A pending watch: the version that the node has, and the time at which the watch ends."""

    version: int
    ends_ms: float


class NotificationLog:
    """Records the changes that each node was notified of, or missed and counts as notified of.

    While `is_service_down`, nodes whose last call failed don't count as notified.
    """

    def __init__(self, history: EndpointHistory, nursery: trio.Nursery) -> None:
        self.notifications: list[Notification] = []
        self._history = history
        self._nursery = nursery
        self._is_service_down = False
        self._recovered_ms = -math.inf
        self._failed_nodes: set[str] = set()  # nodes whose last call was rejected, reset or cancelled
        self._notified_health: dict[tuple[str, str], EndpointHealth] = {}  # by node and endpoint

    @property
    def is_service_down(self) -> bool:
        """Whether the discovery service rejects every call."""
        return self._is_service_down

    def on_outage_started(self) -> None:
        """Suspend the notifications of nodes whose last call failed."""
        self._is_service_down = True

    def on_outage_ended(self) -> None:
        """Resume the notifications of nodes whose last call failed; their time limit counts from now."""
        if self._is_service_down:
            self._recovered_ms = now_ms()
        self._is_service_down = False

    def on_node_started(self, node: str) -> None:
        """Forget the failed calls of the node's previous process."""
        self._failed_nodes.discard(node)

    def on_call_failed(self, node: str) -> None:
        """Count the node as notified of each change some time after it, until a call of the node succeeds."""
        self._failed_nodes.add(node)

    def on_call_answered(self, node: str, entries: Iterable[EndpointEntry]) -> None:
        """Record the entries that a response notifies the node of."""
        self._failed_nodes.discard(node)
        for entry in entries:
            self._record(node, entry)

    def on_list_changed(self, change: Change) -> None:
        """Record the change for nodes whose last call failed, once they count as notified."""
        self._nursery.start_soon(self._record_for_failed_nodes, change, self._history.version)

    def on_watch_stalled(self, node: str, watch: Watch) -> None:
        """Record the changes that the watch misses, once the node counts as notified."""
        notified_ms = max(now_ms() + _NOTIFIED_AFTER_STALL_MS, watch.ends_ms + _NOTIFIED_AFTER_WATCH_END_MS)
        self._nursery.start_soon(self._record_for_stalled_node, node, watch.version, notified_ms)

    async def _record_for_failed_nodes(self, change: Change, version: int) -> None:
        while True:
            due_ms = max(change.at_ms, self._recovered_ms) + _NOTIFIED_AFTER_FAILURE_MS
            wait_ms = _OUTAGE_POLL_MS if self._is_service_down else due_ms - now_ms()
            if wait_ms <= 0.0:
                break
            await trio.sleep(wait_ms / 1000.0)
        endpoint, health = change.entry.name, change.entry.health
        if any(later.name == endpoint for later in self._history.find_changed(version)):
            return
        for node in self._failed_nodes:
            # A new process starts with a list on which every endpoint is active.
            if self._notified_health.get((node, endpoint), EndpointHealth.ACTIVE) is not health:
                self._record(node, change.entry)

    async def _record_for_stalled_node(self, node: str, version: int, notified_ms: float) -> None:
        await trio.sleep(max(0.0, notified_ms - now_ms()) / 1000.0)
        for entry in self._history.find_changed(version):
            if self._notified_health.get((node, entry.name)) is not entry.health:
                self._record(node, entry)

    def _record(self, node: str, entry: EndpointEntry) -> None:
        self.notifications.append(Notification(now_ms(), node, entry.name, entry.health))
        self._notified_health[node, entry.name] = entry.health
