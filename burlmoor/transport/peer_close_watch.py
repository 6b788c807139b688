"""Cancels waits on behalf of connections whose peers close meanwhile.

A task that reads from its socket notices the end of the connection by itself; one that waits for something
else does not.
"""

from __future__ import annotations

import select
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import trio

from burlmoor.transport.stream import PEER_CLOSED_EVENTS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.transport.stream import SocketStream


class PeerCloseWatch:
    """Watches the sockets of waiting tasks; `run` must be running."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._scopes: dict[int, trio.CancelScope] = {}  # by descriptor

    async def run(self) -> None:
        """Cancel the waits of connections that their peers close, until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for descriptor, _ in self._epoll.poll(0):
                if (scope := self._scopes.get(descriptor)) is not None:
                    scope.cancel()
                self._remove(descriptor)

    @contextmanager
    def cancelling(self, stream: SocketStream) -> Iterator[trio.CancelScope]:
        """Cancel the enclosed wait once the peer closes the connection or shuts down its sending side.

        Raises:
            StreamClosedError: this side has closed the stream.
        """
        descriptor = stream.fileno()
        with trio.CancelScope() as scope:
            # The descriptor may be that of a stream which was closed while its task waited.
            self._remove(descriptor)
            self._scopes[descriptor] = scope
            self._epoll.register(descriptor, PEER_CLOSED_EVENTS)
            try:
                yield scope
            finally:
                if self._scopes.get(descriptor) is scope:
                    self._remove(descriptor)

    def _remove(self, descriptor: int) -> None:
        self._scopes.pop(descriptor, None)
        with suppress(OSError):  # not registered; the kernel removes closed descriptors by itself
            self._epoll.unregister(descriptor)
