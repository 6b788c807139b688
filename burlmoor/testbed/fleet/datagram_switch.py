"""The switch for datagrams between nodes, in a process of its own.

Started as `python -m burlmoor.testbed.fleet.datagram_switch`.

A node sends to the address of its link with another; the switch hands the datagram on to that other from
the address of the link back, so that an answer finds its way. What it does to datagrams is decided by
`Wayward`, which is pure.
"""

from __future__ import annotations

import heapq
import random
import socket
import sys
import time
from contextlib import suppress
from typing import NamedTuple

import msgspec
import trio

from burlmoor.testbed.fleet.addresses import ends, link, local
from burlmoor.testbed.fleet.addresses import node as node_at
from burlmoor.testbed.fleet.faults import Effect
from burlmoor.testbed.fleet.notifications import lines, play
from burlmoor.testbed.fleet.tcp_relay import Plan

MOST = 100_000  # datagrams on their way at once: more are lost, as in a switch
_IP_PKTINFO = 8  # linux/in.h; the socket module of Python 3.11 has no name for it
_PKTINFO = socket.CMSG_SPACE(12)


class Flight(NamedTuple):
    """One datagram to hand on, `wait` seconds from now."""

    wait: float
    data: bytes


class Wayward:
    """Owns the effects of the moment, and says what becomes of a datagram."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.effects: list[Effect] = []

    def fate(self, data: bytes, source: int, to: int) -> list[Flight]:
        """What arrives of a datagram from node `source` to node `to`: nothing, once, or more often.

        Between two nodes forward is from those named in `nodes` to those named in `peers`; the way back
        is met with the two in the other order.
        """
        copies = [Flight(0.0, data)]
        for effect in self.effects:
            if not (effect.meets(source, to, True) or effect.meets(to, source, False)):
                continue
            hit = self._rng.random() < effect.size
            if effect.what in ("cut", "stall") or (effect.what == "drop" and hit):
                return []
            if effect.what == "repeat" and hit:
                copies.append(copies[0])
            elif effect.what == "delay":
                copies = [
                    Flight(f.wait + effect.size * self._rng.uniform(0.8, 1.2) / 1e3, f.data) for f in copies
                ]
            elif effect.what == "reorder":
                copies = [Flight(f.wait + self._rng.uniform(0.0, effect.size) / 1e3, f.data) for f in copies]
            elif effect.what == "corrupt" and data and hit:
                at = self._rng.randrange(len(data))
                copies = [
                    Flight(f.wait, f.data[:at] + bytes([f.data[at] ^ 0x20]) + f.data[at + 1 :])
                    for f in copies
                ]
        return copies


class Switch:
    """Owns the socket and the datagrams on their way."""

    def __init__(self, plan: Plan) -> None:
        self._ports, self.wayward = plan.ports, Wayward(plan.seed)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.IPPROTO_IP, _IP_PKTINFO, 1)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        local(self._sock)
        self._sock.bind(("0.0.0.0", self._ports.datagrams))
        self._sock.setblocking(False)
        self._due: list[tuple[float, int, int, int, bytes]] = []
        self._order = 0
        self.lost = 0
        self._woken = trio.Event()

    async def receive(self) -> None:
        """Take what comes, for good."""
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            with suppress(BlockingIOError):
                for _ in range(256):
                    data, ancillary, _flags, _source = self._sock.recvmsg(2048, _PKTINFO)
                    with suppress(ValueError):
                        self._take(data, socket.inet_ntoa(ancillary[0][2][8:12]))
            self._woken.set()

    def _take(self, data: bytes, address: str) -> None:
        source, to = ends(address)
        for flight in self.wayward.fate(data, source, to):
            if len(self._due) >= MOST:
                self.lost += 1
                return
            self._order += 1
            heapq.heappush(self._due, (time.monotonic() + flight.wait, self._order, source, to, flight.data))

    async def hand_on(self) -> None:
        """Hand on what is due, for good."""
        while True:
            self._woken = trio.Event()
            while self._due and self._due[0][0] <= time.monotonic():
                _, _, source, to, data = heapq.heappop(self._due)
                # The sender's address is that of the link back.
                back = b"\0\0\0\0" + socket.inet_aton(link(to, source)) + b"\0\0\0\0"
                with suppress(OSError):
                    self._sock.sendmsg(
                        [data], [(socket.IPPROTO_IP, _IP_PKTINFO, back)], 0, (node_at(to), self._ports.peers)
                    )
            wait = self._due[0][0] - time.monotonic() if self._due else 60.0
            with trio.move_on_after(max(0.0005, wait)):
                await self._woken.wait()


async def serve(plan: Plan) -> None:
    """Switch until the input ends."""
    async with trio.open_nursery() as nursery:
        switch = Switch(plan)
        nursery.start_soon(switch.receive)
        nursery.start_soon(switch.hand_on)
        print("{}", flush=True)
        async for line in lines():
            switch.wayward.effects = msgspec.json.decode(line, type=list[Effect])
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(play(serve, Plan))
