"""Floods a node with idle connections, and reopens those that the node closes."""

from __future__ import annotations

from contextlib import suppress

import trio

from burlmoor.testbed.http_stream import HttpStream, connect

_REOPEN_SECONDS = 0.2  # interval between checks for connections that the node has closed


class ConnectionFlood:
    """Owns the connections of one flood, over which nothing is sent."""

    def __init__(self, address: tuple[str, int], size: int) -> None:
        self._address = address
        self._size = size
        self._streams: list[HttpStream] = []

    async def run(self, seconds: float) -> None:
        """Keep the connections open for this number of seconds."""
        try:
            with trio.move_on_after(seconds):
                while True:
                    await self._replace_closed()
                    await trio.sleep(_REOPEN_SECONDS)
        finally:
            for stream in self._streams:
                stream.close()

    async def _replace_closed(self) -> None:
        """Replace the connections that the node has closed."""
        remaining = []
        for stream in self._streams:
            if stream.has_peer_closed():
                stream.close()
            else:
                remaining.append(stream)
        self._streams = remaining
        with suppress(OSError):  # the node is down; the next check tries again
            while len(self._streams) < self._size:
                self._streams.append(await connect(self._address))
