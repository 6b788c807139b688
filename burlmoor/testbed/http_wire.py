"""HTTP/1.1 on one connection, plainly enough for stand-ins: whole messages with a Content-Length."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

import trio

_LINGER_NONE = struct.pack("ii", 1, 0)


class HttpMessage(NamedTuple):
    """One HTTP message, read whole."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start_line.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line.split(" ", 1)[0]

    @property
    def path(self) -> str:
        """The target of a request, its query included."""
        return self.start_line.split(" ", 2)[1]


class HttpStream:
    """Owns what was read of one connection and not used yet."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.socket_stream, self._buffer = stream, b""

    async def read(self) -> HttpMessage | None:
        """The next message; None where the connection ends before it is whole."""
        while b"\r\n\r\n" not in self._buffer:
            if not await self._more():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        size = int(headers.get("content-length", 0))
        while len(self._buffer) < size:
            if not await self._more():
                return None
        body, self._buffer = self._buffer[:size], self._buffer[size:]
        return HttpMessage(start, headers, body)

    async def _more(self) -> bool:
        try:
            data = await self.socket_stream.receive_some(65536)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self._buffer += data
        return bool(data)

    async def write(self, start: str, body: bytes = b"", **headers: str) -> None:
        """Write a message; `_` in a header's name stands for `-`."""
        fields = {"Content-Length": str(len(body)), **{k.replace("_", "-"): v for k, v in headers.items()}}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        await self.socket_stream.send_all(f"{start}\r\n{head}\r\n".encode() + body)

    def reset(self) -> None:
        """End the connection as a machine does whose process has died."""
        sock = self.socket_stream.socket
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        trio.lowlevel.notify_closing(sock)
        sock.close()


async def connect(address: tuple[str, int], source: str = "") -> HttpStream:
    """A connection to a loopback address, from `source` if that is named; OSError where it is refused."""
    sock = trio.socket.socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source:
            await sock.bind((source, 0))
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return HttpStream(trio.SocketStream(sock))


class HttpServer:
    """Owns one listening socket on loopback and the connections accepted on it."""

    def __init__(self, serve: Callable[[HttpStream], Awaitable[object]], nursery: trio.Nursery) -> None:
        self._serve, self._nursery = serve, nursery
        self._wires: set[HttpStream] = set()
        self._listener: trio.SocketListener | None = None
        self.address = ("127.0.0.1", 0)

    async def open(self) -> str:
        """Listen, at the address it had before if it had one; `host:port`."""
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await sock.bind(self.address)
        sock.listen(512)
        host, port = sock.getsockname()
        self.address = (host, port)
        self._listener = listener = trio.SocketListener(sock)
        self._nursery.start_soon(self._accept, listener)
        return f"{host}:{port}"

    async def _accept(self, listener: trio.SocketListener) -> None:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            except OSError:
                await trio.sleep(0.02)
                continue
            self._nursery.start_soon(self._run, HttpStream(stream))

    async def _run(self, wire: HttpStream) -> None:
        self._wires.add(wire)
        try:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._serve(wire)
        finally:
            self._wires.discard(wire)
            with suppress(trio.BrokenResourceError, OSError):
                wire.socket_stream.socket.close()

    def abort(self) -> None:
        """End as a process that was killed: connections are reset, new ones refused."""
        self.close()
        for wire in list(self._wires):
            wire.reset()

    def close(self) -> None:
        """Listen no more; connections go on."""
        if self._listener is not None:
            self._listener.socket.close()
            self._listener = None
