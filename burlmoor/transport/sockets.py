"""Opens listening sockets, accepts connections from them and connects to addresses."""

from __future__ import annotations

import errno
import os
import socket
from typing import TYPE_CHECKING

import trio

from burlmoor.transport.address import parse_address
from burlmoor.transport.stream import SocketStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.transport.address import SocketAddress

LISTEN_BACKLOG = 1024
_ACCEPT_RETRY_SECONDS = 0.05  # after an error of accept
# Values of `errno` when the process or the system has run out of descriptors, or of memory for them.
DESCRIPTORS_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


def open_listening_socket(address: SocketAddress | tuple[str, int]) -> socket.socket:
    """Open a socket that listens at `address`.

    Raises:
        OSError: the address is in use or can't be bound.
    """
    sock = bind_socket(address)
    start_listening(sock)
    return sock


def bind_socket(address: SocketAddress | tuple[str, int]) -> socket.socket:
    """Open a socket bound to `address`; the kernel refuses connections until it listens.

    Raises:
        OSError: the address is in use or can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(0.0)  # non-blocking
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def start_listening(sock: socket.socket) -> None:
    """Start listening on a bound socket.

    Raises:
        OSError: another socket already listens at its address.
    """
    sock.listen(LISTEN_BACKLOG)


def adopt_listening_socket(inherited_fd: int) -> socket.socket:
    """Wrap an inherited listening socket in a socket object.

    It must be neither bound again nor shut down, since other processes also accept from it.
    """
    sock = socket.socket(fileno=inherited_fd)
    sock.settimeout(0.0)  # non-blocking
    return sock


async def accept(
    sock: socket.socket, on_descriptors_exhausted: Callable[[OSError], None]
) -> socket.socket | None:
    """Accept a pending connection; return None if there is none or, after a pause, if accepting failed.

    `on_descriptors_exhausted` is called with the error if the process or system is out of descriptors.
    """
    try:
        return sock.accept()[0]
    except (BlockingIOError, InterruptedError):
        return None
    except OSError as error:
        # When descriptors run out, the connection stays pending: the pause prevents a busy loop, and the
        # error must not stop the node.
        if error.errno in DESCRIPTORS_EXHAUSTED:
            on_descriptors_exhausted(error)
        await trio.sleep(_ACCEPT_RETRY_SECONDS)
        return None


def accept_now(sock: socket.socket) -> socket.socket | None:
    """Accept a pending connection; return None if there is none, or if accepting failed."""
    try:
        return sock.accept()[0]
    except OSError:
        return None


async def connect(address: str, buffer_limit: int) -> SocketStream:
    """Connect to `host:port`; the stream buffers up to `buffer_limit` bytes in each direction.

    There is no timeout here; the caller sets one.

    Raises:
        OSError: the connection failed.
        InvalidAddressError: the address is not `host:port`.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(0.0)  # non-blocking
        await _connect_socket(sock, parse_address(address))
        return SocketStream(sock, buffer_limit, buffer_limit)
    except BaseException:
        # Also reached on cancellation, which must not leak the descriptor.
        sock.close()
        raise


async def _connect_socket(sock: socket.socket, address: SocketAddress) -> None:
    error_number = sock.connect_ex(address)
    if error_number == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise OSError(error_number, os.strerror(error_number))
