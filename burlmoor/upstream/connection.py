"""One pooled connection to an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from burlmoor.types.reasons import CloseReason
from burlmoor.upstream.errors import BrokenResponseError, RequestNotSentError
from burlmoor.upstream.http import HttpClientConnection, Response

if TYPE_CHECKING:
    from burlmoor.transport.stream import SocketStream


class ConnectionOwner(Protocol):
    """What a connection requires of its pool."""

    def return_connection(self, connection: PooledConnection) -> None:
        """Add a connection that can carry another request to the idle connections."""

    def on_connection_closed(self, reason: CloseReason) -> None:
        """Count a connection that was closed, by the reason."""

    def on_request_not_withdrawn(self, address: str) -> None:
        """Handle the close of a connection whose unanswered request may still be delivered."""


class PooledConnection:
    """Owns one connection to an endpoint and the request that is in flight on it.

    Times are those of trio's clock, in seconds.
    """

    def __init__(self, pool: ConnectionOwner, address: str, stream: SocketStream, body_limit: int) -> None:
        self._pool = pool
        self.address = address
        self._stream = stream
        self._http = HttpClientConnection(address, body_limit)
        self._has_open_request = False  # whether its response is not complete yet
        # Set now, since the process may be killed at any moment.
        self._resets_on_close = stream.set_reset_on_close(is_on=True)
        self.is_reused = False  # whether it has carried a request before this one
        self.idle_since = 0.0
        self.reused_at = 0.0

    async def write(self, method: bytes, path: bytes, headers: list[tuple[str, str]], body: bytes) -> None:
        """Write a complete request.

        Raises:
            RequestNotSentError: the connection broke before its last byte.
        """
        self._has_open_request = True
        try:
            self._stream.send(self._http.encode_request(method, path, headers, body))
            await self._stream.drain()
        except (OSError, BufferError) as error:
            raise RequestNotSentError(self.address, str(error)) from error

    async def read(self) -> Response:
        """Read the complete response.

        Raises:
            BrokenResponseError: the connection ended first, or the bytes are not a valid response.
        """
        while True:
            try:
                has_received = await self._stream.receive()
            except OSError as error:
                raise BrokenResponseError(str(error)) from error
            response = self._http.receive(self._stream.inbound.read_all() if has_received else b"")
            if response is not None:
                self._has_open_request = False
                return response

    async def exchange(self, method: bytes, path: bytes) -> Response:
        """Write a request without a body and read its response; closes the connection on any error.

        Raises:
            RequestNotSentError: the connection broke before the last byte of the request.
            BrokenResponseError: no complete response has arrived.
        """
        try:
            await self.write(method, path, [], b"")
            return await self.read()
        except (RequestNotSentError, BrokenResponseError):
            self.close(CloseReason.BROKEN)
            raise
        except BaseException:
            self.close(CloseReason.ATTEMPT_CANCELLED)
            raise

    def release(self) -> None:
        """Return the connection to the pool after a complete response, or close it if it can't be reused."""
        if self._http.prepare_next_request():
            self._pool.return_connection(self)
        else:
            self.close(CloseReason.LAST_RESPONSE)

    def record_idle(self, now: float) -> None:
        """Record that the connection is idle from now on."""
        self.idle_since = now

    def record_reuse(self, now: float) -> None:
        """Record that the idle connection is reused for another request."""
        self.is_reused = True
        self.reused_at = now

    def is_reusable(self) -> bool:
        """Whether the idle connection can carry another request."""
        return self._stream.is_idle_open()

    def close(self, reason: CloseReason) -> None:
        """Close the connection; closing it again has no effect.

        A request without a complete response is withdrawn: bytes that are not delivered yet never will be.
        Without this, a partitioned executor would receive them once it is reachable again. By then it may be
        draining, the job may run elsewhere, or the client may have its answer.
        """
        if not self._stream.is_closed:
            if not self._has_open_request:
                self._stream.set_reset_on_close(is_on=False)
            elif not (self._resets_on_close or self._stream.set_reset_on_close(is_on=True)):
                self._pool.on_request_not_withdrawn(self.address)
            self._stream.close()
            self._pool.on_connection_closed(reason)
