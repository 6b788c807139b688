"""One accepted connection: reads requests, writes responses, and ends in an order that loses neither."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.counters import CounterGroup
from burlmoor.downstream.drain import ServiceState
from burlmoor.downstream.http import HttpServerConnection
from burlmoor.downstream.request_handler import write_final_answer
from burlmoor.log_events import ConnectionFailed
from burlmoor.transport.stream import SocketStream
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable

    from burlmoor.downstream.server import DownstreamServer
    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.job import Job

_INBOUND_BUFFER_BYTES = 16 * 1024
_OUTBOUND_BUFFER_BYTES = 128 * 1024
WRITE_TIMEOUT_SECONDS = 5.0  # that a client may take to read a response
# How long, and how much, a rejected client may still write.
_LINGER_SECONDS = 1.0
_LINGER_BYTES = 8 << 20
# The same for a body that was announced and rejected, counted from the accept.
_LINGER_BODY_SECONDS = 5.0
_LINGER_BODY_BYTES = 64 << 20


class DownstreamConnection:
    """Owns one accepted connection: its stream, its HTTP state and the job that waits on it.

    It is the `Responder` of its job.
    """

    def __init__(
        self,
        server: DownstreamServer,
        sock: socket.socket,
        has_been_used: bool = False,
        age_seconds: float = 0.0,
    ) -> None:
        self._server = server
        self._stream = SocketStream(sock, _INBOUND_BUFFER_BYTES, _OUTBOUND_BUFFER_BYTES)
        self._http = HttpServerConnection(
            server.classes, server.read_run_conditions, server.classes_requiring_key
        )
        self.job: Job | None = None
        self._scope = trio.CancelScope()
        self._is_processing = False
        self._close_reason: CloseReason | None = None
        self.has_been_used = has_been_used  # whether a complete request has come
        self._accepted_at = trio.current_time() - age_seconds
        # Since when it is in its present state: accepted, receiving a request, or idle after a response.
        self.state_since = trio.current_time() if has_been_used else self._accepted_at
        self.last_received_at = self.state_since  # when its peer last sent something

    @property
    def is_idle(self) -> bool:
        """Whether it lies between requests."""
        return self._http.is_idle and not self._stream.inbound and not self._stream.outbound

    @property
    def has_unsent(self) -> bool:
        """Whether part of a response still waits to be written."""
        return bool(self._stream.outbound)

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has come."""
        return not (self.is_awaiting_response or self.is_idle or self.is_finished)

    @property
    def is_awaiting_response(self) -> bool:
        """Whether a client waits here for a response."""
        return self._http.has_open_request

    @property
    def is_finished(self) -> bool:
        """Whether nothing more is to be read or answered here."""
        return self._http.is_closing and not self._http.has_open_request

    # --- its life -------------------------------------------------------------------------------

    def serve_without_task(self) -> bool:
        """Take in what has come with the connection; True if that was all it was for.

        Most connections are call-backs of one request each: those need no task of their own.
        """
        try:
            if self._stream.receive_now():
                self.process_input()
        except (OSError, BufferError):
            self._http.is_closing = True
            self.note_close(CloseReason.BROKEN)
        if not self.is_finished or self._stream.outbound or self._http.may_have_unread_input:
            return False
        self._close_stream()
        return True

    async def run(self) -> None:
        """Read until the connection ends."""
        try:
            with self._scope:
                await self._read()
            if self.is_finished:
                with trio.move_on_after(WRITE_TIMEOUT_SECONDS):
                    await self._stream.drain()
                if self._http.may_have_unread_input:
                    await self._linger()
        except (OSError, BufferError):
            self.note_close(CloseReason.BROKEN)
        except Exception as error:  # noqa: BLE001 - the connection's task ends here
            # Without this, one connection's fault would end the node.
            self._server.log(ConnectionFailed(error=repr(error)))
            self.note_close(CloseReason.ERROR)
        finally:
            self.close_now()

    async def _read(self) -> None:
        while not self.is_finished:
            if not self._stream.inbound.free_space:
                # Without this, jobs would run for clients that have left: a close comes behind what was
                # written. A client that writes on like this has more than one request open, so the rest is
                # not looked at, and the response, which ends this, closes the connection.
                self._http.is_closing = True
                await self._stream.discard_until_end(_LINGER_BYTES)
                return
            if not await self._stream.receive():
                return
            self.process_input()

    async def _linger(self) -> None:
        """Let the response reach a client that still writes: closing at once would reset the connection.

        A body that was announced is read to its end, since its client may read only once it has written.
        """
        self._stream.shut_down_sending()
        deadline = trio.current_time() + _LINGER_SECONDS
        max_bytes = _LINGER_BYTES
        if self._http.has_rejected_body:
            deadline = self._accepted_at + _LINGER_BODY_SECONDS
            max_bytes = _LINGER_BODY_BYTES
        with trio.move_on_at(deadline):
            await self._stream.discard_until_end(max_bytes)

    def note_close(self, reason: CloseReason) -> None:
        """Note why the connection is about to be closed; the first reason counts."""
        self._close_reason = self._close_reason or reason

    def close_soon(self, reason: CloseReason) -> None:
        """Close the connection soon."""
        self.note_close(reason)
        self._scope.cancel()
        if self.is_finished and not self.has_unsent:
            self._close_stream()

    def _close_stream(self) -> None:
        if self._stream.is_closed:
            return  # or passed to another process
        self.note_close(CloseReason.LAST_RESPONSE if self.is_finished else CloseReason.PEER_CLOSED)
        assert self._close_reason is not None
        self._server.core.counters.count(CounterGroup.CLIENT_CLOSES, self._close_reason.value)
        self._stream.close()

    def close_now(self) -> None:
        """Close the connection now; a client that waits on it gets no response any more."""
        self._close_stream()
        if self.job is not None:
            self._server.waiting_client_count -= 1
            self._server.core.lifecycle.on_client_disconnected(self.job)

    def pass_to_successor(self) -> None:
        """Pass the connection to the process that has taken over, if it lies between requests."""
        successor = self._server.successor
        if successor is None or not self.is_idle or self.is_finished:
            return
        sock = self._stream.detach()
        if sock is not None:
            self._server.connections.discard(self)
            successor.pass_connection(sock, self.has_been_used, trio.current_time() - self._accepted_at)

    # --- requests and responses -----------------------------------------------------------------

    def process_input(self) -> None:
        """Take in what was read, as far as requests may be handled."""
        # Without this, the answer of a job admitted from a connection that is being closed would be lost.
        if self._is_processing or self._scope.cancel_called:
            return
        self._is_processing = True
        self.last_received_at = trio.current_time()
        try:
            while not self._http.has_open_request and not self._http.is_closing:
                if self.has_been_used and self._http.is_idle:
                    self.state_since = trio.current_time()
                request = self._http.receive_data(self._stream.inbound.read_all())
                if request is None:
                    if interim := self._http.encode_continue_response():
                        self._send(interim)
                    break
                self.has_been_used = True
                self._server.request_handler.handle(self, request)
        finally:
            self._is_processing = False
        self.pass_to_successor()

    def respond(self, answer: FinalAnswer) -> None:
        """Give the client its job's one final answer."""
        self.job = None
        self._server.waiting_client_count -= 1
        write_final_answer(self, answer)
        self.process_input()

    def write_response(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = (), closes: bool = False
    ) -> None:
        """Write the response to the open request; `closes` makes it the last one on this connection."""
        if closes or self._server.drain.state >= ServiceState.CLOSING:
            self._http.is_closing = True
        self.state_since = trio.current_time()
        self._send(self._http.encode_response(status, body, headers))
        if self._http.is_closing:
            self._scope.cancel()

    def _send(self, data: bytes) -> None:
        try:
            self._stream.send(data)
        except (OSError, BufferError):
            # The client has left, or does not read; its job has been answered all the same.
            self.note_close(CloseReason.BROKEN)
            self._http.is_closing = True
            self._scope.cancel()
            return
        if self._stream.outbound:
            self._server.nursery.start_soon(self._drain_output)

    async def _drain_output(self) -> None:
        try:
            await self._stream.drain()
        except OSError:
            self.note_close(CloseReason.BROKEN)
            self._scope.cancel()
        except Exception as error:  # noqa: BLE001 - the task that writes ends here
            # Without this, one connection's fault would end the node.
            self._server.log(ConnectionFailed(error=repr(error)))
            self.note_close(CloseReason.ERROR)
            self._scope.cancel()
