"""A stand-in discovery service: one list with versions, told whole or by a watch; each node has its dials."""

from __future__ import annotations

import json
import math
from bisect import bisect
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.http_stream import HttpServer, HttpStream

# ms until what a silent watch misses counts as told: after it fell silent, after its call's wait is over.
NOTIFIED_AFTER_STALL_MS, NOTIFIED_AFTER_WAIT_MS = 6000.0, 2000.0
# ms until a change counts as told where a call failed, was refused or was given up: after it was here, and
# this service within reach.
NOTIFIED_AFTER_FAILURE_MS = 6000.0


class DiscoveryService:
    """Owns the list, and who watches it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._history: list[tuple[float, str, dict[str, Any]]] = []  # when, who, and what is so since
        self._dials: dict[str, dict[str, str]] = {}
        self._news = trio.Event()
        self._down, self._back = False, -math.inf  # whether every call is refused, and when that ended last
        self.delay_ms_by_node: dict[str, float] = {}  # nodes that hear of everything so many ms late
        # When, which node, of whom, their health: written to it, or missed by a silent watch and told anyway.
        self.notifications: list[tuple[float, str, str, str]] = []
        self._watches: dict[
            str, dict[HttpStream, tuple[int, float]]
        ] = {}  # by node: the version, the wait's end
        self._mute: set[HttpStream] = set()  # on these nothing is answered any more
        self._failed: set[str] = set()  # nodes whose last call was refused, reset or given up
        self._health: dict[tuple[str, str], str] = {}  # what each node has heard last, of whom

    @property
    def version(self) -> int:
        """The version of the list: each change is one."""
        return len(self._history)

    @property
    def down(self) -> bool:
        """Whether every call is refused."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        self._back = now_ms() if self._down and not down else self._back
        self._down = down

    def on_node_started(self, node: str) -> None:
        """The node's process is a new one, whose calls have not failed."""
        self._failed.discard(node)

    def _note(self, node: str, host: str, health: str) -> None:
        self.notifications.append((now_ms(), node, host, health))
        self._health[node, host] = health

    def _shown(self, node: str) -> int:
        """The version that this node is told."""
        late = self.delay_ms_by_node.get(node, 0.0)
        return self.version if not late else bisect(self._history, now_ms() - late, key=lambda each: each[0])

    async def listen_for_node(self, node: str, dials: dict[str, str]) -> str:
        """An address for one node, which reaches executors at `dials`."""
        self._dials[node] = dials

        async def serve(wire: HttpStream) -> None:
            await self._serve(node, wire)

        return await HttpServer(serve, self._nursery).open()

    def set_entry(self, host: str, **entry: Any) -> None:
        """Set an executor's entry, or part of it; watches hear of it."""
        usual = {"host": host, "site": "a", "class": "m", "block": 1, "health": "active", "share": 1.0,
                 "born_ms": 0}  # fmt: skip
        before: dict[str, Any] = next((each for _, name, each in reversed(self._history) if name == host), {})
        self._history.append((now_ms(), host, {**usual, **before, **entry}))
        self._nursery.start_soon(self._failed_to_hear, self.version)
        self._news.set()
        self._news = trio.Event()

    def stall_watches(self, node: str) -> None:
        """The node's watch is lost without a sign; what it misses counts as told some seconds later."""
        for wire, (after, over) in self._watches.get(node, {}).items():
            self._mute.add(wire)
            at = max(now_ms() + NOTIFIED_AFTER_STALL_MS, over + NOTIFIED_AFTER_WAIT_MS)
            self._nursery.start_soon(self._missed, node, after, at)

    def reset_watches(self, node: str) -> None:
        """The node's watch is reset."""
        for wire in list(self._watches.get(node, {})):
            self._failed.add(node)
            wire.reset()

    async def _failed_to_hear(self, version: int) -> None:
        """Note the change as told to whoever's last call failed, and who has not heard of it."""
        changed, host, entry = self._history[version - 1]
        while self.down or (left := max(changed, self._back) + NOTIFIED_AFTER_FAILURE_MS - now_ms()) > 0.0:
            await trio.sleep((50.0 if self.down else left) / 1000.0)
        if any(later == host for _, later, _ in self._history[version:]):
            return
        for node in self._failed:
            # A new process holds what it was given until it is told otherwise.
            if self._health.get((node, host), "active") != entry["health"]:
                self._note(node, host, entry["health"])

    async def _missed(self, node: str, after: int, at: float) -> None:
        await trio.sleep(max(0.0, at - now_ms()) / 1000.0)
        for host, entry in {host: entry for _, host, entry in self._history[after:]}.items():
            if self._health.get((node, host)) != entry["health"]:
                self._note(node, host, entry["health"])

    def full_list(self, node: str) -> dict[str, Any]:
        """The list as that node is told it."""
        shown = self._shown(node)
        hosts = {host: entry for _, host, entry in self._history[:shown]}
        listed = [each for each in hosts.values() if each["health"] != "left"]
        return {"seq": shown, "whole": True, "hosts": [self._for(node, each) for each in listed]}

    def _for(self, node: str, entry: dict[str, Any]) -> dict[str, Any]:
        return {**entry, "dial": self._dials[node].get(entry["host"], "")}

    async def _serve(self, node: str, wire: HttpStream) -> None:
        while (message := await wire.read()) is not None:
            asked = urlsplit(message.path)
            query = parse_qs(asked.query)
            if self.down:
                self._failed.add(node)
            if self.down or asked.path != "/registry/instances":
                await wire.write("HTTP/1.1 503 No" if self.down else "HTTP/1.1 404 No")
                continue
            if "after" not in query:
                told = self.full_list(node)
            else:
                after, wait = int(query["after"][0]), float(query["wait_ms"][0])
                watches = self._watches.setdefault(node, {})
                watches[wire] = (after, now_ms() + wait)
                try:
                    with trio.move_on_after(wait / 1000.0):
                        while self._shown(node) <= after:
                            with trio.move_on_after(0.05 if self.version > after else math.inf):
                                await self._news.wait()
                finally:
                    del watches[wire]
                if wire in self._mute:
                    self._mute.discard(wire)
                    await wire.read()  # until the node has given it up
                    self._failed.add(node)
                    return
                shown = self._shown(node)
                fresh = {host: entry for _, host, entry in self._history[after:shown]}
                hosts = [self._for(node, each) for each in fresh.values()]
                told = {"seq": max(after, shown), "whole": False, "hosts": hosts}
            self._failed.discard(node)
            for each in told["hosts"]:
                self._note(node, each["host"], each["health"])
            await wire.write("HTTP/1.1 200 OK", json.dumps(told).encode())
