"""A stand-in discovery service: one list with versions, told whole or by a watch; each node has its dials."""

from __future__ import annotations

import json
import math
from bisect import bisect
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from burlmoor.rig.executor import now
from burlmoor.rig.wire import Server, Wire


class Discovery:
    """Owns the list, and who watches it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._history: list[tuple[float, str, dict[str, Any]]] = []  # when, who, and what is so since
        self._dials: dict[str, dict[str, str]] = {}
        self._news = trio.Event()
        self.down = False
        self.late: dict[str, float] = {}  # nodes that hear of everything so many ms late
        self.heard: list[tuple[float, str, str, str]] = []  # when, which node, of whom, their health

    @property
    def seq(self) -> int:
        """The version of the list: each change is one."""
        return len(self._history)

    def _shown(self, node: str) -> int:
        """The version that this node is told."""
        late = self.late.get(node, 0.0)
        return self.seq if not late else bisect(self._history, now() - late, key=lambda each: each[0])

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
        before: dict[str, Any] = next((each for _, name, each in reversed(self._history) if name == host), {})
        self._history.append((now(), host, {**usual, **before, **entry}))
        self._news.set()
        self._news = trio.Event()

    def whole(self, node: str) -> dict[str, Any]:
        """The list as that node is told it."""
        shown = self._shown(node)
        hosts = {host: entry for _, host, entry in self._history[:shown]}
        listed = [each for each in hosts.values() if each["health"] != "left"]
        return {"seq": shown, "whole": True, "hosts": [self._for(node, each) for each in listed]}

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
                    while self._shown(node) <= after:
                        with trio.move_on_after(0.05 if self.seq > after else math.inf):
                            await self._news.wait()
                shown = self._shown(node)
                fresh = {host: entry for _, host, entry in self._history[after:shown]}
                hosts = [self._for(node, each) for each in fresh.values()]
                told = {"seq": max(after, shown), "whole": False, "hosts": hosts}
            at = now()
            self.heard += [(at, node, each["host"], each["health"]) for each in told["hosts"]]
            await wire.write("HTTP/1.1 200 OK", json.dumps(told).encode())
