"""A client that floods a node with input, as a process of its own.

`python -m burlmoor.testbed.fleet.input_flood KIND HOST PORT CONNECTIONS SECONDS` writes to all connections as
fast as the node reads, opens others for those that the node closes, and discards what the node sends.
"""

from __future__ import annotations

import os
import selectors
import socket
import struct
import sys
import time
from contextlib import suppress
from enum import Enum, StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SECONDS = 60.0
_FIELD_COUNT = 3000
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_UNLIMITED = 1 << 20
_RECEIVE_BYTES = 1 << 16
_SELECT_SECONDS = 0.05
_REOPEN_SECONDS = 0.2  # on average, after the client has closed a connection


class FloodKind(StrEnum):
    """What a client floods a node with."""

    CALLBACKS = "callbacks"  # without waiting for the responses
    CHUNKS = "chunks"  # jobs whose bodies come in chunks of one byte
    BYTES = "bytes"  # jobs that are written byte by byte
    FIELDS = "fields"  # heads of thousands of short fields, and no body
    JOBS = "jobs"  # small jobs, without waiting for the responses
    RESETS = "resets"  # large jobs on connections that the client resets at once
    LEAVES = "leaves"  # heads of thousands of short fields on connections that the client closes at once
    LEAVES_CHUNKS = "leaves-chunks"  # the same with jobs whose bodies come in chunks of one byte
    LEAVES_CALLBACKS = "leaves-callbacks"  # the same with call-backs that have thousands of short fields


# They submit no complete job, so that a record of the run does not need their requests.
KINDS_WITHOUT_JOBS = (
    FloodKind.CALLBACKS,
    FloodKind.BYTES,
    FloodKind.FIELDS,
    FloodKind.LEAVES,
    FloodKind.LEAVES_CALLBACKS,
)


class AfterMessage(Enum):
    """What the client does once it has written a message."""

    NEXT = "writes the next one"
    RESET = "resets the connection and opens another"
    LEAVE = "closes the connection and opens another some time later"
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


def _fields_flood(after_message: AfterMessage) -> Flood:
    """Return a flood of heads of thousands of fields, whose bodies are not written."""

    def make_message(number: int) -> bytes:
        return _job(number, 60_000, *["a:b"] * _FIELD_COUNT, written_bytes=0)

    return Flood(make_message, after_message=after_message)


def _callback_with_fields(number: int) -> bytes:
    return _callback(number).replace(b"Host: n\r\n", b"Host: n\r\n" + b"a:b\r\n" * _FIELD_COUNT)


FLOODS = {
    FloodKind.CALLBACKS: Flood(lambda number: b"".join(_callback(number) for _ in range(100))),
    FloodKind.CHUNKS: Flood(_chunked_job),
    FloodKind.BYTES: Flood(lambda number: _job(number, 60_000), max_write_bytes=1),
    FloodKind.FIELDS: _fields_flood(AfterMessage.STOP),
    FloodKind.JOBS: Flood(lambda number: _job(number, 10)),
    FloodKind.RESETS: Flood(lambda number: _job(number, 60_000), after_message=AfterMessage.RESET),
    FloodKind.LEAVES: _fields_flood(AfterMessage.LEAVE),
    FloodKind.LEAVES_CHUNKS: Flood(_chunked_job, after_message=AfterMessage.LEAVE),
    FloodKind.LEAVES_CALLBACKS: Flood(_callback_with_fields, after_message=AfterMessage.LEAVE),
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

    def close(self) -> None:
        """Close the connection; what was written is still delivered."""
        self.sock.close()

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
        self._may_open_at = time.monotonic()

    def run(self, seconds: float) -> None:
        """Write for some seconds."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self._open_missing()
            for key, events in self._selector.select(_SELECT_SECONDS):
                self._serve(key.data, events)

    def _open_missing(self) -> None:
        with suppress(OSError):  # refused; the next round tries again
            while self._open_count < self._connection_count and time.monotonic() >= self._may_open_at:
                connection = _FloodingConnection(self._address)
                if self._flood.after_message is AfterMessage.LEAVE:
                    self._may_open_at += _REOPEN_SECONDS / self._connection_count
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
        elif self._flood.after_message is AfterMessage.LEAVE:
            self._forget(connection)
            connection.close()
        elif self._flood.after_message is AfterMessage.STOP:
            self._selector.modify(connection.sock, selectors.EVENT_READ, connection)
        else:
            connection.unsent = None

    def _drop(self, connection: _FloodingConnection) -> None:
        self._forget(connection)
        connection.reset()

    def _forget(self, connection: _FloodingConnection) -> None:
        self._selector.unregister(connection.sock)
        self._open_count -= 1


def _main(kind: str, host: str, port: str, connection_count: str, seconds: str) -> None:
    client = _FloodingClient(FLOODS[FloodKind(kind)], (host, int(port)), int(connection_count))
    client.run(min(float(seconds), MAX_SECONDS))


if __name__ == "__main__":
    _main(*sys.argv[1:])
