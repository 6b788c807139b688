"""What a parsed request does: admits a job, delivers a call-back, or is answered at once.

The rejections that need no policy are made here and in `http`; the policy's come as a job's final answer,
which `write_final_answer` puts into HTTP.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.downstream import callbacks
from burlmoor.downstream.drain import ServiceState
from burlmoor.downstream.requests import (
    InvalidRequest,
    JobCallback,
    JobSubmission,
    ParsedRequest,
    ReadinessCheck,
)
from burlmoor.engine.answers import DependencyFailed, Failed, FinalAnswer, Rejected, Served
from burlmoor.log_events import ConnectionFailed, RequestRejected
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    from burlmoor.downstream.connection import DownstreamConnection
    from burlmoor.downstream.server import DownstreamServer

_RETRY_AFTER_SECONDS = "0.5"  # advice to a client that found no capacity


class RequestHandler:
    """Handles the requests of all connections of one server; holds no state of its own."""

    def __init__(self, server: DownstreamServer) -> None:
        self._server = server

    def handle(self, connection: DownstreamConnection, request: ParsedRequest) -> None:
        """Handle a request; the connection is given its response now or later."""
        match request:
            case JobSubmission():
                self._on_job_submission(connection, request)
            case JobCallback(body):
                self._on_callback(connection, body)
            case ReadinessCheck():
                self._on_readiness_check(connection)
            case InvalidRequest(status, reason):
                self._server.log(RequestRejected(status=status, reason=reason))
                connection.note_close(CloseReason.INVALID_REQUEST)
                connection.write_response(status, reason.encode() + b"\n")

    def _on_job_submission(self, connection: DownstreamConnection, submission: JobSubmission) -> None:
        server = self._server
        if not server.has_capacity():
            # Its connection is what is short: it goes to those that come behind, call-backs among them.
            reason = "shutting down" if server.drain.state >= ServiceState.REJECTING else "no connection left"
            server.log(RequestRejected(id=submission.request_id, status=503, reason=reason))
            connection.write_response(503, headers=[("Retry-After", _RETRY_AFTER_SECONDS)], closes=True)
            return
        connection.job = server.engine.admit(
            connection,
            submission.request_id,
            submission.request,
            submission.payload,
            submission.conditions,
        )
        if connection.job is None:
            server.log(RequestRejected(id=submission.request_id, status=400, reason="the id is in use"))
            connection.write_response(400, b"Request-Id is in use\n", closes=True)
            return
        server.waiting_client_count += 1
        if server.successor is not None:
            server.successor.on_job_opened(submission.request_id)

    def _on_callback(self, connection: DownstreamConnection, body: bytes) -> None:
        result = callbacks.handle_callback(self._server.core, body)
        if result is callbacks.CallbackResult.UNKNOWN and self._server.callback_forwarder is not None:
            self._server.nursery.start_soon(self._forward_callback, connection, body)
        elif result is callbacks.CallbackResult.INVALID:
            connection.write_response(400, b"not a job event\n", closes=True)
        else:
            connection.write_response(204)

    async def _forward_callback(self, connection: DownstreamConnection, body: bytes) -> None:
        """Answer a call-back once the process that knows its job has acknowledged it.

        Without this, a result would be lost: the executor does not repeat what was answered.
        """
        forwarder = self._server.callback_forwarder
        try:
            is_acknowledged = forwarder is not None and await forwarder.forward_callback(body)
            connection.write_response(204 if is_acknowledged else 503, closes=not is_acknowledged)
            connection.process_input()
        except Exception as error:  # noqa: BLE001 - the call-back's task ends here
            # Without this, one call-back's fault would end the node.
            self._server.log(ConnectionFailed(error=repr(error)))
            connection.close_soon(CloseReason.ERROR)

    def _on_readiness_check(self, connection: DownstreamConnection) -> None:
        # A check needs no connection that lasts. Without the close, checkers that ask once and stay would
        # fill the server.
        if self._server.is_ready:
            connection.write_response(200, b"ready\n", closes=True)
        else:
            connection.write_response(503, b"taking no clients\n", closes=True)


def write_final_answer(connection: DownstreamConnection, answer: FinalAnswer) -> None:
    """Write a job's one final answer as the response to its submission."""
    match answer:
        case Served(result):
            connection.write_response(200, result)
        case Rejected(retry_after):
            advice = [("Retry-After", f"{retry_after / 1000.0:.3f}")] if retry_after > 0.0 else []
            connection.write_response(503, b"", advice)
        case Failed():
            connection.write_response(502, b"the job failed and may have run\n")
        case DependencyFailed(reason):
            connection.write_response(424, reason.encode() + b"\n")
