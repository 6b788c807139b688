"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

_END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: str  # the request line or the status line
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a Content-Length; return None if the peer has closed or reset the connection."""
    try:
        head = (await reader.readuntil(_END_OF_HEAD)).decode("latin-1")
        start, *lines = head.rstrip("\r\n").split("\r\n")
        fields = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(start, headers, body)


def encode_request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a request; one by POST has a Content-Length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + _END_OF_HEAD + body


def encode_response(status: HTTPStatus, body: bytes = b"", *headers: str) -> bytes:
    """Encode a response; `headers` are further header lines."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *headers]
    if status is not HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + _END_OF_HEAD + body


async def call(address: tuple[str, int], request: bytes) -> Message | None:
    """Send one request on a new connection and return its response, or None if there was none."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    try:
        writer.write(request)
        return await read_message(reader)
    finally:
        writer.close()


class Server:
    """Listens at a free port of a loopback address and answers the requests of all connections.

    `respond` returns the response to a request. If it returns None, the connection falls silent: it stays
    open, and nothing is ever sent on it.
    """

    def __init__(self, host: str, respond: Callable[[Message], Awaitable[bytes | None]]) -> None:
        self.address = (host, 0)
        self._respond = respond
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening; the connections end with the run."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                response = await self._respond(request)
                if response is None:
                    await reader.read()  # until the other side closes the connection
                    return
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return  # the connection broke, or the run ends
        finally:
            writer.close()
