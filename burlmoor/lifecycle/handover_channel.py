"""The handover channel: the Unix socket between two processes of one node during a handover."""

from __future__ import annotations

import socket
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from burlmoor.errors import BurlmoorError
from burlmoor.lifecycle.handover_codec import (
    MAX_DATAGRAM_BYTES,
    MessageDecoder,
    MessageTooLongError,
    encode_datagrams,
)
from burlmoor.lifecycle.handover_messages import Acknowledged, Message
from burlmoor.log_events import HandoverFailed

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from burlmoor.log import EventLogger

_MAX_QUEUED_DATAGRAMS = 2048  # a peer that reads none of so many counts as gone
_MAX_PENDING_REQUESTS = 1024
_MAX_PATH_BYTES = 100  # that the kernel takes of a Unix socket's path
_BACKLOG = 4


class SocketPathTooLongError(BurlmoorError, OSError):
    """The path of the channel's socket is longer than the kernel takes."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: the path is too long for a socket: at most {_MAX_PATH_BYTES} bytes")
        self.path = path


class HandoverChannelObserver(Protocol):
    """Is notified of what the process at the other end of a channel does."""

    def on_message(self, channel: HandoverChannel, message: Message, sock: socket.socket | None) -> None:
        """Handle a message, perhaps with a connection, which the observer then owns."""

    def on_channel_lost(self, channel: HandoverChannel) -> None:
        """Handle the end of the channel: this process continues alone."""


class _OutgoingDatagram(NamedTuple):
    data: bytes
    sock: socket.socket | None  # passed on with it, and closed here once sent


class HandoverChannel:
    """Owns the socket to the other process, the datagrams that wait to be sent and the open requests.

    One datagram carries one message or fragment, so a peer that dies at any point leaves no half of one.
    """

    def __init__(
        self,
        sock: socket.socket,
        observer: HandoverChannelObserver,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        sock.settimeout(0.0)
        self._sock: socket.socket | None = sock
        self._observer = observer
        self._nursery = nursery
        self._log = log
        self._decoder = MessageDecoder()
        self._send_queue: deque[_OutgoingDatagram] = deque()
        self._is_waiting_to_flush = False
        self._last_number = 0
        self._pending_requests: dict[int, trio.Event] = {}

    @property
    def is_connected(self) -> bool:
        """Whether the other process is there, as far as is known."""
        return self._sock is not None

    @property
    def has_unsent(self) -> bool:
        """Whether a datagram has not been sent yet."""
        return self.is_connected and bool(self._send_queue)

    def send(self, message: Message, sock: socket.socket | None = None) -> bool:
        """Send a message, with a connection that becomes the peer's; False where it can't be sent."""
        if self._sock is None or len(self._send_queue) >= _MAX_QUEUED_DATAGRAMS:
            return False
        try:
            datagrams = encode_datagrams(message)
        except MessageTooLongError:
            return False
        # Only messages without a connection are long enough for fragments, which stay together in the queue.
        passed = sock if len(datagrams) == 1 else None
        self._send_queue.extend(_OutgoingDatagram(data, passed) for data in datagrams)
        if not self._is_waiting_to_flush:
            self._flush()
        return True

    async def request(self, build_message: Callable[[int], Message], timeout_seconds: float) -> bool:
        """Send a message that has a number; return whether it was acknowledged in time.

        A peer that is gone has nothing to carry out: that counts as acknowledged.
        """
        if not self.is_connected:
            return True
        if len(self._pending_requests) >= _MAX_PENDING_REQUESTS:
            return False
        self._last_number += 1
        number = self._last_number
        acknowledged = trio.Event()
        self._pending_requests[number] = acknowledged
        try:
            if not self.send(build_message(number)):
                return not self.is_connected
            with trio.move_on_after(timeout_seconds) as scope:
                await acknowledged.wait()
            return not scope.cancelled_caught
        finally:
            self._pending_requests.pop(number, None)

    def _flush(self) -> None:
        while self._send_queue and self._sock is not None:
            data, sock = self._send_queue[0]
            try:
                if sock is None:
                    self._sock.send(data)
                else:
                    socket.send_fds(self._sock, [data], [sock.fileno()])
            except (BlockingIOError, InterruptedError):
                self._is_waiting_to_flush = True
                self._nursery.start_soon(self._flush_when_writable)
                return
            except OSError:
                # The task that reads finds the end of the channel, behind all that the peer has sent.
                self._discard_queue()
                return
            self._send_queue.popleft()
            if sock is not None:
                sock.close()

    async def _flush_when_writable(self) -> None:
        try:
            if self._sock is not None:
                await trio.lowlevel.wait_writable(self._sock)
        except trio.ClosedResourceError:
            return
        finally:
            self._is_waiting_to_flush = False
        self._flush()

    def _discard_queue(self) -> None:
        for _, sock in self._send_queue:
            if sock is not None:
                sock.close()
        self._send_queue.clear()

    async def run(self) -> None:
        """Receive messages until the peer is gone."""
        try:
            while self._sock is not None:
                await trio.lowlevel.wait_readable(self._sock)
                if not self._receive(self._sock):
                    break
        except (OSError, trio.ClosedResourceError):
            pass  # the peer is gone, or this side has closed the channel
        except Exception as error:  # noqa: BLE001
            # Without this, a peer of another build, or a fault here, would end the node: it continues alone.
            self._log(HandoverFailed(error=repr(error)))
        finally:
            self.close()

    def _receive(self, channel_socket: socket.socket) -> bool:
        """Receive one datagram; False where the channel is to end."""
        try:
            data, descriptors, flags, _ = socket.recv_fds(
                channel_socket, MAX_DATAGRAM_BYTES, 1, socket.MSG_CMSG_CLOEXEC
            )
        except (BlockingIOError, InterruptedError, ConnectionResetError):
            # The kernel reports a reset before what was sent until then: the end itself reads as empty.
            return True
        sock = socket.socket(fileno=descriptors[0]) if descriptors else None
        try:
            if not data or flags & socket.MSG_TRUNC:
                return False
            message = self._decoder.decode(data)
        except MessageTooLongError:
            return False
        except BaseException:
            if sock is not None:
                sock.close()
            raise
        if message is not None:
            self._dispatch(message, sock)
        return True

    def _dispatch(self, message: Message, sock: socket.socket | None) -> None:
        if isinstance(message, Acknowledged):
            acknowledged = self._pending_requests.get(message.number)
            if acknowledged is not None:
                acknowledged.set()
        else:
            self._observer.on_message(self, message, sock)

    def close(self) -> None:
        """Close the channel.

        Open requests count as acknowledged, since the peer has nothing to carry out any more.
        """
        sock, self._sock = self._sock, None
        if sock is None:
            return
        trio.lowlevel.notify_closing(sock)
        sock.close()
        self._discard_queue()
        for acknowledged in self._pending_requests.values():
            acknowledged.set()
        self._observer.on_channel_lost(self)


def _create_socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)


def connect(path: Path) -> socket.socket | None:
    """Connect to the process that listens at this path; None where there is none, or the path is stale."""
    sock = _create_socket()
    try:
        sock.connect(str(path))
    except OSError:
        sock.close()
        return None
    return sock


def listen(path: Path) -> socket.socket:
    """Listen at this path from now on, in place of any process that did before.

    Raises:
        SocketPathTooLongError: the path is longer than the kernel allows.
        OSError: the socket can't be made there.
    """
    temporary_path = path.with_name(f"{path.name}.new")
    if len(str(temporary_path).encode()) > _MAX_PATH_BYTES:
        raise SocketPathTooLongError(temporary_path)
    sock = _create_socket()
    try:
        sock.settimeout(0.0)
        with suppress(FileNotFoundError):
            temporary_path.unlink()
        sock.bind(str(temporary_path))
        sock.listen(_BACKLOG)
        # In one step: a process that connects finds the one before or this one, never nothing.
        temporary_path.rename(path)
    except OSError:
        sock.close()
        raise
    return sock
