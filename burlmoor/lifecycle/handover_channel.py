"""The link between two processes of one node while one takes over from the other."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Protocol

import msgspec
import trio

from burlmoor.admin.overrides import Overrides
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.log import EventLogger
from burlmoor.stats.snapshot import StatisticsSnapshot

VERSION = 2
_MESSAGE_LIMIT = 160 * 1024  # bytes of one datagram; the kernel takes little more
_WHOLE_LIMIT = 16 << 20  # of a message in parts: what is known of thousands of executors
_PART = 128 * 1024
_QUEUE_LIMIT = 2048  # messages that wait to go out: a peer that reads nothing is as good as gone
_PENDING_LIMIT = 1024  # questions without an answer
_PATH_LIMIT = 100  # bytes that the kernel takes of a Unix socket's path


class Hello(msgspec.Struct, tag="Hello"):
    """New to old: I would take over."""

    version: int = VERSION


class Snapshot(msgspec.Struct, tag="Snapshot"):
    """Old to new: how things stand."""

    overrides: Overrides = msgspec.field(name="by_hand")
    endpoints: DiscoveredList | None = msgspec.field(name="hosts")
    statistics: StatisticsSnapshot = msgspec.field(name="learnt")
    job_ids: list[str] = msgspec.field(name="ids")
    downstream: int = msgspec.field(name="clients")
    upstream: int = msgspec.field(name="targets")


class Accepting(msgspec.Struct, tag="Accepting"):
    """New to old: I accept from now on."""


class ConnectionCounts(msgspec.Struct, tag="Holds"):
    """Old to new: I accept no more, and still hold so many connections."""

    downstream: int = msgspec.field(name="clients")
    upstream: int = msgspec.field(name="targets")


class JobOpened(msgspec.Struct, tag="Opened"):
    """Old to new: I have taken a job that was half read when you began."""

    id: str


class ApplyOverride(msgspec.Struct, tag="Obey"):
    """Either way: an operator's call that has been carried out here."""

    number: int
    path: str
    name: str


class ForwardedCallback(msgspec.Struct, tag="CalledBack"):
    """Either way: a call-back for a job that is not known here."""

    number: int
    body: bytes


class Acknowledged(msgspec.Struct, tag="Taken"):
    """Either way: `Obey` or `CalledBack` has been carried out here."""

    number: int


class PassedConnection(msgspec.Struct, tag="Client"):
    """Old to new, with its descriptor: a client's connection that lies between requests."""

    has_been_used: bool = msgspec.field(name="used")
    age_seconds: float = msgspec.field(name="age")  # seconds since the accept


class Fragment(msgspec.Struct, tag="Part"):
    """Either way: a piece of a message that does not fit into one datagram; the last one says so."""

    data: bytes
    is_last: bool = msgspec.field(name="last")


Message = (
    Hello
    | Snapshot
    | Accepting
    | ConnectionCounts
    | JobOpened
    | ApplyOverride
    | ForwardedCallback
    | Acknowledged
    | PassedConnection
    | Fragment
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


class HandoverObserver(Protocol):
    """Who deals with what a peer says."""

    def on_message(self, peer: HandoverChannel, message: Message, sock: socket.socket | None) -> None:
        """A message has come, perhaps with a connection."""

    def on_peer_lost(self, peer: HandoverChannel) -> None:
        """The peer is gone: whatever it was, this process goes on alone."""


class HandoverChannel:
    """Owns the socket to the other process, what waits to go out on it and the questions under way.

    One datagram carries one message, so a peer that dies at any point leaves no half of one.
    """

    def __init__(
        self, sock: socket.socket, side: HandoverObserver, nursery: trio.Nursery, log: EventLogger
    ) -> None:
        sock.setblocking(False)
        self._sock: socket.socket | None = sock
        self._side, self._nursery, self._log = side, nursery, log
        self._queue: deque[tuple[bytes, socket.socket | None]] = deque()
        self._flushing = False
        self._numbers = 0
        self._pending: dict[int, trio.Event] = {}
        self._parts = bytearray()  # of a message that is not whole yet

    @property
    def is_connected(self) -> bool:
        """Whether the other process is there, as far as is known."""
        return self._sock is not None

    @property
    def has_unsent(self) -> bool:
        """Whether something still waits to go out."""
        return self.is_connected and bool(self._queue)

    def post(self, message: Message, sock: socket.socket | None = None) -> bool:
        """Send a message, with a connection that becomes the peer's; False where it can't go."""
        if self._sock is None:
            return False
        data = _ENCODER.encode(message)
        if len(data) > _WHOLE_LIMIT or len(self._queue) >= _QUEUE_LIMIT:
            return False
        if len(data) <= _MESSAGE_LIMIT:
            self._queue.append((data, sock))
        else:
            # Only what carries no connection is ever so long. Its parts follow each other in the queue.
            for at in range(0, len(data), _PART):
                part = Fragment(data[at : at + _PART], at + _PART >= len(data))
                self._queue.append((_ENCODER.encode(part), None))
        if not self._flushing:
            self._flush()
        return True

    async def request(self, make: Callable[[int], Message], within: float) -> bool:
        """Send a question; whether it was dealt with in time. A peer that is gone has nothing to do."""
        if not self.is_connected:
            return True
        if len(self._pending) >= _PENDING_LIMIT:
            return False
        self._numbers += 1
        number, answered = self._numbers, trio.Event()
        self._pending[number] = answered
        try:
            if not self.post(make(number)):
                return not self.is_connected
            with trio.move_on_after(within) as scope:
                await answered.wait()
            return not scope.cancelled_caught
        finally:
            self._pending.pop(number, None)

    def _flush(self) -> None:
        while self._queue and self._sock is not None:
            data, sock = self._queue[0]
            fds = [] if sock is None else [sock.fileno()]
            try:
                socket.send_fds(self._sock, [data], fds) if fds else self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                self._flushing = True
                self._nursery.start_soon(self._flush_later)
                return
            except OSError:
                # Whoever reads learns of the end there, with all that the peer has said before it.
                self._abandon()
                return
            self._queue.popleft()
            if sock is not None:
                sock.close()

    async def _flush_later(self) -> None:
        try:
            if self._sock is not None:
                await trio.lowlevel.wait_writable(self._sock)
        except trio.ClosedResourceError:
            return
        finally:
            self._flushing = False
        self._flush()

    def _abandon(self) -> None:
        for _, sock in self._queue:
            if sock is not None:
                sock.close()
        self._queue.clear()

    async def run(self) -> None:
        """Take in what the peer says until it is gone."""
        try:
            while self._sock is not None:
                await trio.lowlevel.wait_readable(self._sock)
                if not self._receive(self._sock):
                    break
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception as error:
            # Guards against a peer of another build, or a fault here, ending the node: it goes on alone.
            self._log("handover-failed", error=repr(error))
        finally:
            self.close()

    def _receive(self, peer: socket.socket) -> bool:
        try:
            flags = socket.MSG_CMSG_CLOEXEC
            data, fds, how, _ = socket.recv_fds(peer, _MESSAGE_LIMIT, 1, flags)
        except (BlockingIOError, InterruptedError, ConnectionResetError):
            # The kernel tells of a reset before what was said until then: the end itself reads as empty.
            return True
        sock = socket.socket(fileno=fds[0]) if fds else None
        try:
            if not data or how & socket.MSG_TRUNC:
                return False
            message = _DECODER.decode(data)
            if isinstance(message, Fragment):
                self._parts += message.data
                if len(self._parts) > _WHOLE_LIMIT:
                    return False
                if not message.is_last:
                    return True
                message, self._parts = _DECODER.decode(self._parts), bytearray()
        except BaseException:
            if sock is not None:
                sock.close()
            raise
        if isinstance(message, Acknowledged):
            answered = self._pending.get(message.number)
            if answered is not None:
                answered.set()
        else:
            self._side.on_message(self, message, sock)
        return True

    def close(self) -> None:
        """End the link; what was asked counts as dealt with, since the peer has nothing any more."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        trio.lowlevel.notify_closing(sock)
        sock.close()
        self._abandon()
        for answered in self._pending.values():
            answered.set()
        self._side.on_peer_lost(self)


def _unix() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)


def connect_to(path: Path) -> socket.socket | None:
    """A connection to the process that listens there; None where none does, or the path is stale."""
    sock = _unix()
    try:
        sock.connect(str(path))
    except OSError:
        sock.close()
        return None
    return sock


def listen(path: Path) -> socket.socket:
    """Listen there from now on, whoever did before; OSError where that cannot be."""
    fresh = path.with_name(f"{path.name}.new")
    if len(str(fresh).encode()) > _PATH_LIMIT:
        raise OSError(f"{path}: the path is too long for a socket")
    sock = _unix()
    try:
        sock.setblocking(False)
        with suppress(FileNotFoundError):
            fresh.unlink()
        sock.bind(str(fresh))
        sock.listen(4)
        # In one step: who looks there finds the process before or this one, never nothing.
        fresh.rename(path)
    except OSError:
        sock.close()
        raise
    return sock
