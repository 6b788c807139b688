"""A stand-in discovery service: one versioned endpoint list, served in full or by long-polling watches.

Each node calls the service at a separate address, and its lists hold its own addresses of the executors.
"""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Unpack
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.endpoint_history import EndpointHistory, EntryFields
from burlmoor.testbed.http_server import HttpServer
from burlmoor.testbed.messages import EndpointEntry, EndpointHealth, EndpointListMessage
from burlmoor.testbed.notification_log import Notification, NotificationLog, Watch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burlmoor.testbed.http_stream import HttpMessage, HttpStream

_DELAY_POLL_SECONDS = 0.05
_QUEUE_TIMEOUT_SECONDS = 2.0  # an overloaded service rejects a call after this time
_PATH = "/registry/instances"


class DiscoveryService:
    """Serves the endpoint list to the nodes, and simulates failures of a discovery service.

    `delay_ms_by_node` holds the delay of every change for nodes that see changes late. While `is_overloaded`,
    each call waits in a queue and is then rejected; nodes nevertheless count as notified of changes.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.delay_ms_by_node: dict[str, float] = {}
        self.is_overloaded = False
        self._nursery = nursery
        self._history = EndpointHistory()
        self._notification_log = NotificationLog(self._history, nursery)
        self._addresses: dict[str, dict[str, str]] = {}  # by node and endpoint
        self._changed = trio.Event()
        self._watches: dict[str, dict[HttpStream, Watch]] = {}  # by node
        self._stalled: set[HttpStream] = set()  # connections whose calls are no longer answered
        # By node that is isolated; the event is set once it is reconnected.
        self._isolated: dict[str, trio.Event] = {}

    @property
    def version(self) -> int:
        """The version of the list, which each change increments."""
        return self._history.version

    @property
    def notifications(self) -> list[Notification]:
        """The changes that nodes were notified of, or count as notified of after a stalled or failed call."""
        return self._notification_log.notifications

    async def listen_for_node(self, node: str, endpoint_addresses: dict[str, str]) -> str:
        """Listen at a new address for one node and return it.

        `endpoint_addresses` are the addresses at which this node reaches the endpoints, by name.
        """
        self._addresses[node] = endpoint_addresses

        async def serve(stream: HttpStream) -> None:
            await self._serve(node, stream)

        return await HttpServer(serve, self._nursery).open()

    def on_node_started(self, node: str) -> None:
        """Forget the failed calls of the node's previous process."""
        self._notification_log.on_node_started(node)

    def set_entry(self, endpoint: str, **fields: Unpack[EntryFields]) -> None:
        """Add an endpoint or change fields of its entry, and notify the watches."""
        self._notification_log.on_list_changed(self._history.change_entry(endpoint, **fields))
        self._changed.set()
        self._changed = trio.Event()

    def full_list(self, node: str) -> dict[str, Any]:
        """Return the complete list, in the form of the node's configuration."""
        message: dict[str, Any] = msgspec.to_builtins(self._full_list(node))
        return message

    @property
    def is_down(self) -> bool:
        """Whether every call is rejected."""
        return self._notification_log.is_service_down

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        """Start or end an outage."""
        if is_down:
            self._notification_log.on_outage_started()
        else:
            self._notification_log.on_outage_ended()

    def stall_watches(self, node: str) -> None:
        """Stop answering the node's watches, but leave their connections open."""
        for stream, watch in self._watches.get(node, {}).items():
            self._stalled.add(stream)
            self._notification_log.on_watch_stalled(node, watch)

    def isolate(self, node: str) -> None:
        """Cut a node off: its watches stall, and later calls hang and are reset once it is reconnected."""
        self.stall_watches(node)
        self._notification_log.on_call_failed(node)
        self._isolated[node] = trio.Event()

    def reconnect(self, node: str) -> None:
        """End the isolation of a node."""
        self._isolated.pop(node).set()

    def reset_watches(self, node: str) -> None:
        """Reset the connections of the node's watches."""
        for stream in list(self._watches.get(node, {})):
            self._notification_log.on_call_failed(node)
            stream.reset()

    async def _serve(self, node: str, stream: HttpStream) -> None:
        while (request := await stream.read()) is not None:
            if node in self._isolated:
                await self._isolated[node].wait()
                stream.reset()
                return
            if not await self._accepts_call():
                self._notification_log.on_call_failed(node)
                await stream.write_response(HTTPStatus.SERVICE_UNAVAILABLE)
            elif not await self._answer(node, stream, request):
                return

    async def _accepts_call(self) -> bool:
        """Return whether a call is accepted, after its time in the queue if the service is overloaded."""
        is_overloaded = self.is_overloaded
        if is_overloaded:
            await trio.sleep(_QUEUE_TIMEOUT_SECONDS)
        return not (is_overloaded or self.is_down)

    async def _answer(self, node: str, stream: HttpStream, request: HttpMessage) -> bool:
        """Answer a call; return whether its connection remains usable."""
        url = urlsplit(request.path)
        if url.path != _PATH:
            await stream.write_response(HTTPStatus.NOT_FOUND)
            return True
        query = parse_qs(url.query)
        if "after" in query:
            version = int(query["after"][0])
            await self._wait_for_change(node, stream, version, float(query["wait_ms"][0]))
            if stream in self._stalled:
                await self._wait_for_disconnect(node, stream)
                return False
            message = self._changes_after(node, version)
        else:
            message = self._full_list(node)
        self._notification_log.on_call_answered(node, message.entries)
        await stream.write_response(HTTPStatus.OK, msgspec.json.encode(message))
        return True

    async def _wait_for_change(self, node: str, stream: HttpStream, version: int, wait_ms: float) -> None:
        """Wait until a newer version is visible to the node, or `wait_ms` have passed."""
        watches = self._watches.setdefault(node, {})
        watches[stream] = Watch(version, now_ms() + wait_ms)
        try:
            with trio.move_on_after(wait_ms / 1000.0):
                while self._visible_version(node) <= version:
                    # No event is set when a change becomes visible to a delayed node, so poll for it.
                    is_delayed = self.version > version
                    with trio.move_on_after(_DELAY_POLL_SECONDS if is_delayed else math.inf):
                        await self._changed.wait()
        finally:
            del watches[stream]

    async def _wait_for_disconnect(self, node: str, stream: HttpStream) -> None:
        """Leave a stalled watch unanswered until the node closes its connection."""
        self._stalled.discard(stream)
        await stream.read()
        self._notification_log.on_call_failed(node)

    def _visible_version(self, node: str) -> int:
        """Return the version that is visible to the node now."""
        delay_ms = self.delay_ms_by_node.get(node, 0.0)
        if not delay_ms:
            return self.version
        return self._history.version_at(now_ms() - delay_ms)

    def _full_list(self, node: str) -> EndpointListMessage:
        version = self._visible_version(node)
        entries = self._history.find_changed(0, version)
        listed = [entry for entry in entries if entry.health is not EndpointHealth.GONE]
        return EndpointListMessage(version, is_complete=True, entries=self._with_addresses(node, listed))

    def _changes_after(self, node: str, version: int) -> EndpointListMessage:
        visible = self._visible_version(node)
        changed = self._history.find_changed(version, visible)
        return EndpointListMessage(
            max(version, visible), is_complete=False, entries=self._with_addresses(node, changed)
        )

    def _with_addresses(self, node: str, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        addresses = self._addresses[node]
        return [msgspec.structs.replace(entry, address=addresses.get(entry.name, "")) for entry in entries]
