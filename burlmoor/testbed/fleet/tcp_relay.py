"""The TCP relays between nodes and executors, which apply link faults to the bytes that pass.

They run in processes of their own, `python -m burlmoor.testbed.fleet.tcp_relay`, several of which share the
ports. The configuration is the first line of a process's input, each further line the list of link faults
from then on; the process ends with its input. What a relay cannot do is refuse a connection on a link that is
cut: the connection is accepted, then nothing comes, and it is reset once the link heals. What was written to
a connection that was up before is delivered then, unless its sender has reset the connection meanwhile.
"""

from __future__ import annotations

import random
import socket
import sys
from contextlib import suppress
from typing import NamedTuple

import msgspec
import trio

from burlmoor.errors import BurlmoorError
from burlmoor.testbed.fleet.addresses import (
    Ports,
    bind_to_loopback,
    executor_address,
    link_address,
    node_address,
    parse_link_address,
)
from burlmoor.testbed.fleet.datagram_faults import corrupt_byte
from burlmoor.testbed.fleet.link_faults import LinkFault
from burlmoor.testbed.fleet.process_input import read_lines, run_process
from burlmoor.testbed.http_stream import HttpStream, connect

_CHUNK_BYTES = 65_536
_BACKLOG = 4096
_RETRANSMIT_SECONDS = 0.2  # by which dropped bytes are late, as TCP would send them again
_ACCEPT_RETRY_SECONDS = 0.02


class RelayConfig(msgspec.Struct):
    """The ports of the fleet, and the seed of what link faults draw."""

    ports: Ports
    seed: int


class LinkResetError(BurlmoorError, trio.BrokenResourceError):
    """A connection that is to be reset by the fault schedule."""


class _Direction(NamedTuple):
    """One direction of a link: forward is from the node to the executor."""

    node: int
    executor: int
    forward: bool

    def reverse(self) -> _Direction:
        return self._replace(forward=not self.forward)


class TcpRelays:
    """Owns the listeners, the connections through them, and the link faults that are in effect."""

    def __init__(self, config: RelayConfig, nursery: trio.Nursery) -> None:
        self._ports = config.ports
        self._nursery = nursery
        self._rng = random.Random(config.seed)
        self._faults: list[LinkFault] = []
        self._faults_changed = trio.Event()

    def apply_faults(self, faults: list[LinkFault]) -> None:
        """Replace the link faults that are in effect."""
        self._faults = faults
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    async def open(self) -> None:
        """Listen on every link's address, for connections from nodes and from executors."""
        for port, forward in ((self._ports.relay_to_executors, True), (self._ports.relay_to_nodes, False)):
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            bind_to_loopback(sock)  # type: ignore[arg-type]
            await sock.bind(("0.0.0.0", port))
            sock.listen(_BACKLOG)
            self._nursery.start_soon(self._accept, trio.SocketListener(sock), forward)

    async def _accept(self, listener: trio.SocketListener, forward: bool) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                await trio.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            self._nursery.start_soon(self._relay, stream, forward)

    async def _relay(self, near: trio.SocketStream, forward: bool) -> None:
        """Connect to the other end and relay both directions until one of the connections is over."""
        far: trio.SocketStream | None = None
        try:
            link = parse_link_address(near.socket.getsockname()[0])
            direction = _Direction(link.node, link.peer, forward)
            if await self._wait_until_open(direction):
                raise LinkResetError
            far = await self._connect(direction)
            async with trio.open_nursery() as nursery:
                cancel_scope = nursery.cancel_scope
                nursery.start_soon(self._copy, near, far, direction, cancel_scope)
                nursery.start_soon(self._copy, far, near, direction.reverse(), cancel_scope)
        except (OSError, ValueError, trio.BrokenResourceError, trio.ClosedResourceError):
            HttpStream(near).reset()
            if far is not None:
                HttpStream(far).reset()
        finally:
            for stream in (near, far):
                if stream is not None:
                    with suppress(OSError, trio.BrokenResourceError):
                        stream.socket.close()

    async def _connect(self, direction: _Direction) -> trio.SocketStream:
        """Connect to the end that this direction leads to."""
        node, executor, forward = direction
        if not forward:
            return (await connect((node_address(node), self._ports.node_http), "")).socket_stream
        address = (executor_address(executor), self._ports.executor_http)
        # From the link's own address, so that the executor knows which node connects.
        return (await connect(address, link_address(node, executor))).socket_stream

    async def _wait_until_open(self, direction: _Direction) -> bool:
        """Wait until the link passes bytes in this direction; whether that took any time."""
        has_waited = False
        while any(fault.kind in ("cut", "stall") and fault.affects(*direction) for fault in self._faults):
            has_waited = True
            await self._faults_changed.wait()
        return has_waited

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: _Direction,
        both_directions: trio.CancelScope,
    ) -> None:
        """Copy bytes until the source ends; an error of either stream ends both directions."""
        # Bytes of one direction stay in order whatever the faults: it is a TCP connection.
        while True:
            try:
                data = await source.receive_some(_CHUNK_BYTES)
                if self._faults:
                    data = await self._apply_to_chunk(data, direction)
                    if source.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                        raise LinkResetError  # by its sender, whose kernel has discarded the data
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                # Handled here: out of the nursery it would come in a group, and end the relay's process.
                HttpStream(sink).reset()
                HttpStream(source).reset()
                both_directions.cancel()
                return
            if not data:
                with suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                    await sink.send_eof()
                return
            try:
                await sink.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                HttpStream(source).reset()
                both_directions.cancel()
                return

    async def _apply_to_chunk(self, data: bytes, direction: _Direction) -> bytes:
        """Apply this direction's faults: wait, corrupt the data, or raise LinkResetError."""
        for fault in [each for each in self._faults if each.affects(*direction)]:
            if fault.kind == "delay":
                await trio.sleep(fault.magnitude * self._rng.uniform(0.8, 1.2) / 1000.0)
            elif fault.kind == "drop" and self._rng.random() < fault.magnitude:
                await trio.sleep(_RETRANSMIT_SECONDS)
            elif fault.kind == "throttle":
                await trio.sleep(len(data) / max(1.0, fault.magnitude))
            elif fault.kind == "reset" and self._rng.random() < fault.magnitude:
                raise LinkResetError
            elif fault.kind == "corrupt" and data and self._rng.random() < fault.magnitude:
                data = corrupt_byte(data, self._rng.randrange(len(data)))
        await self._wait_until_open(direction)
        return data


async def serve(config: RelayConfig) -> None:
    """Relay until the input ends."""
    async with trio.open_nursery() as nursery:
        relays = TcpRelays(config, nursery)
        await relays.open()
        print("{}", flush=True)
        async for line in read_lines():
            relays.apply_faults(msgspec.json.decode(line, type=list[LinkFault]))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(run_process(serve, RelayConfig))
