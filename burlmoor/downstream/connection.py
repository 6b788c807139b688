"""One accepted connection: reads requests, has each one handled, and writes its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.downstream.accepted_socket import LINGER_BYTES
from burlmoor.downstream.drain import ServiceState
from burlmoor.downstream.http import HttpServerConnection
from burlmoor.downstream.requests import JobCallback, ParsedRequest
from burlmoor.downstream.responses import Response
from burlmoor.transport.stream import ReceiveResult
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    from burlmoor.downstream.accepted_socket import AcceptedSocket
    from burlmoor.downstream.connection_set import ConnectionSet
    from burlmoor.downstream.drain import DrainController
    from burlmoor.downstream.job_headers import JobSubmissionParser
    from burlmoor.downstream.peer_processes import PeerProcesses
    from burlmoor.downstream.request_handler import RequestHandler
    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.job import Job


class DownstreamConnection:
    """Owns the requests and responses of one accepted connection. Implements `Responder` for its job.

    `has_been_used` is whether a complete request has arrived. `state_since` is when the connection was
    accepted, began to receive its present request, or wrote its last response; `last_received_at` is when
    bytes last arrived.
    """

    def __init__(
        self,
        accepted_socket: AcceptedSocket,
        parser: JobSubmissionParser,
        handler: RequestHandler,
        connections: ConnectionSet,
        peers: PeerProcesses,
        drain: DrainController,
        nursery: trio.Nursery,
        *,
        has_been_used: bool,
    ) -> None:
        self._socket = accepted_socket
        self._stream = accepted_socket.stream
        self._http = HttpServerConnection(parser)
        self._handler = handler
        self._connections = connections
        self._peers = peers
        self._drain = drain
        self._nursery = nursery
        self._job: Job | None = None  # the job whose answer the client waits for
        self._is_processing = False
        self.has_been_used = has_been_used
        self.state_since = trio.current_time() if has_been_used else accepted_socket.accepted_at
        self.last_received_at = self.state_since

    @property
    def is_idle(self) -> bool:
        """Whether no request has been begun or is open."""
        return self._http.is_idle and not self._stream.inbound and not self._stream.outbound

    @property
    def has_unsent(self) -> bool:
        """Whether part of a response still waits to be written."""
        return bool(self._stream.outbound)

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has arrived."""
        return not (self.is_awaiting_response or self.is_idle or self.is_finished)

    @property
    def is_awaiting_response(self) -> bool:
        """Whether a request is open."""
        return self._http.has_open_request

    @property
    def is_finished(self) -> bool:
        """Whether nothing more is to be read or answered here."""
        return self._http.is_closing and not self._http.has_open_request

    # --- reading --------------------------------------------------------------------------------

    def serve_without_task(self) -> bool:
        """Handle the input that has already arrived; return whether the connection is closed after that.

        Most connections carry one call-back each, and need no task.
        """
        try:
            if self._stream.receive_now() is ReceiveResult.DATA:
                self.process_input()
        except (OSError, BufferError):
            self._http.stop_reading()
            self._socket.note_close(CloseReason.BROKEN)
        if not self.is_finished or self._stream.outbound or self._http.may_have_unread_input:
            return False
        self._close_socket()
        return True

    async def run(self) -> None:
        """Read until the connection ends."""
        try:
            with self._socket.scope:
                await self._read()
            if self.is_finished:
                await self._socket.finish(
                    may_have_unread_input=self._http.may_have_unread_input,
                    has_rejected_body=self._http.has_rejected_body,
                )
        except (OSError, BufferError):
            self._socket.note_close(CloseReason.BROKEN)
        except Exception as error:  # noqa: BLE001 - the connection's task ends here
            # Without this, an error on one connection would end the node.
            self._socket.on_error(error)
        finally:
            self.close_now()

    async def _read(self) -> None:
        while not self.is_finished:
            if not self._stream.inbound.free_space:
                # Without this, jobs would run for clients that have disconnected: a close can only be read
                # after everything written before it. A client that keeps writing has more than one request
                # open, so the rest is discarded, and the response closes the connection.
                self._http.stop_reading()
                await self._stream.discard_until_end(LINGER_BYTES)
                return
            if not await self._stream.receive():
                return
            self.process_input()

    def process_input(self) -> None:
        """Handle the buffered requests, until one has to wait for its response."""
        # Without this, the answer of a job admitted from a connection that is being closed would be lost.
        if self._is_processing or self._socket.scope.cancel_called:
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
                self._handle(request)
        finally:
            self._is_processing = False
        self.pass_to_successor()

    # --- requests and responses -----------------------------------------------------------------

    def _handle(self, request: ParsedRequest) -> None:
        result = self._handler.handle(request, self)
        if isinstance(result, Response):
            self._write_response(result)
        elif isinstance(result, JobCallback):
            self._nursery.start_soon(self._forward_callback, result.body)
        else:
            # Set first: if the next call fails, the client counts as disconnected.
            self._job = result
            self._handler.on_job_admitted(result)

    def respond(self, answer: FinalAnswer) -> None:
        """Send the client the one final answer of its job."""
        self._job = None
        self._write_response(self._handler.on_job_answered(answer))
        self.process_input()

    async def _forward_callback(self, body: bytes) -> None:
        try:
            self._write_response(await self._handler.forward_callback(body))
            self.process_input()
        except Exception as error:  # noqa: BLE001 - the call-back's task ends here
            # Without this, an error in one call-back would end the node.
            self._socket.on_error(error)
            self.close_soon(CloseReason.ERROR)

    def _write_response(self, response: Response) -> None:
        if response.close_reason is not None:
            self._socket.note_close(response.close_reason)
        if response.closes_connection or self._drain.state >= ServiceState.CLOSING:
            self._http.stop_reading()
        self.state_since = trio.current_time()
        self._send(self._http.encode_response(response))
        if self._http.is_closing:
            self._socket.scope.cancel()

    def _send(self, data: bytes) -> None:
        if not self._socket.send(data):
            self._http.stop_reading()

    # --- closing --------------------------------------------------------------------------------

    def close_soon(self, reason: CloseReason) -> None:
        """Stop reading and close the connection, now if there is nothing left to write."""
        self._socket.note_close(reason)
        self._socket.scope.cancel()
        if self.is_finished and not self.has_unsent:
            self._close_socket()

    def close_now(self) -> None:
        """Close the connection now; a client that waits for a response gets none."""
        self._close_socket()
        if self._job is not None:
            self._handler.on_client_disconnected(self._job)

    def _close_socket(self) -> None:
        self._socket.close(CloseReason.LAST_RESPONSE if self.is_finished else CloseReason.PEER_CLOSED)

    def pass_to_successor(self) -> None:
        """Pass the connection to the process that has taken over, if it is idle."""
        successor = self._peers.successor
        if successor is None or not self.is_idle or self.is_finished:
            return
        sock = self._stream.detach()
        if sock is not None:
            self._connections.discard(self)
            age_seconds = trio.current_time() - self._socket.accepted_at
            successor.pass_connection(sock, has_been_used=self.has_been_used, age_seconds=age_seconds)
