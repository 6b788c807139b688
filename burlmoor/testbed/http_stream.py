"""A minimal HTTP/1.1 implementation for stand-ins, for complete messages framed by Content-Length."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from http import HTTPStatus

_LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: close() sends a reset
_RECEIVE_BYTES = 65_536


class HttpMessage(NamedTuple):
    """One complete HTTP message; header names are lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line.split(" ", 1)[0]

    @property
    def path(self) -> str:
        """The target of a request, including its query."""
        return self.start_line.split(" ", 2)[1]


class HttpStream:
    """A connection that carries HTTP messages, with the received bytes that are not parsed yet."""

    def __init__(self, socket_stream: trio.SocketStream) -> None:
        self.socket_stream = socket_stream
        self._buffer = b""

    async def read(self) -> HttpMessage | None:
        """Read the next message; return None if the connection ends before it is complete."""
        while b"\r\n\r\n" not in self._buffer:
            if not await self._receive():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        start_line, *lines = head.decode("latin-1").split("\r\n")
        fields = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        size = int(headers.get("content-length", 0))
        while len(self._buffer) < size:
            if not await self._receive():
                return None
        body = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return HttpMessage(start_line, headers, body)

    async def _receive(self) -> bool:
        """Receive more bytes; return false if the connection has ended."""
        try:
            data = await self.socket_stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self._buffer += data
        return bool(data)

    async def write_response(self, status: HTTPStatus, body: bytes = b"", **headers: str) -> None:
        """Write a response; `_` in a header's name stands for `-`."""
        await self.write(f"HTTP/1.1 {status.value} {status.phrase}", body, **headers)

    async def write(self, start_line: str, body: bytes = b"", **headers: str) -> None:
        """Write a message; `_` in a header's name stands for `-`."""
        fields = {"Content-Length": str(len(body))}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        await self.socket_stream.send_all(f"{start_line}\r\n{head}\r\n".encode() + body)

    def has_peer_closed(self) -> bool:
        """Whether the connection has ended, with nothing left to read."""
        try:
            with socket.socket(fileno=os.dup(self.socket_stream.socket.fileno())) as sock:
                return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True  # reset, or closed on this side

    def close(self) -> None:
        """Close the connection."""
        self.socket_stream.socket.close()

    def reset(self) -> None:
        """Close the connection with a reset, as the kernel does for a process that was killed."""
        sock = self.socket_stream.socket
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        trio.lowlevel.notify_closing(sock)
        sock.close()


async def connect(address: tuple[str, int], source: str = "") -> HttpStream:
    """Open a connection to a loopback address, from the address `source` if given.

    Raises:
        OSError: the connection fails.
    """
    sock = trio.socket.socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source:
            await sock.bind((source, 0))
        await sock.connect(address)
    except BaseException:
        # BaseException, so that the socket is not leaked on cancellation either.
        sock.close()
        raise
    return HttpStream(trio.SocketStream(sock))
