"""A stand-in of the discovery service: the whole list, watches, silent watches and outages.

Each node calls it at an address of its own, and its lists hold that node's addresses of the executors.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from standins_2.wire import HOST, Message, encode_response, port_of, serve

if TYPE_CHECKING:
    from collections.abc import Mapping

    from standins_2.record import Record

_PATH = "/registry/instances"


class Discovery:
    """Serves one versioned list. While `is_down`, each call fails with 503."""

    def __init__(self, record: Record) -> None:
        self.is_down = False
        self._silences_next_watch = False
        self._watch_fell_silent = asyncio.Event()
        self._record = record
        self._version = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._versions: dict[str, int] = {}  # of each entry's last change
        self._dials: dict[str, Mapping[str, str]] = {}  # by host and node
        self._changed = asyncio.Condition()

    async def listen_for(self, node: str) -> str:
        """Listen at a new address for a node, and return it."""

        async def handle(request: Message) -> bytes | None:
            return await self._handle(node, request)

        return f"{HOST}:{port_of(await serve(handle))}"

    def add_entry(self, host: str, dials: Mapping[str, str], **fields: object) -> None:
        """Add an entry with its addresses by node; to be used before nodes start."""
        self._dials[host] = dials
        self._set_entry(host, **fields)

    def _set_entry(self, host: str, **fields: object) -> None:
        default = {"site": "a", "class": "m1", "block": 1, "health": "active", "share": 1.0, "born_ms": 0}
        self._entries[host] = {"host": host, **default, **self._entries.get(host, {}), **fields}
        self._versions[host] = self._version

    async def change_entry(self, host: str, **fields: object) -> None:
        """Change fields of an entry, and tell the watches."""
        async with self._changed:
            self._version += 1
            self._set_entry(host, **fields)
            self._record.add("list changed", host=host, version=self._version, **fields)
            self._changed.notify_all()

    def whole_list(self, node: str) -> dict[str, Any]:
        """Return the whole list for a node, in the form of the protocol."""
        return {"seq": self._version, "whole": True, "hosts": self._entries_for(node, after=0)}

    def _entries_for(self, node: str, after: int) -> list[dict[str, Any]]:
        """Return the entries that changed after this version, with the node's addresses."""
        return [
            {**entry, "dial": self._dials[host][node]}
            for host, entry in self._entries.items()
            if self._versions[host] > after
        ]

    async def silence_watch(self) -> None:
        """Let the next watch fall silent as it begins; its connection stays open. Return once it has."""
        self._silences_next_watch = True
        await self._watch_fell_silent.wait()

    def set_down(self, *, is_down: bool) -> None:
        """Begin or end an outage."""
        self.is_down = is_down
        self._record.add("discovery is down" if is_down else "discovery is back")

    async def _handle(self, node: str, request: Message) -> bytes | None:
        url = urlsplit(request.first_line[1])
        if url.path != _PATH:
            return encode_response(404)
        if self.is_down:
            self._record.add("call failed", node=node, call=request.first_line[1])
            return encode_response(503)
        query = parse_qs(url.query)
        if self._silences_next_watch and "after" in query:
            self._silences_next_watch = False
            self._record.add("watch fell silent", node=node)
            self._watch_fell_silent.set()
            return None
        if "after" not in query:
            answer = self.whole_list(node)
        else:
            answer = await self._changes(node, int(query["after"][0]), float(query["wait_ms"][0]))
        if answer["hosts"]:
            told = {entry["host"]: entry["health"] for entry in answer["hosts"]}
            self._record.add("list told", node=node, version=answer["seq"], hosts=told)
        return encode_response(200, json.dumps(answer).encode())

    async def _changes(self, node: str, after: int, wait_ms: float) -> dict[str, Any]:
        async with self._changed:
            try:
                async with asyncio.timeout(wait_ms / 1000.0):
                    await self._changed.wait_for(lambda: self._version > after)
            except TimeoutError:
                pass
        hosts = self._entries_for(node, after)
        return {"seq": max(after, self._version), "whole": False, "hosts": hosts}
