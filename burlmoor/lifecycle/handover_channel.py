"""The handover channel: a Unix socket that connects two processes of one node during a handover."""

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

_MAX_QUEUED_DATAGRAMS = 2048  # a longer queue means that the peer has stopped reading; `send` then fails
_MAX_PENDING_REQUESTS = 1024
_MAX_PATH_BYTES = 100  # Linux allows 107 for a Unix socket
_BACKLOG = 4


class SocketPathTooLongError(BurlmoorError, OSError):
    """The path of the channel's socket exceeds `_MAX_PATH_BYTES`."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"socket path {path} is too long: at most {_MAX_PATH_BYTES} bytes are allowed")
        self.path = path


class HandoverChannelObserver(Protocol):
    """Receives the messages of a channel, and is notified when the channel ends."""

    def on_message(self, channel: HandoverChannel, message: Message, sock: socket.socket | None) -> None:
        """Handle a message and take ownership of `sock`, the connection passed with it, if any."""

    def on_channel_lost(self, channel: HandoverChannel) -> None:
        """Handle the end of the channel; from then on this process runs without the peer."""


class _OutgoingDatagram(NamedTuple):
    data: bytes
    sock: socket.socket | None  # the connection to pass, if any; closed in this process once it is sent


class HandoverChannel:
    """Exchanges messages with the other process; queues datagrams while the socket is not writable.

    A datagram carries exactly one message or fragment, so a peer that dies never leaves a truncated one.
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
        self._last_request_number = 0
        self._pending_requests: dict[int, trio.Event] = {}

    @property
    def is_connected(self) -> bool:
        """Whether the channel is open; the peer may have ended without this process having detected it."""
        return self._sock is not None

    @property
    def has_unsent_messages(self) -> bool:
        """Whether a datagram has not been sent yet."""
        return self.is_connected and bool(self._send_queue)

    def send(self, message: Message, sock: socket.socket | None = None) -> bool:
        """Send a message, with the connection `sock` if given; return False if it cannot be sent."""
        if self._sock is None or len(self._send_queue) >= _MAX_QUEUED_DATAGRAMS:
            return False
        try:
            datagrams = encode_datagrams(message)
        except MessageTooLongError:
            return False
        # A message that passes a connection is always short enough for one datagram.
        passed = sock if len(datagrams) == 1 else None
        self._send_queue.extend(_OutgoingDatagram(data, passed) for data in datagrams)
        if not self._is_waiting_to_flush:
            self._flush()
        return True

    async def request(self, build_message: Callable[[int], Message], timeout_seconds: float) -> bool:
        """Send a numbered message; return False if a connected peer did not acknowledge it in time.

        Without a peer the request counts as acknowledged: no process is left to carry it out.
        """
        if not self.is_connected:
            return True
        if len(self._pending_requests) >= _MAX_PENDING_REQUESTS:
            return False
        self._last_request_number += 1
        number = self._last_request_number
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
                # `run` detects the end of the channel, after it has read everything that the peer sent.
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
        """Receive messages until the channel is closed by either side."""
        try:
            while self._sock is not None:
                await trio.lowlevel.wait_readable(self._sock)
                if not self._receive(self._sock):
                    break
        except (OSError, trio.ClosedResourceError):
            pass  # closed by the peer or by this process
        except Exception as error:  # noqa: BLE001
            # An incompatible peer or a bug here must not end the node, which continues without the peer.
            self._log(HandoverFailed(error=repr(error)))
        finally:
            self.close()

    def _receive(self, channel_socket: socket.socket) -> bool:
        """Receive one datagram; return False if the channel is to be closed."""
        try:
            data, descriptors, flags, _ = socket.recv_fds(
                channel_socket, MAX_DATAGRAM_BYTES, 1, socket.MSG_CMSG_CLOEXEC
            )
        except (BlockingIOError, InterruptedError, ConnectionResetError):
            # The kernel may report a reset before unread data. An empty read marks the end of the channel.
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

        Pending requests count as acknowledged: no peer is left to carry them out.
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
    """Connect to the process that listens at this path; return None if none does, as with a stale path."""
    sock = _create_socket()
    try:
        sock.connect(str(path))
    except OSError:
        sock.close()
        return None
    return sock


def listen(path: Path) -> socket.socket:
    """Listen at this path; new connections no longer reach a process that listened there before.

    Raises:
        SocketPathTooLongError: the path is too long for a Unix socket.
        OSError: the socket cannot be created there.
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
        # Atomic: a connecting process always reaches either the previous listener or this one.
        temporary_path.rename(path)
    except OSError:
        sock.close()
        raise
    return sock
