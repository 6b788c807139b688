"""A TCP link between a node and an executor that can be cut and healed, as a partitioned network is.

While it is cut nothing passes. What was written meanwhile on a connection that was up before is delivered
once the link heals, as TCP retransmits it: also if its sender has closed the connection in the ordinary way,
which only queues the end behind the data. A sender that has reset the connection has discarded its data, so
nothing of it is delivered. A connection that is made while the link is cut does not come up, and is reset at
the end.
"""

from __future__ import annotations

import socket

import trio

from burlmoor.testbed.http_stream import HttpServer, HttpStream, connect
from burlmoor.transport.address import parse_address

_CHUNK_BYTES = 65_536


class NetworkLink:
    """One link to the executor that listens at `target` (`host:port`); `open` gives the address for nodes."""

    def __init__(self, target: str, nursery: trio.Nursery) -> None:
        self._target = parse_address(target)
        self._server = HttpServer(self._relay, nursery)
        self._healed = trio.Event()
        self._healed.set()
        self.held_connections = 0  # established ones on which data was held back since the link was last cut

    async def open(self) -> str:
        """Listen for nodes; the address as `host:port`."""
        return await self._server.open()

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

    async def _relay(self, near: HttpStream) -> None:
        if self.is_cut:
            await self._healed.wait()
            near.reset()
            return
        try:
            far = await connect(self._target)
        except OSError:
            near.reset()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far, nursery.cancel_scope)
            nursery.start_soon(self._copy, far, near, nursery.cancel_scope)
        far.close()

    async def _copy(self, source: HttpStream, sink: HttpStream, both_directions: trio.CancelScope) -> None:
        """Copy until the source ends its side; a reset of either side resets the other."""
        try:
            while data := await source.socket_stream.receive_some(_CHUNK_BYTES):
                await self._wait_until_healed()
                _raise_if_reset(source)
                await sink.socket_stream.send_all(data)
            await self._healed.wait()
            await sink.socket_stream.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await self._healed.wait()
            source.reset()
            sink.reset()
            both_directions.cancel()

    async def _wait_until_healed(self) -> None:
        if self.is_cut:
            self.held_connections += 1
            await self._healed.wait()


def _raise_if_reset(stream: HttpStream) -> None:
    """Raise OSError if the peer has reset the connection after it had sent data."""
    code = stream.socket_stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, "reset by its sender")
