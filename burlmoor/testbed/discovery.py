"""A stand-in discovery service: one versioned endpoint list, served in full or by long-polling watches.

Each node has an address of its own here, and is given addresses of its own for the executors.
"""

from __future__ import annotations

import json
import math
from bisect import bisect
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.http_stream import HttpServer, HttpStream

# A node whose watch is stalled counts as notified of a change so many ms after the stall began, or after the
# watch's wait would have ended, whichever is later.
NOTIFIED_AFTER_STALL_MS = 6000.0
NOTIFIED_AFTER_WAIT_MS = 2000.0
# A node whose last call failed, was rejected or was canceled counts as notified so long after the change, or
# after this service could be reached again, whichever is later.
NOTIFIED_AFTER_FAILURE_MS = 6000.0
_OUTAGE_POLL_MS = 50.0
_DELAY_POLL_SECONDS = 0.05
_QUEUE_TIMEOUT_SECONDS = 2.0  # after which a call is rejected while too many callers stand before it
_PATH = "/registry/instances"

_Entry = dict[str, Any]
_DEFAULT_ENTRY: _Entry = {
    "site": "a", "class": "m", "block": 1, "health": "active", "share": 1.0, "born_ms": 0,
}  # fmt: skip


class Notification(NamedTuple):
    """When a node was notified of an endpoint's health, or counts as notified."""

    at_ms: float
    node: str
    endpoint: str
    health: str


class _Change(NamedTuple):
    """One version of the list: the entry that is valid from then on."""

    at_ms: float
    endpoint: str
    entry: _Entry


class _Watch(NamedTuple):
    """A watch that waits: the version that the node has, and when its wait ends."""

    version: int
    ends_ms: float


class DiscoveryService:
    """The endpoint list with its history, and the nodes that watch it.

    `delay_ms_by_node` holds the nodes that get every change late. While `is_crowded`, each call is rejected
    once it has waited for its turn for too long; changes count as notified all the same. `notifications` is
    the record of what nodes were notified of, including what a stalled or failed watch has missed and they
    count as notified of.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.delay_ms_by_node: dict[str, float] = {}
        self.notifications: list[Notification] = []
        self.is_crowded = False  # whether calls wait too long for their turn, and fail then
        self._nursery = nursery
        self._history: list[_Change] = []
        self._addresses: dict[str, dict[str, str]] = {}  # by node and endpoint
        self._changed = trio.Event()
        self._down = False
        self._recovered_ms = -math.inf
        self._watches: dict[str, dict[HttpStream, _Watch]] = {}  # by node
        self._stalled: set[HttpStream] = set()  # connections on which nothing is answered any more
        self._failed_nodes: set[str] = set()  # whose last call was rejected, reset or canceled
        # Nodes that are cut off; the event is set when they are back.
        self._isolated: dict[str, trio.Event] = {}
        self._notified_health: dict[tuple[str, str], str] = {}  # by node and endpoint

    @property
    def version(self) -> int:
        """The version of the list; each change adds one."""
        return len(self._history)

    @property
    def is_down(self) -> bool:
        """Whether every call is rejected."""
        return self._down

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        """Start or end an outage."""
        if self._down and not is_down:
            self._recovered_ms = now_ms()
        self._down = is_down

    def on_node_started(self, node: str) -> None:
        """Forget the failed calls of the node's previous process."""
        self._failed_nodes.discard(node)

    async def listen_for_node(self, node: str, endpoint_addresses: dict[str, str]) -> str:
        """Open an address for one node, which reaches endpoints at `endpoint_addresses`, and return it."""
        self._addresses[node] = endpoint_addresses

        async def serve(stream: HttpStream) -> None:
            await self._serve(node, stream)

        return await HttpServer(serve, self._nursery).open()

    def set_entry(self, endpoint: str, **fields: Any) -> None:
        """Add an endpoint or change fields of its entry, and notify the watches."""
        previous: _Entry = next(
            (change.entry for change in reversed(self._history) if change.endpoint == endpoint), {}
        )
        entry = {"host": endpoint, **_DEFAULT_ENTRY, **previous, **fields}
        self._history.append(_Change(now_ms(), endpoint, entry))
        self._nursery.start_soon(self._notify_failed_nodes, self.version)
        self._changed.set()
        self._changed = trio.Event()

    def full_list(self, node: str) -> dict[str, Any]:
        """Return the complete list as the node is given it."""
        version = self._visible_version(node)
        entries = {change.endpoint: change.entry for change in self._history[:version]}
        listed = [entry for entry in entries.values() if entry["health"] != "left"]
        return {"seq": version, "whole": True, "hosts": [self._with_address(node, entry) for entry in listed]}

    # --- failures -------------------------------------------------------------------------------

    def stall_watches(self, node: str) -> None:
        """Stop answering the node's watches, with connections left open."""
        for stream, watch in self._watches.get(node, {}).items():
            self._stalled.add(stream)
            notified_ms = max(now_ms() + NOTIFIED_AFTER_STALL_MS, watch.ends_ms + NOTIFIED_AFTER_WAIT_MS)
            self._nursery.start_soon(self._notify_stalled_node, node, watch.version, notified_ms)

    def isolate(self, node: str) -> None:
        """Cut a node off: its watches stall, and what it calls from now on is reset once it is back."""
        self.stall_watches(node)
        self._failed_nodes.add(node)
        self._isolated[node] = trio.Event()

    def reconnect(self, node: str) -> None:
        """End the isolation of a node."""
        self._isolated.pop(node).set()

    def reset_watches(self, node: str) -> None:
        """Reset the connections of the node's watches."""
        for stream in list(self._watches.get(node, {})):
            self._failed_nodes.add(node)
            stream.reset()

    async def _notify_failed_nodes(self, version: int) -> None:
        """Record a change as notified to the nodes whose last call failed and that have missed it."""
        changed_ms, endpoint, entry = self._history[version - 1]
        while True:
            due_ms = max(changed_ms, self._recovered_ms) + NOTIFIED_AFTER_FAILURE_MS
            wait_ms = _OUTAGE_POLL_MS if self._down else due_ms - now_ms()
            if wait_ms <= 0.0:
                break
            await trio.sleep(wait_ms / 1000.0)
        if any(later.endpoint == endpoint for later in self._history[version:]):
            return
        for node in self._failed_nodes:
            # A new process has the list that it was started with, where every endpoint is active.
            if self._notified_health.get((node, endpoint), "active") != entry["health"]:
                self._record_notification(node, endpoint, entry["health"])

    async def _notify_stalled_node(self, node: str, version: int, notified_ms: float) -> None:
        """Record the changes after `version` as notified to a node at a time."""
        await trio.sleep(max(0.0, notified_ms - now_ms()) / 1000.0)
        missed = {change.endpoint: change.entry for change in self._history[version:]}
        for endpoint, entry in missed.items():
            if self._notified_health.get((node, endpoint)) != entry["health"]:
                self._record_notification(node, endpoint, entry["health"])

    def _record_notification(self, node: str, endpoint: str, health: str) -> None:
        self.notifications.append(Notification(now_ms(), node, endpoint, health))
        self._notified_health[node, endpoint] = health

    # --- serving --------------------------------------------------------------------------------

    def _visible_version(self, node: str) -> int:
        """Return the version that the node may see by now."""
        delay_ms = self.delay_ms_by_node.get(node, 0.0)
        if not delay_ms:
            return self.version
        return bisect(self._history, now_ms() - delay_ms, key=lambda change: change.at_ms)

    def _with_address(self, node: str, entry: _Entry) -> _Entry:
        return {**entry, "dial": self._addresses[node].get(entry["host"], "")}

    async def _serve(self, node: str, stream: HttpStream) -> None:
        while (message := await stream.read()) is not None:
            if node in self._isolated:
                await self._isolated[node].wait()
                stream.reset()
                return
            url = urlsplit(message.path)
            is_crowded = self.is_crowded
            if is_crowded:
                await trio.sleep(_QUEUE_TIMEOUT_SECONDS)
            if self._down or is_crowded:
                self._failed_nodes.add(node)
                await stream.write("HTTP/1.1 503 No")
                continue
            if url.path != _PATH:
                await stream.write("HTTP/1.1 404 No")
                continue
            query = parse_qs(url.query)
            if "after" not in query:
                answer = self.full_list(node)
            else:
                version = int(query["after"][0])
                await self._wait_for_change(node, stream, version, float(query["wait_ms"][0]))
                if stream in self._stalled:
                    await self._wait_for_disconnect(node, stream)
                    return
                answer = self._changes_after(node, version)
            self._failed_nodes.discard(node)
            for entry in answer["hosts"]:
                self._record_notification(node, entry["host"], entry["health"])
            await stream.write("HTTP/1.1 200 OK", json.dumps(answer).encode())

    async def _wait_for_change(self, node: str, stream: HttpStream, version: int, wait_ms: float) -> None:
        """Wait until the node may see a newer version, or its wait is over."""
        watches = self._watches.setdefault(node, {})
        watches[stream] = _Watch(version, now_ms() + wait_ms)
        try:
            with trio.move_on_after(wait_ms / 1000.0):
                while self._visible_version(node) <= version:
                    # A delayed node sees a change at some later time, of which no event tells.
                    is_delayed = self.version > version
                    with trio.move_on_after(_DELAY_POLL_SECONDS if is_delayed else math.inf):
                        await self._changed.wait()
        finally:
            del watches[stream]

    async def _wait_for_disconnect(self, node: str, stream: HttpStream) -> None:
        """Leave a stalled watch unanswered until the node cancels it."""
        self._stalled.discard(stream)
        await stream.read()
        self._failed_nodes.add(node)

    def _changes_after(self, node: str, version: int) -> dict[str, Any]:
        visible = self._visible_version(node)
        entries = {change.endpoint: change.entry for change in self._history[version:visible]}
        hosts = [self._with_address(node, entry) for entry in entries.values()]
        return {"seq": max(version, visible), "whole": False, "hosts": hosts}
