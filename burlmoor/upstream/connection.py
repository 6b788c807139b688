"""A pooled connection to an endpoint or to discovery, and the request in flight on it."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Protocol

import trio

from burlmoor.types.reasons import CloseReason
from burlmoor.upstream.errors import BrokenResponseError, RequestIncompleteError
from burlmoor.upstream.http import HttpClientConnection, Response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from burlmoor.transport.stream import SocketStream


class ConnectionOwner(Protocol):
    """The callbacks of a connection to its pool."""

    def return_connection(self, connection: PooledConnection) -> None:
        """Add a connection that can carry another request to the idle ones."""

    def on_connection_closed(self, reason: CloseReason) -> None:
        """Count a closed connection under its reason."""

    def on_close_without_reset(self, address: str) -> None:
        """Handle that a connection was not reset, so that its unanswered request may still be delivered."""


def _allow_send() -> None:
    """Raise no error: the request may always be sent."""


class PooledConnection:
    """Owns one connection and the request that is in flight on it.

    Times are in seconds of trio's clock.
    """

    def __init__(self, pool: ConnectionOwner, address: str, stream: SocketStream, body_limit: int) -> None:
        self._pool = pool
        self.address = address
        self._stream = stream
        self._http = HttpClientConnection(address, body_limit)
        self._has_open_request = False  # whether a request has no complete response yet
        # Set before the first request, so that it also takes effect if the process is killed.
        self._resets_on_close = stream.set_reset_on_close(enabled=True)
        self.is_reused = False  # whether it was taken from the idle connections
        self.idle_since = 0.0
        self.reused_at = 0.0

    async def write(
        self,
        method: bytes,
        path: bytes,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        check_send: Callable[[], None] = _allow_send,
    ) -> None:
        """Write a complete request, unless `check_send`, called right before the first byte, raises an error.

        Raises:
            RequestIncompleteError: the connection broke before the last byte of the request was written.
        """
        self._has_open_request = True
        data = self._http.encode_request(method, path, headers, body)
        try:
            check_send()
            self._stream.send(data)
            await self._stream.drain()
        except (OSError, BufferError) as error:
            raise RequestIncompleteError(self.address, str(error)) from error

    async def read(self) -> Response:
        """Read the complete response.

        Raises:
            BrokenResponseError: the connection ended first, or the bytes are not a valid response.
        """
        response: Response | None = None
        while response is None:
            if self._http.has_unparsed_input:
                await trio.lowlevel.checkpoint()  # other connections have a turn
                response = self._http.parse_portion()
            else:
                response = self._http.receive(await self._receive())
        self._has_open_request = False
        return response

    async def _receive(self) -> bytes:
        """Return bytes of the response, none if the peer has closed the connection.

        Raises:
            BrokenResponseError: the connection broke.
        """
        try:
            has_received = await self._stream.receive()
        except OSError as error:
            raise BrokenResponseError(str(error)) from error
        return self._stream.inbound.read_all() if has_received else b""

    async def exchange(self, method: bytes, path: bytes) -> Response:
        """Write a request without a body and read its response; close the connection on any error.

        Raises:
            RequestIncompleteError: the connection broke before the last byte of the request was written.
            BrokenResponseError: no complete, valid response arrived.
        """
        with self.close_on_error():
            await self.write(method, path, [], b"")
            return await self.read()

    @contextmanager
    def close_on_error(self) -> Iterator[None]:
        """Close the connection if the enclosed exchange raises, also if it is cancelled.

        Every user of a connection encloses its exchange in this, so that no exchange that has failed leaves
        its connection open and counted.
        """
        try:
            yield
        except BaseException as error:
            is_broken = isinstance(error, (RequestIncompleteError, BrokenResponseError))
            # ATTEMPT_CANCELLED also counts the cancelled calls of health checks and of discovery.
            self.close(CloseReason.BROKEN if is_broken else CloseReason.ATTEMPT_CANCELLED)
            raise

    def release(self) -> None:
        """Return the connection to the pool after a complete response, or close it if it is not reusable."""
        if self._http.prepare_next_request():
            self._pool.return_connection(self)
        else:
            self.close(CloseReason.LAST_RESPONSE)

    def record_idle(self, now: float) -> None:
        """Record the start of the connection's idle time."""
        self.idle_since = now

    def record_reuse(self, now: float) -> None:
        """Record that the idle connection is about to carry another request."""
        self.is_reused = True
        self.reused_at = now

    def is_reusable(self) -> bool:
        """Whether the idle connection can carry another request."""
        return self._stream.is_open_and_idle()

    def close(self, reason: CloseReason) -> None:
        """Close the connection; closing it again has no effect.

        If a request has no complete response, the connection is reset, which discards the bytes that are not
        delivered yet. Otherwise the kernel could deliver them to a partitioned executor once it is reachable
        again. By then the executor may be draining, the job may be running elsewhere, or the client may
        already have its answer.
        """
        if not self._stream.is_closed:
            if not self._has_open_request:
                self._stream.set_reset_on_close(enabled=False)
            elif not (self._resets_on_close or self._stream.set_reset_on_close(enabled=True)):
                self._pool.on_close_without_reset(self.address)
            self._stream.close()
            self._pool.on_connection_closed(reason)
