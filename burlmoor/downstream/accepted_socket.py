"""The socket of one accepted connection; closing it lets the client read the last response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.counters import CounterGroup
from burlmoor.log_events import ConnectionFailed, UnreadInputDiscarded
from burlmoor.transport.stream import SocketStream
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    import socket

    from msgspec import UnsetType

    from burlmoor.counters import EventCounters
    from burlmoor.log import EventLogger

_INBOUND_BUFFER_BYTES = 16 * 1024
_OUTBOUND_BUFFER_BYTES = 128 * 1024
WRITE_TIMEOUT_SECONDS = 5.0  # for a client to read a response
# Limits on what is still read and discarded after the last response.
_LINGER_SECONDS = 1.0
LINGER_BYTES = 8 << 20
# The same limits after a body was rejected for its Content-Length; the time runs from the accept.
_REJECTED_BODY_LINGER_SECONDS = 5.0
_REJECTED_BODY_LINGER_BYTES = 64 << 20

# Reasons of the node's own. If the peer had closed the connection before, the node has not noticed that.
_NODE_REASONS = frozenset((CloseReason.TIMED_OUT, CloseReason.MADE_ROOM, CloseReason.IDLE))


class AcceptedSocket:
    """Wraps the stream of one accepted connection and records why it is closed.

    `age_seconds` is the time since the connection was accepted.

    Raises:
        OSError: the socket can't be set up.
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
        self.scope = trio.CancelScope()  # cancels the task that reads
        self.accepted_at = trio.current_time() - age_seconds
        self._close_reason: CloseReason | None = None
        self._is_draining = False  # whether a task writes the rest of the responses
        self._nursery = nursery
        self._log = log
        self._counters = counters

    def record_close_reason(self, reason: CloseReason) -> None:
        """Record why the connection is about to be closed; only the first reason is kept."""
        self._close_reason = self._close_reason or reason

    def on_error(self, error: Exception) -> None:
        """Log an internal error that is about to close the connection."""
        self._log(ConnectionFailed(error=repr(error)))
        self.record_close_reason(CloseReason.ERROR)

    def send(self, data: bytes) -> bool:
        """Write the data; a background task writes what the kernel does not accept immediately.

        Returns False if the write failed; the connection is then about to be closed.
        """
        try:
            self.stream.send(data)
        except (OSError, BufferError):
            # The client has disconnected or does not read. Its job counts as answered all the same.
            self.record_close_reason(CloseReason.BROKEN)
            self.scope.cancel()
            return False
        if self.stream.outbound and not self._is_draining:
            self._is_draining = True
            self._nursery.start_soon(self._drain_output)
        return True

    async def _drain_output(self) -> None:
        try:
            await self.stream.drain()
        except OSError:
            self.record_close_reason(CloseReason.BROKEN)
            self.scope.cancel()
        except Exception as error:  # noqa: BLE001 - the writing task ends here
            # An uncaught error would cancel the nursery and stop the node.
            self.on_error(error)
            self.scope.cancel()
        finally:
            self._is_draining = False

    async def flush_and_linger(self, *, may_have_unread_input: bool, has_rejected_body: bool) -> None:
        """Write the rest of the last response, and give the client time to read it.

        Raises:
            OSError: the connection breaks.
        """
        with trio.move_on_after(WRITE_TIMEOUT_SECONDS):
            await self.stream.drain()
        if may_have_unread_input:
            await self._linger(has_rejected_body=has_rejected_body)

    async def _linger(self, *, has_rejected_body: bool) -> None:
        """Shut down the sending side, and discard input until the client closes or a limit is reached.

        Closing a socket with unread input resets the connection, and the client could lose the response.
        After a rejected body the limits are higher, since clients may write all of a body before they read.
        """
        self.stream.shut_down_sending()
        deadline = trio.current_time() + _LINGER_SECONDS
        max_bytes = LINGER_BYTES
        if has_rejected_body:
            deadline = self.accepted_at + _REJECTED_BODY_LINGER_SECONDS
            max_bytes = _REJECTED_BODY_LINGER_BYTES
        with trio.move_on_at(deadline):
            await self.stream.discard_until_end(max_bytes)

    def report_discarded_input(
        self, default_reason: CloseReason, last_request_id: str | UnsetType, state_seconds: float
    ) -> None:
        """Log input that closing the socket now discards, if there is any.

        `last_request_id` is the id of the last job submitted on the connection, `state_seconds` the time
        since its state last changed.
        """
        unread = self.stream.count_unread_bytes()
        buffered = len(self.stream.inbound)
        if unread or buffered:
            event = UnreadInputDiscarded(
                reason=(self._close_reason or default_reason).value,
                bytes=unread,
                buffered=buffered,
                last_id=last_request_id,
                seconds=round(state_seconds, 3),
            )
            self._log(event)

    def close_unless_readable(self, reason: CloseReason) -> bool:
        """Close the socket and count the reason, unless input has arrived; return whether it is closed."""
        # Nothing may be added between this check and close(2): a request that arrives there is discarded.
        if self.stream.count_unread_bytes():
            return False
        self.close(reason)
        return True

    def close(self, default_reason: CloseReason) -> None:
        """Close the socket, and count the recorded reason, or `default_reason` if there is none."""
        if self.stream.is_closed:
            return  # already closed, or passed to another process
        reason = self._close_reason or default_reason
        if reason in _NODE_REASONS and self.stream.has_peer_closed():
            self._counters.count(CounterGroup.LATE_CLOSES, reason.value)
        self.stream.close()
        self.scope.cancel()  # its task may wait for something else than the socket
        self._counters.count(CounterGroup.CLIENT_CLOSES, reason.value)
