"""A client that floods a node, as a process of its own.

`python -m tests.support.flooding_client KIND PORT N` keeps `N` connections to the node, writes to all of
them as fast as the node reads, and discards what the node sends. It ends by itself after `MAX_SECONDS`.
"""

from __future__ import annotations

import os
import selectors
import signal
import socket
import struct
import subprocess
import sys
import time
from contextlib import asynccontextmanager, suppress
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from burlmoor.testbed.node_process import NodeProcess

MAX_SECONDS = 30.0
_ROOT = Path(__file__).parents[2]
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_UNLIMITED = 1 << 20
_RECEIVE_BYTES = 1 << 16
_SELECT_SECONDS = 0.05


class AfterMessage(Enum):
    """What the client does once it has written a message."""

    NEXT = "writes the next one"
    RESET = "resets the connection and opens another"
    STOP = "writes nothing more, and opens another connection once the node closes this one"


class Flood(NamedTuple):
    """What the client writes on each connection."""

    make_message: Callable[[int], bytes]  # from a number that no other message has
    max_write_bytes: int = _UNLIMITED  # in one call of send(2)
    after_message: AfterMessage = AfterMessage.NEXT


def _job(number: int, body_bytes: int, *fields: str, written_bytes: int | None = None) -> bytes:
    """Return a job with a new id, tenant and key, of whose body `written_bytes` are written."""
    head = (
        f"POST /slot-search/k{number:x} HTTP/1.1",
        "Host: svc",
        f"Request-Id: f{os.getpid():x}-{number:x}",
        "Request-Timeout-Ms: 6000",
        f"Tenant: t{number:x}",
        *fields,
        f"Content-Length: {body_bytes}",
    )
    body = b"x" * (body_bytes if written_bytes is None else written_bytes)
    return "".join(f"{line}\r\n" for line in (*head, "")).encode() + body


def _callback(number: int) -> bytes:
    body = b'{"id":"f%x","from":"s-000","state":"done"}' % number
    return b"POST /v1/job-events HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def _chunked_job(number: int) -> bytes:
    """Return a job whose body comes in chunks of one byte."""
    return _job(number, 0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + (
        b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"
    )


FLOODS = {
    "callbacks": Flood(lambda number: b"".join(_callback(number) for _ in range(100))),
    "chunks": Flood(_chunked_job),
    "bytes": Flood(lambda number: _job(number, 60_000), max_write_bytes=1),
    "fields": Flood(
        lambda number: _job(number, 60_000, *["a:b"] * 3000, written_bytes=0), after_message=AfterMessage.STOP
    ),
    "jobs": Flood(lambda number: _job(number, 10)),
    "resets": Flood(lambda number: _job(number, 60_000), after_message=AfterMessage.RESET),
}


class _FloodingConnection:
    """One connection of the client."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(0.0)  # non-blocking
        self.unsent: bytes | None = None  # None: no message has begun

    def write(self, flood: Flood, number: int) -> bool:
        """Write as much as the kernel accepts now; return whether that completed the message."""
        if self.unsent is None:
            self.unsent = flood.make_message(number)
        self.unsent = self.unsent[self.sock.send(self.unsent[: flood.max_write_bytes]) :]
        return not self.unsent

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.sock.close()


class _FloodingClient:
    """Writes a flood on all its connections in turn."""

    def __init__(self, flood: Flood, address: tuple[str, int], connection_count: int) -> None:
        self._flood = flood
        self._address = address
        self._connection_count = connection_count
        self._selector = selectors.DefaultSelector()
        self._open_count = 0
        self._message_number = 0

    def run(self, seconds: float) -> None:
        """Write for some seconds."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self._open_missing()
            for key, events in self._selector.select(_SELECT_SECONDS):
                self._serve(key.data, events)

    def _open_missing(self) -> None:
        with suppress(OSError):  # refused; the next round tries again
            while self._open_count < self._connection_count:
                connection = _FloodingConnection(self._address)
                self._open_count += 1
                events = selectors.EVENT_READ | selectors.EVENT_WRITE
                self._selector.register(connection.sock, events, connection)

    def _serve(self, connection: _FloodingConnection, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not connection.sock.recv(_RECEIVE_BYTES):
                self._drop(connection)
            elif events & selectors.EVENT_WRITE:
                self._write(connection)
        except BlockingIOError:
            return
        except OSError:
            self._drop(connection)

    def _write(self, connection: _FloodingConnection) -> None:
        self._message_number += 1
        if not connection.write(self._flood, self._message_number):
            return
        if self._flood.after_message is AfterMessage.RESET:
            self._drop(connection)
        elif self._flood.after_message is AfterMessage.STOP:
            self._selector.modify(connection.sock, selectors.EVENT_READ, connection)
        else:
            connection.unsent = None

    def _drop(self, connection: _FloodingConnection) -> None:
        self._selector.unregister(connection.sock)
        connection.reset()
        self._open_count -= 1


@asynccontextmanager
async def flooding(node: NodeProcess, kind: str, connection_count: int) -> AsyncIterator[None]:
    """Flood a node until the context ends."""
    command = [sys.executable, "-m", "tests.support.flooding_client", kind, str(node.address[1])]
    process = await trio.lowlevel.open_process(
        [*command, str(connection_count)], cwd=_ROOT, stdin=subprocess.DEVNULL
    )
    try:
        yield
        assert process.poll() is None, "the flooding client has ended"
    finally:
        with trio.CancelScope(shield=True):
            process.send_signal(signal.SIGKILL)
            await process.wait()


def _main(kind: str, port: str, connection_count: str) -> None:
    _FloodingClient(FLOODS[kind], ("127.0.0.1", int(port)), int(connection_count)).run(MAX_SECONDS)


if __name__ == "__main__":
    _main(*sys.argv[1:])
