"""A TCP link between two processes that can be cut and healed, to simulate a network partition, or delayed.

While the link is cut nothing passes. Data written meanwhile to an established connection is delivered once
the link heals, as TCP retransmits it. That includes data of a sender that has closed the connection, because
a FIN only follows the data. If the sender has reset the connection, its kernel has discarded the data and
none is delivered. A connection that is opened while the link is cut is not established, and is reset once the
link heals. On a delayed link, bytes and the end of a connection arrive late but in order.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

import trio

from burlmoor.testbed.http_server import HttpServer
from burlmoor.testbed.http_stream import HttpStream, connect
from burlmoor.transport.address import parse_address

_CHUNK_BYTES = 65_536
_LINE_ENDS = b"\r\n"
# Replaces every byte except line ends, so that lines keep their length but lose their content.
_CORRUPTION_TABLE = bytes(byte if byte in _LINE_ENDS else ord("?") for byte in range(256))


@dataclass
class DirectionConditions:
    """The delay and corruption of bytes in one direction of a link."""

    delay_seconds: float = 0.0
    is_corrupted: bool = False


class NetworkLink:
    """A link to the server at `server` (`host:port`), initially not cut.

    `open` returns the address to which clients connect. `handshake_seconds` is the additional delay of the
    first bytes on a new connection.
    """

    def __init__(self, server: str, nursery: trio.Nursery) -> None:
        self.forward = DirectionConditions()  # towards the server
        self.back = DirectionConditions()
        self.handshake_seconds = 0.0
        # Directions of established connections whose data was delayed by the last cut.
        self.delayed_direction_count = 0
        self._server = server
        self._listener = HttpServer(self._relay, nursery)
        self._healed = trio.Event()
        self._healed.set()

    async def open(self) -> str:
        """Listen for connections, and return the address as `host:port`."""
        return await self._listener.open()

    def set_delay(self, seconds: float) -> None:
        """Delay bytes in both directions."""
        self.forward.delay_seconds = self.back.delay_seconds = seconds

    @property
    def is_cut(self) -> bool:
        """Whether the link is cut."""
        return not self._healed.is_set()

    def cut(self) -> None:
        """Stop delivering in both directions."""
        if not self.is_cut:
            self.delayed_direction_count = 0
            self._healed = trio.Event()

    def heal(self) -> None:
        """Deliver the delayed data, and resume delivery."""
        self._healed.set()

    async def wait_until_healed(self, *, has_data: bool = False) -> None:
        """Wait until the link is healed; with `has_data`, count a direction whose data is delayed."""
        self.delayed_direction_count += has_data
        await self._healed.wait()

    async def _relay(self, downstream: HttpStream) -> None:
        if self.is_cut:
            await self.wait_until_healed()
            downstream.reset()
            return
        try:
            upstream = await connect(parse_address(self._server))
        except OSError:
            downstream.reset()
            return
        established_at = trio.current_time() + self.handshake_seconds
        async with trio.open_nursery() as nursery:
            for pipe in (
                _Pipe(self, downstream, upstream, self.forward),
                _Pipe(self, upstream, downstream, self.back),
            ):
                nursery.start_soon(pipe.run, established_at, nursery.cancel_scope)
        upstream.close()


class _Arrival(NamedTuple):
    """Data that arrives at the sink of a pipe at a time; empty data is the end of the connection."""

    at: float
    data: bytes = b""


class _Pipe:
    """One direction of one connection over a link."""

    def __init__(
        self, link: NetworkLink, source: HttpStream, sink: HttpStream, conditions: DirectionConditions
    ) -> None:
        self._link = link
        self._source = source
        self._sink = sink
        self._conditions = conditions
        self._was_reset = False  # by the source

    async def run(self, established_at: float, both_directions: trio.CancelScope) -> None:
        """Forward bytes until the source closes its side; a reset of one connection resets the other."""
        sender, receiver = trio.open_memory_channel[_Arrival](math.inf)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_all, sender, established_at)
                await self._deliver_all(receiver)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await self._link.wait_until_healed()
            self._source.reset()
            self._sink.reset()
            both_directions.cancel()

    async def _receive_all(self, sender: trio.MemorySendChannel[_Arrival], established_at: float) -> None:
        async with sender:
            is_open = True
            while is_open:
                try:
                    data = await self._source.socket_stream.receive_some(_CHUNK_BYTES)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                    self._was_reset = True
                if self._conditions.is_corrupted:
                    data = data.translate(_CORRUPTION_TABLE)
                arrives_at = max(trio.current_time(), established_at) + self._conditions.delay_seconds
                await sender.send(_Arrival(arrives_at, data))
                is_open = bool(data)

    async def _deliver_all(self, receiver: trio.MemoryReceiveChannel[_Arrival]) -> None:
        """Deliver each arrival when it is due, or later when the link is healed."""
        async for arrival in receiver:
            await trio.sleep_until(arrival.at)
            if self._link.is_cut:
                await self._link.wait_until_healed(has_data=bool(arrival.data))
                await trio.sleep(0.0)  # lets `_receive_all` observe a reset that came meanwhile
                self._raise_if_reset()  # its sender's kernel has discarded the data
            if arrival.data:
                await self._sink.socket_stream.send_all(arrival.data)
            else:
                self._raise_if_reset()
                await self._sink.socket_stream.send_eof()

    def _raise_if_reset(self) -> None:
        """Check that the source has not reset the connection.

        Raises:
            trio.BrokenResourceError: the source has reset it.
        """
        if self._was_reset:
            raise trio.BrokenResourceError
