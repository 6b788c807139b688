"""A stand-in discovery service: one list with versions, told whole or by a watch; each node has its dials."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from burlmoor.rig.wire import Server, Wire


class Discovery:
    """Owns the list, and who watches it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self.seq = 0
        self._hosts: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._dials: dict[str, dict[str, str]] = {}
        self._news = trio.Event()
        self.down = False

    async def listen(self, node: str, dials: dict[str, str]) -> str:
        """An address for one node, which reaches executors at `dials`."""
        self._dials[node] = dials

        async def serve(wire: Wire) -> None:
            await self._serve(node, wire)

        return await Server(serve, self._nursery).open()

    def tell(self, host: str, **entry: Any) -> None:
        """Set an executor's entry, or part of it; watches hear of it."""
        usual = {"host": host, "site": "a", "class": "m", "block": 1, "health": "active", "share": 1.0,
                 "born_ms": 0}  # fmt: skip
        self.seq += 1
        self._hosts[host] = {**usual, **self._hosts.get(host, {}), **entry}
        self._changed[host] = self.seq
        self._news.set()
        self._news = trio.Event()

    def whole(self, node: str) -> dict[str, Any]:
        """The list as that node is told it."""
        listed = [each for each in self._hosts.values() if each["health"] != "left"]
        return {"seq": self.seq, "whole": True, "hosts": [self._for(node, each) for each in listed]}

    def _for(self, node: str, entry: dict[str, Any]) -> dict[str, Any]:
        return {**entry, "dial": self._dials[node].get(entry["host"], "")}

    async def _serve(self, node: str, wire: Wire) -> None:
        while (message := await wire.read()) is not None:
            asked = urlsplit(message.path)
            query = parse_qs(asked.query)
            if self.down or asked.path != "/registry/instances":
                await wire.write("HTTP/1.1 503 No" if self.down else "HTTP/1.1 404 No")
                continue
            if "after" not in query:
                told = self.whole(node)
            else:
                after, wait = int(query["after"][0]), float(query["wait_ms"][0])
                with trio.move_on_after(wait / 1000.0):
                    while self.seq <= after:
                        await self._news.wait()
                fresh = [host for host, seq in self._changed.items() if seq > after]
                hosts = [self._for(node, self._hosts[host]) for host in fresh]
                told = {"seq": self.seq, "whole": False, "hosts": hosts}
            await wire.write("HTTP/1.1 200 OK", json.dumps(told).encode())
