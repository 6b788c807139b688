"""The thin driver between one socket and its two rings."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from contextlib import suppress

import trio

from burlmoor.errors import BurlmoorError
from burlmoor.transport.ring_buffer import RingBuffer

_CHUNK = 16384
_BACKLOG = 1024
_SLOWLY = 0.05  # seconds between reads from a peer that never ends
_SCRATCH = bytearray(128 * 1024)  # takes what is read only to be thrown away
DESCRIPTORS_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class SocketStream:
    """Owns one non-blocking socket, what was read from it and what still has to be written to it."""

    def __init__(self, sock: socket.socket, limit_in: int, limit_out: int) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock: socket.socket | None = sock
        self.inbound, self.outbound = RingBuffer(limit_in), RingBuffer(limit_out)
        self._draining: trio.Event | None = None

    @property
    def closed(self) -> bool:
        """Whether this side has closed it."""
        return self._sock is None

    def _open(self) -> socket.socket:
        if self._sock is None:
            raise OSError(errno.EBADF, "the stream is closed")
        return self._sock

    async def receive(self) -> bool:
        """Wait for bytes and put them into the inbound ring, which has room; False at the end."""
        while True:
            try:
                await trio.lowlevel.wait_readable(self._open())
            except trio.ClosedResourceError:
                return False
            more = self.receive_now()
            if more is not None:
                return more

    def receive_now(self) -> bool | None:
        """What `receive` does, without waiting; None if nothing is there."""
        try:
            data = self._open().recv(min(_CHUNK, self.inbound.free_space))
        except (BlockingIOError, InterruptedError):
            return None
        if data:
            self.inbound.write(data)
        return bool(data)

    async def skip(self, limit: int) -> None:
        """Read and forget until the peer ends; what is beyond `limit` bytes slowly, lest it cost much."""
        while True:
            try:
                await trio.lowlevel.wait_readable(self._open())
                count = self._open().recv_into(_SCRATCH)
            except (BlockingIOError, InterruptedError):
                continue
            except trio.ClosedResourceError:
                return
            if not count:
                return
            limit -= count
            if limit < 0:
                await trio.sleep(_SLOWLY)

    def send(self, data: bytes) -> None:
        """Write what the kernel takes now and queue the rest; OSError or BufferError if it cannot go."""
        if not self.outbound:
            with suppress(BlockingIOError, InterruptedError):
                data = data[self._open().send(data) :]
        if data:
            self.outbound.write(data)

    def flush(self) -> None:
        """Write what the kernel takes now of what is queued."""
        sock = self._open()
        while self.outbound:
            try:
                sent = sock.send(self.outbound.peek())
            except (BlockingIOError, InterruptedError):
                return
            self.outbound.drop(sent)

    async def drain(self) -> None:
        """Wait until all that is queued has gone to the kernel."""
        while self.outbound:
            if self._draining is not None:
                # Guards against two tasks waiting on one socket, which trio answers with an error.
                await self._draining.wait()
                continue
            self._draining = trio.Event()
            try:
                await trio.lowlevel.wait_writable(self._open())
                self.flush()
            except trio.ClosedResourceError:
                raise OSError(errno.EBADF, "the stream is closed") from None
            finally:
                self._draining.set()
                self._draining = None

    def still_quiet(self) -> bool:
        """Whether an idle connection can be used: neither ended nor written to by the peer."""
        try:
            self._open().recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def end_sending(self) -> None:
        """Tell the peer that nothing more comes, while it may still write."""
        if self._sock is not None:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                return

    def detach(self) -> socket.socket | None:
        """Let go of the socket, still open; whoever waits on it is woken."""
        sock, self._sock = self._sock, None
        if sock is not None:
            trio.lowlevel.notify_closing(sock)
        return sock

    def close(self) -> None:
        """Close the socket; whoever waits on it is woken."""
        sock = self.detach()
        if sock is not None:
            sock.close()


class InvalidAddressError(BurlmoorError, ValueError):
    """A text that is not `host:port` with a port from 1 to 65535; `value` is the text."""

    def __init__(self, value: str) -> None:
        super().__init__(f"{value!r} is not host:port")
        self.value = value


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port` as a socket address; InvalidAddressError if it is not one."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise InvalidAddressError(text)
    return host, int(port)


def open_listener(address: tuple[str, int], passed: int | None = None) -> socket.socket:
    """A socket that listens: the one that was passed on, else one of our own."""
    if passed is not None:
        # Never bound, listened on or shut down here: other processes accept from it too.
        sock = socket.socket(fileno=passed)
        sock.setblocking(False)
        return sock
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


async def accept(sock: socket.socket, ran_out: Callable[[OSError], None]) -> socket.socket | None:
    """The connection that waits on a listening socket; None where there is none to be had."""
    try:
        return sock.accept()[0]
    except (BlockingIOError, InterruptedError):
        return None
    except OSError as error:
        # Guards against a spin, and against the end of the node, when descriptors run out.
        if error.errno in DESCRIPTORS_EXHAUSTED:
            ran_out(error)
        await trio.sleep(0.05)
        return None


async def connect(dial: str, limit: int) -> SocketStream:
    """A new connection; OSError where it is refused. The caller bounds the time."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(parse_address(dial))
        if code == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return SocketStream(sock, limit, limit)
    except BaseException:
        # Guards against leaking a descriptor for each connect that is given up.
        sock.close()
        raise
