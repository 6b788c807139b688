"""Switches datagrams between nodes, in a separate process.

The process is started as `python -m burlmoor.testbed.fleet.datagram_switch`. A node sends to the address of
its link to another node. The switch delivers the datagram to that node from the address of the reverse link,
so that answers are routed back. Link faults are applied by `datagram_faults.py`.
"""

from __future__ import annotations

import heapq
import socket
import sys
import time
from contextlib import suppress
from typing import NamedTuple

import msgspec
import trio

from burlmoor.testbed.fleet.addresses import (
    LinkAddressError,
    bind_to_loopback,
    link_address,
    node_address,
    parse_link_address,
)
from burlmoor.testbed.fleet.datagram_faults import DatagramFaults
from burlmoor.testbed.fleet.line_protocol import read_lines, run_process, send_status_line
from burlmoor.testbed.fleet.link_faults import LinkFault, LinkProcessConfig

MAX_QUEUED_DATAGRAMS = 100_000  # any more are lost, as in a real switch
_MAX_BATCH = 256  # datagrams received in a row before due ones are delivered
_MAX_DATAGRAM_BYTES = 2048
_RECEIVE_BUFFER_BYTES = 4 << 20
_IDLE_SECONDS = 60.0
_MIN_WAIT_SECONDS = 0.0005
_IP_PKTINFO = 8  # from linux/in.h; the socket module of Python 3.11 does not define it
_PKTINFO_BYTES = 12  # size of struct in_pktinfo: interface, local address, destination
_PKTINFO_DESTINATION = slice(8, 12)


class _QueuedDatagram(NamedTuple):
    due_seconds: float  # on the monotonic clock
    order: int  # order of queueing, in which datagrams due at the same time are delivered
    source: int
    destination: int
    payload: bytes


class DatagramSwitch:
    """Owns the socket and the queued datagrams."""

    def __init__(self, config: LinkProcessConfig) -> None:
        self.faults = DatagramFaults(config.seed)
        self.lost_count = 0
        self._ports = config.ports
        self._queue: list[_QueuedDatagram] = []
        self._queued_count = 0
        self._queue_changed = trio.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def open(self) -> None:
        """Bind the socket to the addresses of all links."""
        self._socket.setsockopt(socket.IPPROTO_IP, _IP_PKTINFO, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        bind_to_loopback(self._socket)
        self._socket.bind(("0.0.0.0", self._ports.switch_datagrams))
        self._socket.settimeout(0.0)  # non-blocking

    async def receive(self) -> None:
        """Queue each datagram that arrives, until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            with suppress(BlockingIOError):
                for _ in range(_MAX_BATCH):
                    payload, ancillary, _flags, _source = self._socket.recvmsg(
                        _MAX_DATAGRAM_BYTES, socket.CMSG_SPACE(_PKTINFO_BYTES)
                    )
                    with suppress(LinkAddressError):  # the destination is not a node
                        self._enqueue(payload, socket.inet_ntoa(ancillary[0][2][_PKTINFO_DESTINATION]))
            self._queue_changed.set()

    def _enqueue(self, payload: bytes, address: str) -> None:
        link = parse_link_address(address)
        for copy in self.faults.apply(payload, link.node, link.peer):
            if len(self._queue) >= MAX_QUEUED_DATAGRAMS:
                self.lost_count += 1
                return
            self._queued_count += 1
            due_seconds = time.monotonic() + copy.delay_seconds
            queued = _QueuedDatagram(due_seconds, self._queued_count, link.node, link.peer, copy.payload)
            heapq.heappush(self._queue, queued)

    async def deliver(self) -> None:
        """Deliver each datagram when it is due, until cancelled."""
        while True:
            self._queue_changed = trio.Event()
            while self._queue and self._queue[0].due_seconds <= time.monotonic():
                self._send(heapq.heappop(self._queue))
            wait_seconds = self._queue[0].due_seconds - time.monotonic() if self._queue else _IDLE_SECONDS
            with trio.move_on_after(max(_MIN_WAIT_SECONDS, wait_seconds)):
                await self._queue_changed.wait()

    def _send(self, datagram: _QueuedDatagram) -> None:
        """Send a datagram from the address of the reverse link, which is set through struct in_pktinfo."""
        reverse_link = socket.inet_aton(link_address(datagram.destination, datagram.source))
        packet_info = b"\0\0\0\0" + reverse_link + b"\0\0\0\0"
        destination = (node_address(datagram.destination), self._ports.node_datagrams)
        # The node may be down: its datagrams are lost then.
        with suppress(OSError):
            self._socket.sendmsg(
                [datagram.payload], [(socket.IPPROTO_IP, _IP_PKTINFO, packet_info)], 0, destination
            )


async def serve(config: LinkProcessConfig) -> None:
    """Switch datagrams until the input ends; each input line replaces the link faults in effect."""
    async with trio.open_nursery() as nursery:
        switch = DatagramSwitch(config)
        switch.open()
        nursery.start_soon(switch.receive)
        nursery.start_soon(switch.deliver)
        send_status_line()
        async for line in read_lines():
            switch.faults.link_faults = msgspec.json.decode(line, type=list[LinkFault])
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(run_process(serve, LinkProcessConfig))
