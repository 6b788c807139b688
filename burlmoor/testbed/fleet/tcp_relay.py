"""Relays TCP connections between nodes and executors, and applies link faults to their bytes.

Relays run in separate processes, started as `python -m burlmoor.testbed.fleet.tcp_relay`, several of which
share the ports. The first line of a process's input is the configuration; each further line replaces the link
faults in effect. The process ends when its input ends.

A relay cannot refuse a connection on a link that is cut: it accepts the connection, delivers nothing, and
resets the connection once the link recovers. Bytes written to a connection that was established before the
cut are delivered on recovery, unless the sender has reset the connection meanwhile.
"""

from __future__ import annotations

import random
import socket
import sys
from contextlib import suppress

import msgspec
import trio

from burlmoor.errors import BurlmoorError
from burlmoor.testbed.fleet.addresses import (
    bind_to_loopback,
    executor_address,
    link_address,
    node_address,
    parse_link_address,
)
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import LinkDirection
from burlmoor.testbed.fleet.line_protocol import read_lines, run_process, send_status_line
from burlmoor.testbed.fleet.link_faults import (
    BLOCKING_FAULTS,
    DELAY_JITTER,
    DirectedLink,
    LinkFault,
    LinkProcessConfig,
    corrupt_byte,
)
from burlmoor.testbed.http_stream import HttpStream, connect

_CHUNK_BYTES = 65_536
_BACKLOG = 4096
_RETRANSMIT_SECONDS = 0.2  # the delay of lost bytes, which TCP would retransmit
_ACCEPT_RETRY_SECONDS = 0.02
_STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class LinkResetError(BurlmoorError, trio.BrokenResourceError):
    """Raised when the fault schedule resets a connection, or its sender has reset it."""

    def __init__(self, link: DirectedLink) -> None:
        super().__init__(f"connection reset on {link}")
        self.link = link


class TcpRelays:
    """Owns the listeners, the relayed connections, and the link faults in effect."""

    def __init__(self, config: LinkProcessConfig, nursery: trio.Nursery) -> None:
        self._ports = config.ports
        self._nursery = nursery
        self._rng = random.Random(config.seed)
        self._faults: list[LinkFault] = []
        self._faults_changed = trio.Event()

    def apply_faults(self, faults: list[LinkFault]) -> None:
        """Replace the link faults in effect."""
        self._faults = faults
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    async def open(self) -> None:
        """Listen on the addresses of all links, for connections from nodes and from executors."""
        for port, direction in (
            (self._ports.relay_to_executors, LinkDirection.FORWARD),
            (self._ports.relay_to_nodes, LinkDirection.BACK),
        ):
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            bind_to_loopback(sock)  # type: ignore[arg-type]
            await sock.bind(("0.0.0.0", port))
            sock.listen(_BACKLOG)
            self._nursery.start_soon(self._accept, trio.SocketListener(sock), direction)

    async def _accept(self, listener: trio.SocketListener, direction: LinkDirection) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                await trio.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            self._nursery.start_soon(self._relay, stream, direction)

    async def _relay(self, accepted: trio.SocketStream, direction: LinkDirection) -> None:
        """Connect to the other end, and relay both directions until they end or either connection fails.

        If the link is reset or either connection fails, both connections are reset.

        Raises:
            LinkResetError: the link is reset; handled here like a failed connection.
        """
        connected: trio.SocketStream | None = None
        try:
            ends = parse_link_address(accepted.socket.getsockname()[0])
            link = DirectedLink(ends.node, ends.peer, direction)
            if await self._wait_until_open(link):
                raise LinkResetError(link)
            connected = await self._connect(link)
            async with trio.open_nursery() as nursery:
                cancel_scope = nursery.cancel_scope
                nursery.start_soon(self._copy, accepted, connected, link, cancel_scope)
                nursery.start_soon(self._copy, connected, accepted, link.reverse(), cancel_scope)
        except (ValueError, *_STREAM_ERRORS):
            HttpStream(accepted).reset()
            if connected is not None:
                HttpStream(connected).reset()
        finally:
            for stream in (accepted, connected):
                if stream is not None:
                    with suppress(OSError, trio.BrokenResourceError):
                        stream.socket.close()

    async def _connect(self, link: DirectedLink) -> trio.SocketStream:
        """Connect to the destination of this direction of the link."""
        if link.direction is LinkDirection.BACK:
            return (await connect((node_address(link.node), self._ports.node_http))).socket_stream
        address = (executor_address(link.peer), self._ports.executor_http)
        # The source address is that of the link, so that the executor knows which node connects.
        return (await connect(address, link_address(link.node, link.peer))).socket_stream

    async def _wait_until_open(self, link: DirectedLink) -> bool:
        """Wait until the link passes bytes in this direction, and return whether it was blocked."""
        has_waited = False
        while any(fault.kind in BLOCKING_FAULTS and fault.affects(link) for fault in self._faults):
            has_waited = True
            await self._faults_changed.wait()
        return has_waited

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        link: DirectedLink,
        both_directions: trio.CancelScope,
    ) -> None:
        """Copy bytes until the source ends; an error on either stream ends both directions."""
        # Faults never reorder the bytes of one direction: this is a TCP connection.
        while True:
            try:
                data = await self._receive(source, link)
            except _STREAM_ERRORS:
                # Handled here: the nursery would raise it in a group, which would end the relay's process.
                HttpStream(sink).reset()
                break
            if not data:
                with suppress(*_STREAM_ERRORS):
                    await sink.send_eof()
                return
            try:
                await sink.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
        HttpStream(source).reset()
        both_directions.cancel()

    async def _receive(self, source: trio.SocketStream, link: DirectedLink) -> bytes:
        """Receive the next chunk, and return it once the faults let it pass.

        Raises:
            LinkResetError: the link is reset, by a fault or by the peer.
        """
        data = await source.receive_some(_CHUNK_BYTES)
        if self._faults:
            data = await self._apply_to_chunk(data, link)
            if source.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise LinkResetError(link)  # reset by its sender, whose kernel has discarded the data
        return data

    async def _apply_to_chunk(self, data: bytes, link: DirectedLink) -> bytes:
        """Apply the faults of this direction: delay the data, corrupt it, or reset the link.

        Raises:
            LinkResetError: a fault resets the link.
        """
        for fault in [each for each in self._faults if each.affects(link)]:
            match fault.kind:
                case FaultKind.LINK_DELAY:
                    await trio.sleep(fault.magnitude * self._rng.uniform(*DELAY_JITTER) / 1000.0)
                case FaultKind.LINK_LOSS if self._rng.random() < fault.magnitude:
                    await trio.sleep(_RETRANSMIT_SECONDS)
                case FaultKind.LINK_THROTTLE:
                    await trio.sleep(len(data) / max(1.0, fault.magnitude))
                case FaultKind.LINK_RESET if self._rng.random() < fault.magnitude:
                    raise LinkResetError(link)
                case FaultKind.LINK_CORRUPTION if data and self._rng.random() < fault.magnitude:
                    data = corrupt_byte(data, self._rng.randrange(len(data)))
        await self._wait_until_open(link)
        return data


async def serve(config: LinkProcessConfig) -> None:
    """Relay connections until the input ends; each input line replaces the link faults in effect."""
    async with trio.open_nursery() as nursery:
        relays = TcpRelays(config, nursery)
        await relays.open()
        send_status_line()
        async for line in read_lines():
            relays.apply_faults(msgspec.json.decode(line, type=list[LinkFault]))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(run_process(serve, LinkProcessConfig))
