"""The HTTP server of the stand-ins: a listening socket and its connections, which can be aborted."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from burlmoor.testbed.http_stream import HttpStream
from burlmoor.testbed.ports import listen_on_free_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_BACKLOG = 512
_ACCEPT_RETRY_SECONDS = 0.02


class HttpServer:
    """Listens on loopback, by default on a free port, and runs `serve` for each connection."""

    def __init__(
        self,
        serve: Callable[[HttpStream], Awaitable[object]],
        nursery: trio.Nursery,
        address: tuple[str, int] | None = None,
    ) -> None:
        self._address = address
        self._serve = serve
        self._nursery = nursery
        self._streams: set[HttpStream] = set()
        self._listener: trio.SocketListener | None = None

    async def open(self) -> str:
        """Listen, at the previous address if there was one, and return it as `host:port`."""
        sock = listen_on_free_port(_BACKLOG) if self._address is None else _listen_on(self._address)
        host, port = sock.getsockname()
        self._address = (host, port)
        self._listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        self._nursery.start_soon(self._accept_connections, self._listener)
        return f"{host}:{port}"

    async def _accept_connections(self, listener: trio.SocketListener) -> None:
        while True:
            try:
                socket_stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            except OSError:
                # A later attempt may succeed, for instance after running out of descriptors.
                await trio.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            self._nursery.start_soon(self._serve_connection, HttpStream(socket_stream))

    async def _serve_connection(self, stream: HttpStream) -> None:
        self._streams.add(stream)
        try:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._serve(stream)
        finally:
            self._streams.discard(stream)
            with suppress(trio.BrokenResourceError, OSError):
                stream.close()

    def abort(self) -> None:
        """Reset all connections and refuse new ones, as if the process was killed."""
        self.close()
        for stream in list(self._streams):
            stream.reset()

    def close(self) -> None:
        """Stop listening; open connections remain."""
        if self._listener is not None:
            self._listener.socket.close()
            self._listener = None


def _listen_on(address: tuple[str, int]) -> socket.socket:
    """Return a socket that listens on an address, even if earlier connections there are in TIME_WAIT."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(_BACKLOG)
    return sock
