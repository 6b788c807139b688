"""Reads the requests of one accepted connection, passes them on, and writes the responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from msgspec import UNSET

from burlmoor.downstream.drain import ServiceState
from burlmoor.downstream.http import HttpServerConnection
from burlmoor.downstream.input_reader import InputReader
from burlmoor.downstream.requests import JobCallback, JobSubmission, ParsedRequest
from burlmoor.downstream.responses import Response
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    from msgspec import UnsetType

    from burlmoor.downstream.accepted_socket import AcceptedSocket
    from burlmoor.downstream.connection_set import ConnectionSet
    from burlmoor.downstream.drain import DrainController
    from burlmoor.downstream.excess_input import ExcessInputTurns
    from burlmoor.downstream.job_headers import JobSubmissionParser
    from burlmoor.downstream.peer_processes import PeerProcesses
    from burlmoor.downstream.request_handler import RequestHandler
    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.job import Job


class DownstreamConnection:
    """Serves one accepted connection, and is the `Responder` of its open job.

    - `has_been_used`: whether a complete request has arrived
    - `state_since`: when the connection was accepted, began to receive its current request, or wrote its
      last response, whichever is latest
    """

    def __init__(
        self,
        accepted_socket: AcceptedSocket,
        parser: JobSubmissionParser,
        handler: RequestHandler,
        connections: ConnectionSet,
        peers: PeerProcesses,
        drain: DrainController,
        excess_input: ExcessInputTurns,
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
        self._job: Job | None = None  # the open job that the client waits for
        self._last_request_id: str | UnsetType = UNSET
        self.has_been_used = has_been_used
        self.state_since = trio.current_time() if has_been_used else accepted_socket.accepted_at
        self._input = InputReader(accepted_socket, self._http, self, excess_input, self.state_since)

    @property
    def last_received_at(self) -> float:
        """When data last arrived."""
        return self._input.last_received_at

    @property
    def is_idle(self) -> bool:
        """Whether there is neither a partial nor an open request, and nothing left to write."""
        return self._http.is_idle and not self._stream.inbound and not self._stream.outbound

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of a response is still to be written."""
        return bool(self._stream.outbound)

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has arrived in part."""
        return not (self.is_awaiting_response or self.is_idle or self.is_finished)

    @property
    def is_awaiting_response(self) -> bool:
        """Whether a request has arrived and has no response yet."""
        return self._http.has_open_request

    @property
    def is_finished(self) -> bool:
        """Whether there is nothing more to read or to answer."""
        return self._http.is_finished

    def serve_without_task(self) -> bool:
        """Handle the input that has already arrived; return whether that completed and closed the connection.

        Most connections carry a single call-back, so this saves starting a task for them.
        """
        try:
            self._input.read_now()
        except (OSError, BufferError):
            self._http.stop_reading()
            self._socket.record_close_reason(CloseReason.BROKEN)
        if not self.is_finished or self._stream.outbound or self._http.may_have_unread_input:
            return False
        self._close_socket()
        return True

    async def run(self) -> None:
        """Serve the connection until it ends, then close it."""
        try:
            with self._socket.scope:
                await self._input.read()
            if self.is_finished:
                await self._socket.flush_and_linger(
                    may_have_unread_input=self._http.may_have_unread_input,
                    has_rejected_body=self._http.has_rejected_body,
                )
        except (OSError, BufferError):
            self._socket.record_close_reason(CloseReason.BROKEN)
        except Exception as error:  # noqa: BLE001 - the connection's task ends here
            # An uncaught error would cancel the nursery and stop the node.
            self._socket.on_error(error)
        finally:
            self.close_now()

    def on_portion_begins(self) -> None:
        """Record when a request after the first one begins to arrive."""
        if self.has_been_used and self._http.is_idle:
            self.state_since = trio.current_time()

    def on_portion_parsed(self, request: ParsedRequest | None) -> None:
        """Handle the request that a portion of the input completes, if any."""
        if request is not None:
            self.has_been_used = True
            self._handle(request)
        elif interim := self._http.encode_continue_response():
            self._send(interim)

    def on_input_handled(self) -> None:
        """Pass the connection to the successor process if there is one and it is idle now."""
        self.pass_to_successor()

    def _handle(self, request: ParsedRequest) -> None:
        if isinstance(request, JobSubmission):
            self._last_request_id = request.request_id
            if self._stream.has_peer_closed():
                self.close(CloseReason.PEER_CLOSED)
                return
        result = self._handler.handle(request, self)
        if isinstance(result, Response):
            self._write_response(result)
        elif isinstance(result, JobCallback):
            self._nursery.start_soon(self._forward_callback, result.body)
        else:
            # Set before the call, so that `close_now` reports a disconnect if the call fails.
            self._job = result
            self._handler.on_job_admitted(result)

    def detect_disconnect(self) -> bool:
        """Close the connection if the client has closed it; return whether it is closed.

        The task that reads may not have run since then, and what the client wrote before may be unread.
        """
        try:
            if not (self._stream.has_peer_closed() or self._input.read_ahead()):
                return self._stream.is_closed
        except OSError:
            self._socket.record_close_reason(CloseReason.BROKEN)
        self.close(CloseReason.PEER_CLOSED)
        return True

    def respond(self, answer: FinalAnswer) -> None:
        """Send the client the final answer of its job."""
        self._job = None
        self._write_response(self._handler.on_job_answered(answer))
        self._on_responded()

    def _on_responded(self) -> None:
        """Wake the connection's task if there is buffered input; pass an idle connection on."""
        if self._input.can_handle_input:
            self._input.resume()
        else:
            self.pass_to_successor()

    async def _forward_callback(self, body: bytes) -> None:
        try:
            self._write_response(await self._handler.forward_callback(body))
            self._on_responded()
        except Exception as error:  # noqa: BLE001 - the call-back's task ends here
            # An uncaught error would cancel the nursery and stop the node.
            self._socket.on_error(error)
            self.close(CloseReason.ERROR)

    def _write_response(self, response: Response) -> None:
        if response.close_reason is not None:
            self._socket.record_close_reason(response.close_reason)
        if response.closes_connection or self._drain.state >= ServiceState.CLOSING:
            self._http.stop_reading()
        self.state_since = trio.current_time()
        self._send(self._http.encode_response(response))
        if self._http.is_closing:
            self._socket.scope.cancel()

    def _send(self, data: bytes) -> None:
        if not self._socket.send(data):
            self._http.stop_reading()

    def read_pending_input(self, *, may_exceed_allowance: bool = False) -> None:
        """Handle input that has arrived but was not read yet; see `InputReader.read_pending`."""
        try:
            self._input.read_pending(may_exceed_allowance=may_exceed_allowance)
        except (OSError, BufferError):
            self.close(CloseReason.BROKEN)
        except Exception as error:  # noqa: BLE001
            # An uncaught error would end the task that decides which connections to close.
            self._socket.on_error(error)
            self.close_now()

    def close_unless_readable(self, reason: CloseReason) -> bool:
        """Close the connection unless input has arrived that was not read; return whether it is closed.

        No client may await a response. Input that waits for a turn does not prevent the close.
        """
        if self.is_finished or self._input.has_excess_input:
            self.close(reason)
            return True
        return self._socket.close_unless_readable(reason)

    def close(self, reason: CloseReason) -> None:
        """Close the connection immediately, for this reason, even if a client awaits a response."""
        self._socket.record_close_reason(reason)
        self.close_now()

    def close_now(self) -> None:
        """Close the connection immediately, for the reason recorded before, if any."""
        self._close_socket()
        job, self._job = self._job, None
        if job is not None:
            self._handler.on_client_disconnected(job)

    def _close_socket(self) -> None:
        if self.is_finished:
            self._socket.close(CloseReason.LAST_RESPONSE)
            return
        state_seconds = trio.current_time() - self.state_since
        self._socket.report_discarded_input(CloseReason.PEER_CLOSED, self._last_request_id, state_seconds)
        self._socket.close(CloseReason.PEER_CLOSED)

    def pass_to_successor(self) -> None:
        """Pass the connection to the successor process if there is one and the connection is idle."""
        successor = self._peers.successor
        if successor is None or not self.is_idle or self.is_finished:
            return
        sock = self._stream.detach()
        if sock is not None:
            self._connections.discard(self)
            age_seconds = trio.current_time() - self._socket.accepted_at
            successor.pass_connection(sock, has_been_used=self.has_been_used, age_seconds=age_seconds)
