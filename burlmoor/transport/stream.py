"""A stream over a non-blocking TCP socket, with a bounded buffer in each direction."""

from __future__ import annotations

import errno
import select
import socket
import struct
from contextlib import suppress
from enum import Enum

import trio

from burlmoor.errors import BurlmoorError
from burlmoor.transport.ring_buffer import RingBuffer

_RECEIVE_BYTES = 16384
_DISCARD_PAUSE_SECONDS = 0.05  # between slow reads of a peer that has exceeded a limit
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Values of SO_LINGER, which apply when the socket is closed, also by the end of the process.
_LINGER_OFF = struct.pack("ii", 0, 0)  # the kernel delivers the written bytes, then closes the connection
_LINGER_RESET = struct.pack("ii", 1, 0)  # the kernel discards undelivered bytes and sends a reset
_DISCARD_BUFFER = bytearray(128 * 1024)  # for discarded bytes; shared by all streams, as it is never read


class ReceiveResult(Enum):
    """The result of a non-blocking read."""

    DATA = "data"
    END = "end"  # the peer has shut down its sending side
    NOTHING = "nothing"  # no bytes are available yet


class StreamClosedError(BurlmoorError, OSError):
    """The stream was used after this side closed it; `errno` is EBADF."""

    def __init__(self) -> None:
        super().__init__(errno.EBADF, "the stream is closed")


class SocketStream:
    """Owns a socket, the bytes read from it and the bytes still to be written to it.

    Raises:
        OSError: the socket options can't be set.
    """

    def __init__(self, sock: socket.socket, inbound_limit: int, outbound_limit: int) -> None:
        sock.settimeout(0.0)  # non-blocking
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock: socket.socket | None = sock
        self.inbound = RingBuffer(inbound_limit)
        self.outbound = RingBuffer(outbound_limit)
        self._drain_ended: trio.Event | None = None  # set when the current wait of `drain` ends

    @property
    def is_closed(self) -> bool:
        """Whether this side has closed the stream."""
        return self._sock is None

    def fileno(self) -> int:
        """Return the descriptor of the socket.

        Raises:
            StreamClosedError: this side has closed the stream.
        """
        return self._open_socket().fileno()

    def _open_socket(self) -> socket.socket:
        if self._sock is None:
            raise StreamClosedError
        return self._sock

    async def wait_readable(self) -> bool:
        """Wait until bytes or the peer's close can be read; return False if this side closes the stream.

        Raises:
            StreamClosedError: this side had closed the stream before.
        """
        try:
            await trio.lowlevel.wait_readable(self._open_socket())
        except trio.ClosedResourceError:
            return False
        return True

    async def receive(self) -> bool:
        """Wait for bytes and append them to the inbound buffer, which must have free space.

        Returns False if the peer has shut down its sending side, or this side closes the stream meanwhile.

        Raises:
            StreamClosedError: this side had closed the stream before.
            OSError: the connection broke.
        """
        while await self.wait_readable():
            result = self.receive_now()
            if result is not ReceiveResult.NOTHING:
                return result is ReceiveResult.DATA
        return False

    def receive_now(self) -> ReceiveResult:
        """Append available bytes to the inbound buffer, as far as it has free space, without waiting.

        Raises:
            StreamClosedError: this side has closed the stream.
            OSError: the connection broke.
        """
        if not self.inbound.free_space:
            return ReceiveResult.NOTHING
        try:
            data = self._open_socket().recv(min(_RECEIVE_BYTES, self.inbound.free_space))
        except (BlockingIOError, InterruptedError):
            return ReceiveResult.NOTHING
        if not data:
            return ReceiveResult.END
        self.inbound.write(data)
        return ReceiveResult.DATA

    async def discard_until_end(self, max_bytes: int) -> None:
        """Read and discard bytes until the peer shuts down its sending side.

        Bytes beyond `max_bytes` are read slowly, so that a peer that never stops sending costs little; those
        of a peer that has closed the connection are not read.

        Raises:
            StreamClosedError: this side has closed the stream.
            OSError: the connection broke.
        """
        has_ended = await self.discard_up_to(max_bytes)
        while not has_ended:
            await trio.sleep(_DISCARD_PAUSE_SECONDS)
            has_ended = self.has_peer_closed() or await self.discard_up_to(0)

    async def discard_up_to(self, max_bytes: int) -> bool:
        """Read and discard bytes until the peer shuts down its sending side, or over `max_bytes` are read.

        Returns whether nothing more is to be read.

        Raises:
            StreamClosedError: this side has closed the stream.
            OSError: the connection broke.
        """
        remaining_bytes = max_bytes
        while remaining_bytes >= 0:
            if not await self.wait_readable():
                return True
            try:
                count = self._open_socket().recv_into(_DISCARD_BUFFER)
            except (BlockingIOError, InterruptedError):
                continue
            if not count:
                return True
            remaining_bytes -= count
        return False

    def discard_available(self, max_bytes: int) -> None:
        """Read and discard the bytes that have arrived, without waiting, until over `max_bytes` are read.

        Raises:
            StreamClosedError: this side has closed the stream.
            OSError: the connection broke.
        """
        remaining_bytes = max_bytes
        with suppress(BlockingIOError, InterruptedError):
            while remaining_bytes >= 0:
                count = self._open_socket().recv_into(_DISCARD_BUFFER)
                if not count:
                    return
                remaining_bytes -= count

    def send(self, data: bytes) -> None:
        """Write as many bytes as the kernel accepts now, and buffer the rest.

        Raises:
            StreamClosedError: this side has closed the stream.
            OSError: the connection broke.
            BufferFullError: the rest exceeds the free space of the buffer.
        """
        if not self.outbound:
            with suppress(BlockingIOError, InterruptedError):
                data = data[self._open_socket().send(data) :]
        if data:
            self.outbound.write(data)

    def flush(self) -> None:
        """Write as many buffered bytes as the kernel accepts now.

        Raises:
            StreamClosedError: this side has closed the stream.
            OSError: the connection broke.
        """
        sock = self._open_socket()
        while self.outbound:
            try:
                sent_count = sock.send(self.outbound.peek())
            except (BlockingIOError, InterruptedError):
                return
            self.outbound.consume(sent_count)

    async def drain(self) -> None:
        """Wait until the kernel has accepted all buffered bytes.

        Raises:
            StreamClosedError: this side has closed the stream.
            OSError: the connection broke.
        """
        while self.outbound:
            if self._drain_ended is not None:
                # Trio raises an error if two tasks wait for the same socket to become writable.
                await self._drain_ended.wait()
                continue
            self._drain_ended = trio.Event()
            try:
                await trio.lowlevel.wait_writable(self._open_socket())
                self.flush()
            except trio.ClosedResourceError:
                raise StreamClosedError from None
            finally:
                self._drain_ended.set()
                self._drain_ended = None

    def has_peer_closed(self) -> bool:
        """Return whether the peer has shut down its sending side or reset the connection.

        A read shows that only after all bytes before it.
        """
        if self._sock is None:
            return False
        poller = select.poll()
        try:
            poller.register(self._sock, PEER_CLOSED_EVENTS)
            return any(events & PEER_CLOSED_EVENTS for _, events in poller.poll(0))
        except OSError:
            return False

    def is_open_and_idle(self) -> bool:
        """Return whether the connection is open and idle: no bytes from the peer are pending."""
        try:
            self._open_socket().recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def count_unread_bytes(self) -> int:
        """Return how many bytes have arrived but were not read, counted up to 16 KiB."""
        if self._sock is None:
            return 0
        try:
            return len(self._sock.recv(_RECEIVE_BYTES, socket.MSG_PEEK))
        except OSError:
            return 0

    def shut_down_sending(self) -> None:
        """Shut down the sending side; the peer may still send."""
        if self._sock is not None:
            with suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    def set_reset_on_close(self, *, enabled: bool) -> bool:
        """Set whether closing the socket, also by the end of this process, resets the connection.

        A reset discards undelivered bytes. Otherwise the kernel keeps trying to deliver them, for minutes if
        the peer is unreachable. Returns whether the option was set.
        """
        if self._sock is None:
            return False
        try:
            linger = _LINGER_RESET if enabled else _LINGER_OFF
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            return False
        return True

    def detach(self) -> socket.socket | None:
        """Give up ownership of the socket and return it, still open; wake the tasks that wait on it."""
        sock, self._sock = self._sock, None
        if sock is not None:
            trio.lowlevel.notify_closing(sock)
        return sock

    def close(self) -> None:
        """Close the socket, and wake the tasks that wait on it."""
        sock = self.detach()
        if sock is not None:
            # An error of close(2) changes nothing: the kernel has released the descriptor.
            with suppress(OSError):
                sock.close()
