"""Handles parsed requests: admits jobs, delivers call-backs, and answers all others immediately.

Requests that are rejected here or in `http` never become jobs; a rejection by the policy is the final answer
of a job.
"""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
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
from burlmoor.downstream.responses import RETRY_AFTER, Response, build_answer_response
from burlmoor.log_events import RequestRejected
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    from burlmoor.downstream.connection_set import ConnectionSet
    from burlmoor.downstream.drain import DrainController
    from burlmoor.downstream.peer_processes import PeerProcesses
    from burlmoor.engine.answers import FinalAnswer, Responder
    from burlmoor.engine.engine import Engine
    from burlmoor.engine.job import Job
    from burlmoor.engine.job_lifecycle import JobLifecycle
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.log import EventLogger


class RejectionReason(StrEnum):
    """Why a job submission was rejected before it became a job; the value is its name in the log."""

    NOT_ACCEPTING_JOBS = "shutting down"
    NO_CONNECTION_LEFT = "no connection left"
    ID_IN_USE = "the id is in use"


# Closes the connection: at the connection limit this leaves room for call-backs.
_UNAVAILABLE = Response(
    HTTPStatus.SERVICE_UNAVAILABLE, headers=((RETRY_AFTER, "0.5"),), closes_connection=True
)
_ID_IN_USE = Response(HTTPStatus.BAD_REQUEST, b"Request-Id is in use\n", closes_connection=True)
_CALLBACK_ACCEPTED = Response(HTTPStatus.NO_CONTENT)
_CALLBACK_INVALID = Response(HTTPStatus.BAD_REQUEST, b"not a job event\n", closes_connection=True)
_CALLBACK_NOT_ACKNOWLEDGED = Response(HTTPStatus.SERVICE_UNAVAILABLE, closes_connection=True)
# Closes the connection, since health checkers that stay connected would use up the connection limit.
_READY = Response(HTTPStatus.OK, b"ready\n", closes_connection=True)
_NOT_READY = Response(HTTPStatus.SERVICE_UNAVAILABLE, b"taking no clients\n", closes_connection=True)


class RequestHandler:
    """Handles the requests of all connections of one server; holds no state of its own."""

    def __init__(
        self,
        engine: Engine,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        connections: ConnectionSet,
        peers: PeerProcesses,
        drain: DrainController,
        log: EventLogger,
    ) -> None:
        self._engine = engine
        self._jobs = jobs
        self._lifecycle = lifecycle
        self._connections = connections
        self._peers = peers
        self._drain = drain
        self._log = log

    def handle(self, request: ParsedRequest, responder: Responder) -> Response | Job | JobCallback:
        """Handle a request.

        Returns one of:
        - the response
        - the admitted job, whose answer is passed to `responder` later
        - the call-back, if it is to be passed to `forward_callback` for its response
        """
        match request:
            case JobSubmission():
                return self._admit(request, responder)
            case JobCallback():
                return self._handle_callback(request)
            case ReadinessCheck():
                return _READY if self._is_ready() else _NOT_READY
            case InvalidRequest(status, reason):
                self._log(RequestRejected(status=status, reason=reason))
                body = reason.encode() + b"\n"
                return Response(status, body, close_reason=CloseReason.INVALID_REQUEST)

    def _admit(self, submission: JobSubmission, responder: Responder) -> Response | Job:
        if self._drain.state >= ServiceState.REJECTING:
            return self._reject(submission, RejectionReason.NOT_ACCEPTING_JOBS, _UNAVAILABLE)
        if not self._connections.has_capacity_for_client():
            return self._reject(submission, RejectionReason.NO_CONNECTION_LEFT, _UNAVAILABLE)
        job = self._engine.admit(
            responder,
            submission.request_id,
            submission.request,
            submission.payload,
            submission.conditions,
        )
        if job is None:
            return self._reject(submission, RejectionReason.ID_IN_USE, _ID_IN_USE)
        return job

    def _reject(self, submission: JobSubmission, reason: RejectionReason, response: Response) -> Response:
        self._log(RequestRejected(id=submission.request_id, status=response.status, reason=reason))
        return response

    def on_job_admitted(self, job: Job) -> None:
        """Count the client as waiting, and notify the node's other processes of the job."""
        self._connections.on_client_waiting()
        if self._peers.admission_observer is not None:
            self._peers.admission_observer.on_job_admitted(job.id)

    def on_job_answered(self, answer: FinalAnswer) -> Response:
        """Stop counting the client as waiting, and return the response to its submission."""
        self._connections.on_client_wait_ended()
        return build_answer_response(answer)

    def on_client_disconnected(self, job: Job) -> None:
        """Stop counting the client as waiting, and tell the engine that it has disconnected."""
        self._connections.on_client_wait_ended()
        self._lifecycle.on_client_disconnected(job)

    def _handle_callback(self, callback: JobCallback) -> Response | JobCallback:
        result = callbacks.handle_callback(self._jobs, self._lifecycle, callback.body)
        if result is callbacks.CallbackResult.UNKNOWN and self._peers.callback_forwarder is not None:
            return callback
        if result is callbacks.CallbackResult.INVALID:
            return _CALLBACK_INVALID
        return _CALLBACK_ACCEPTED

    async def forward_callback(self, body: bytes) -> Response:
        """Forward a call-back to the node's other processes and return the response to it.

        The response is 503 unless one of them acknowledges the call-back, so that the executor repeats it:
        an executor does not repeat a call-back that was accepted, and the result would be lost.
        """
        forwarder = self._peers.callback_forwarder
        is_acknowledged = forwarder is not None and await forwarder.forward_callback(body)
        return _CALLBACK_ACCEPTED if is_acknowledged else _CALLBACK_NOT_ACKNOWLEDGED

    def _is_ready(self) -> bool:
        """Return whether load balancers in front of the node may send clients to it.

        After a handover the successor accepts clients, so the node is ready unless a drain is requested,
        although this process shuts down. If it were reported as not ready, load balancers would avoid it for
        seconds.
        """
        if self._peers.successor is not None:
            return not self._drain.is_drain_requested
        return self._drain.state is ServiceState.ACCEPTING
