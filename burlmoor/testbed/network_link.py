"""A TCP link between two parties that can be cut and healed, as a partitioned network is, or be slow.

While it is cut nothing passes. What was written meanwhile on a connection that was up before is delivered
once the link heals, as TCP retransmits it: also if its sender has closed the connection in the ordinary way,
which only queues the end behind the data. A sender that has reset the connection has discarded its data, so
nothing of it is delivered. A connection that is made while the link is cut does not come up, and is reset at
the end. On a slow link, bytes and the end of a connection arrive after a delay, in their order.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from burlmoor.testbed.http_stream import HttpServer, HttpStream, connect
from burlmoor.transport.address import parse_address

_CHUNK_BYTES = 65_536
_LINE_ENDS = b"\r\n"
# Each byte of a garbled direction by what arrives in its place: lines stay lines, and say nothing.
_GARBLING_TABLE = bytes(byte if byte in _LINE_ENDS else ord("?") for byte in range(256))


@dataclass
class DirectionConditions:
    """How one direction of a link treats the bytes that pass."""

    delay_seconds: float = 0.0
    is_garbled: bool = False  # whether bytes arrive spoilt


@dataclass
class NetworkLink:
    """One link to the party that listens at `target` (`host:port`); `open` gives the address for the others.

    `handshake_seconds` is by how much the first bytes on a new connection come later.
    """

    target: str
    nursery: trio.Nursery
    forward: DirectionConditions = field(default_factory=DirectionConditions)  # towards the target
    back: DirectionConditions = field(default_factory=DirectionConditions)
    handshake_seconds: float = 0.0
    held_connections: int = 0  # established ones on which data was held back since the link was last cut

    def __post_init__(self) -> None:
        """Begin with a link that is not cut."""
        self._server = HttpServer(self._relay, self.nursery)
        self._healed = trio.Event()
        self._healed.set()

    async def open(self) -> str:
        """Listen for connections; the address as `host:port`."""
        return await self._server.open()

    def set_delay(self, seconds: float) -> None:
        """Let bytes take so long in either direction."""
        self.forward.delay_seconds = self.back.delay_seconds = seconds

    @property
    def is_cut(self) -> bool:
        """Whether nothing passes now."""
        return not self._healed.is_set()

    def cut(self) -> None:
        """Let nothing pass in either direction from now on."""
        if not self.is_cut:
            self.held_connections = 0
            self._healed = trio.Event()

    def heal(self) -> None:
        """Deliver what was held back, and let everything pass again."""
        self._healed.set()

    async def wait_until_healed(self) -> None:
        """Wait until bytes pass."""
        await self._healed.wait()

    async def _relay(self, near: HttpStream) -> None:
        if self.is_cut:
            await self.wait_until_healed()
            near.reset()
            return
        try:
            far = await connect(parse_address(self.target))
        except OSError:
            near.reset()
            return
        up_at = trio.current_time() + self.handshake_seconds
        async with trio.open_nursery() as nursery:
            for pipe in (_Pipe(self, near, far, self.forward), _Pipe(self, far, near, self.back)):
                nursery.start_soon(pipe.run, up_at, nursery.cancel_scope)
        far.close()


class _Arrival(NamedTuple):
    """What arrives at the end of a pipe, and when; no data: the end of the connection."""

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

    async def run(self, up_at: float, both_directions: trio.CancelScope) -> None:
        """Pass bytes on until the source ends its side; a reset of either side resets the other."""
        sender, receiver = trio.open_memory_channel[_Arrival](math.inf)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_all, sender, up_at)
                await self._deliver_all(receiver)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await self._link.wait_until_healed()
            self._source.reset()
            self._sink.reset()
            both_directions.cancel()

    async def _receive_all(self, sender: trio.MemorySendChannel[_Arrival], up_at: float) -> None:
        async with sender:
            data = b"any"
            while data:
                try:
                    data = await self._source.socket_stream.receive_some(_CHUNK_BYTES)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                    self._was_reset = True
                if self._conditions.is_garbled:
                    data = data.translate(_GARBLING_TABLE)
                arrives_at = max(trio.current_time(), up_at) + self._conditions.delay_seconds
                await sender.send(_Arrival(arrives_at, data))

    async def _deliver_all(self, receiver: trio.MemoryReceiveChannel[_Arrival]) -> None:
        """Deliver each arrival at its time, and once the link is healed."""
        async for arrival in receiver:
            await trio.sleep_until(arrival.at)
            if self._link.is_cut:
                self._link.held_connections += bool(arrival.data)
                await self._link.wait_until_healed()
                await trio.sleep(0.0)  # a reset that came meanwhile is noticed first
                self._raise_if_reset()  # its sender's kernel has discarded the data
            if arrival.data:
                await self._sink.socket_stream.send_all(arrival.data)
            else:
                self._raise_if_reset()
                await self._sink.socket_stream.send_eof()

    def _raise_if_reset(self) -> None:
        if self._was_reset:
            raise trio.BrokenResourceError
