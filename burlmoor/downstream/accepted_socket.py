"""The socket of one accepted connection, closed in an order that loses no response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.counters import CounterGroup
from burlmoor.log_events import ConnectionFailed
from burlmoor.transport.stream import SocketStream
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    import socket

    from burlmoor.counters import EventCounters
    from burlmoor.log import EventLogger

_INBOUND_BUFFER_BYTES = 16 * 1024
_OUTBOUND_BUFFER_BYTES = 128 * 1024
WRITE_TIMEOUT_SECONDS = 5.0  # within which a client has to read a response
# How long, and how much, a peer may still write after the last response.
_LINGER_SECONDS = 1.0
LINGER_BYTES = 8 << 20
# The same for a body that was rejected for its announced length; the time counts from the accept.
_REJECTED_BODY_LINGER_SECONDS = 5.0
_REJECTED_BODY_LINGER_BYTES = 64 << 20


class AcceptedSocket:
    """Owns the stream of one accepted connection, its cancellation, and the reason why it is closed.

    `age_seconds` is the time since the accept. Raises OSError if the socket can't be set up.
    """

    def __init__(
        self,
        sock: socket.socket,
        nursery: trio.Nursery,
        log: EventLogger,
        counters: EventCounters,
        *,
        age_seconds: float,
    ) -> None:
        self.stream = SocketStream(sock, _INBOUND_BUFFER_BYTES, _OUTBOUND_BUFFER_BYTES)
        self.scope = trio.CancelScope()  # of the task that reads
        self.accepted_at = trio.current_time() - age_seconds
        self._close_reason: CloseReason | None = None
        self._nursery = nursery
        self._log = log
        self._counters = counters

    def note_close(self, reason: CloseReason) -> None:
        """Note why the connection is about to be closed; the first reason counts."""
        self._close_reason = self._close_reason or reason

    def on_error(self, error: Exception) -> None:
        """Log an internal error, because of which the connection is about to be closed."""
        self._log(ConnectionFailed(error=repr(error)))
        self.note_close(CloseReason.ERROR)

    def send(self, data: bytes) -> bool:
        """Write the data; a separate task writes what the kernel doesn't accept now.

        Returns False if that failed, so that the connection is about to be closed.
        """
        try:
            self.stream.send(data)
        except (OSError, BufferError):
            # The client has disconnected, or does not read; its job counts as answered nevertheless.
            self.note_close(CloseReason.BROKEN)
            self.scope.cancel()
            return False
        if self.stream.outbound:
            self._nursery.start_soon(self._drain_output)
        return True

    async def _drain_output(self) -> None:
        try:
            await self.stream.drain()
        except OSError:
            self.note_close(CloseReason.BROKEN)
            self.scope.cancel()
        except Exception as error:  # noqa: BLE001 - the task that writes ends here
            # Without this, an error on one connection would end the node.
            self.on_error(error)
            self.scope.cancel()

    async def finish(self, *, may_have_unread_input: bool, has_rejected_body: bool) -> None:
        """Wait until the last response has been written and the peer has had time to read it.

        Raises OSError if the connection breaks.
        """
        with trio.move_on_after(WRITE_TIMEOUT_SECONDS):
            await self.stream.drain()
        if may_have_unread_input:
            await self._linger(has_rejected_body=has_rejected_body)

    async def _linger(self, *, has_rejected_body: bool) -> None:
        """Give a client that still writes time to read the response: a close now would reset the connection.

        A rejected body is read to its end, since its client may not read before it has written all of it.
        """
        self.stream.shut_down_sending()
        deadline = trio.current_time() + _LINGER_SECONDS
        max_bytes = LINGER_BYTES
        if has_rejected_body:
            deadline = self.accepted_at + _REJECTED_BODY_LINGER_SECONDS
            max_bytes = _REJECTED_BODY_LINGER_BYTES
        with trio.move_on_at(deadline):
            await self.stream.discard_until_end(max_bytes)

    def close(self, default_reason: CloseReason) -> None:
        """Close the socket and count the reason: the first one noted, or `default_reason`."""
        if self.stream.is_closed:
            return  # closed before, or passed to another process
        reason = self._close_reason or default_reason
        self._counters.count(CounterGroup.CLIENT_CLOSES, reason.value)
        self.stream.close()
