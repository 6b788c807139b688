"""HTTP/1.1 on the client's side of a connection, as a state machine: bytes in, requests and bytes out.

Uses no socket and no clock. Executors' call-backs and readiness checks arrive here too.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from burlmoor.downstream.job_headers import InvalidHeaderError
from burlmoor.downstream.requests import InvalidRequest, JobCallback, ParsedRequest, ReadinessCheck
from burlmoor.engine.deferral import InvalidConditionError
from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    from burlmoor.downstream.job_headers import JobSubmissionParser
    from burlmoor.downstream.responses import Response

MAX_BODY_BYTES = 64 * 1024
READY_PATH = "/health/ready"
CALLBACK_PATH = "/v1/job-events"
_MAX_HEAD_BYTES = 16384
_MAX_REASON_LENGTH = 100
_CONNECTION_CLOSE = ("Connection", "close")
_CONTINUE = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
_STATUS_NO_CONTENT = HTTPStatus.NO_CONTENT
_NO_CONTENT = h11.Response(status_code=_STATUS_NO_CONTENT, headers=[])
_NO_CONTENT_AND_CLOSE = h11.Response(status_code=_STATUS_NO_CONTENT, headers=[_CONNECTION_CLOSE])
_END_OF_MESSAGE = h11.EndOfMessage()

_AMBIGUOUS_LENGTH = InvalidRequest(HTTPStatus.BAD_REQUEST, "both Content-Length and Transfer-Encoding")
_BODY_TOO_LARGE = InvalidRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is over 64 KiB")
_GET_ONLY = InvalidRequest(HTTPStatus.METHOD_NOT_ALLOWED, "GET only")
_POST_ONLY = InvalidRequest(HTTPStatus.METHOD_NOT_ALLOWED, "POST only")
_UNKNOWN_CLASS = InvalidRequest(HTTPStatus.NOT_FOUND, "no such class")


class NoOpenRequestError(BurlmoorError, RuntimeError):
    """A response was to be encoded although no request is open: an error of the caller."""


class HttpServerConnection:
    """Owns the HTTP state of one accepted connection. One request at a time; later input stays unparsed.

    - `has_open_request`: a request has arrived and has no response yet
    - `is_closing`: nothing more is read from this connection; it is closed after the open request's response
    - `has_rejected_body`: a body was rejected for its announced length, and may still be written
    """

    def __init__(self, parser: JobSubmissionParser) -> None:
        self._parser = parser
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._head: h11.Request | None = None
        self._body = bytearray()
        self.has_open_request = False
        self._omits_response_body = False  # HEAD: the length of a body that is not sent
        self.is_closing = False
        self.has_rejected_body = False

    @property
    def may_have_unread_input(self) -> bool:
        """Whether there is unread input, or more may still arrive."""
        has_ended = self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return not has_ended or bool(self._http.trailing_data[0])

    @property
    def is_idle(self) -> bool:
        """Whether no request has been begun or is open."""
        return not self.has_open_request and self._head is None and not self._http.trailing_data[0]

    def stop_reading(self) -> None:
        """Stop reading: the connection is to be closed, after the open request's response if there is one."""
        self.is_closing = True

    def receive_data(self, data: bytes) -> ParsedRequest | None:
        """Parse bytes; return the request once it is complete. Not to be called with a request open."""
        try:
            if data:
                self._http.receive_data(data)
            return self._parse_next()
        except h11.RemoteProtocolError as error:
            return self._reject(InvalidRequest(HTTPStatus(error.error_status_hint), str(error)))

    def _parse_next(self) -> ParsedRequest | None:
        while True:
            event = self._http.next_event()
            rejection: InvalidRequest | None = None
            if isinstance(event, h11.Request):
                rejection = self._on_head(event)
            elif isinstance(event, h11.Data):
                rejection = self._on_body_data(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self._on_complete()
            else:
                return None
            if rejection is not None:
                return rejection

    def _on_head(self, head: h11.Request) -> InvalidRequest | None:
        self._head = head
        if {b"content-length", b"transfer-encoding"} <= {name for name, _ in head.headers}:
            # Without this, the body might hide another request where two lengths are given (request
            # smuggling, RFC 9112, section 11.2).
            return self._reject(_AMBIGUOUS_LENGTH)
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > MAX_BODY_BYTES:
            self.has_rejected_body = True
            return self._reject(_BODY_TOO_LARGE)
        return None

    def _on_body_data(self, data: bytes) -> InvalidRequest | None:
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            return self._reject(_BODY_TOO_LARGE)
        return None

    def _on_complete(self) -> ParsedRequest:
        request = self._route()
        if isinstance(request, InvalidRequest):
            return self._reject(request)
        self._note_method()
        self._head = None
        self._body = bytearray()
        self.has_open_request = True
        return request

    def _note_method(self) -> None:
        self._omits_response_body = self._head is not None and self._head.method == b"HEAD"

    def _reject(self, rejection: InvalidRequest) -> InvalidRequest:
        self.has_open_request = True
        self._note_method()
        # Without this, clients could repeat invalid requests at no cost: a rejection closes the connection.
        self.stop_reading()
        # h11 quotes up to 16 KiB of input that it can't parse, too much for the log and the response.
        return InvalidRequest(rejection.status, rejection.reason[:_MAX_REASON_LENGTH])

    def _route(self) -> ParsedRequest:
        head = self._head
        assert head is not None
        method = head.method
        path = head.target.split(b"?", 1)[0].decode("ascii", "replace")
        if path == READY_PATH:
            return ReadinessCheck() if method == b"GET" else _GET_ONLY
        if path == CALLBACK_PATH:
            return JobCallback(bytes(self._body)) if method == b"POST" else _POST_ONLY
        parts = path.split("/")
        if len(parts) == 1 or parts[0] or parts[1] not in self._parser.classes:
            return _UNKNOWN_CLASS
        if method != b"POST":
            return _POST_ONLY
        try:
            return self._parser.parse(head, parts, bytes(self._body))
        except (InvalidHeaderError, InvalidConditionError) as error:
            return InvalidRequest(HTTPStatus.BAD_REQUEST, str(error))

    def encode_continue_response(self) -> bytes:
        """Encode 100 Continue if the client waits for it before it sends its body, else nothing."""
        if self._http.they_are_waiting_for_100_continue and not self.is_closing:
            return self._http.send(_CONTINUE) or b""
        return b""

    def encode_response(self, response: Response) -> bytes:
        """Encode the response to the open request; afterwards the next request may arrive.

        Raises:
            NoOpenRequestError: no request is open.
        """
        if not self.has_open_request:
            raise NoOpenRequestError
        if response.status is _STATUS_NO_CONTENT:
            head = _NO_CONTENT_AND_CLOSE if self.is_closing else _NO_CONTENT
        else:
            headers = [*response.headers, ("Content-Length", str(len(response.body)))]
            if self.is_closing:
                headers.append(_CONNECTION_CLOSE)
            head = h11.Response(status_code=response.status, headers=headers)
        # After a framing error h11 has no request to pair the response with, yet still sends it.
        data = self._http.send(head) or b""
        if response.body and not self._omits_response_body:
            data += self._http.send(h11.Data(data=response.body)) or b""
        data += self._http.send(_END_OF_MESSAGE) or b""
        self.has_open_request = False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE and not self.is_closing:
            self._http.start_next_cycle()
        else:
            self.stop_reading()
        return data
