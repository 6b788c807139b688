"""The HTTP/1.1 server protocol as a state machine without I/O: parses requests and encodes responses.

Uses no socket and no clock. Requests are job submissions, executors' call-backs and readiness checks.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from burlmoor.downstream.job_headers import InvalidHeaderError
from burlmoor.downstream.request_head import RequestHead
from burlmoor.downstream.requests import InvalidRequest, JobCallback, ParsedRequest, ReadinessCheck
from burlmoor.engine.deferral import InvalidConditionError
from burlmoor.errors import BurlmoorError
from burlmoor.transport.input_portions import InputPortions

if TYPE_CHECKING:
    from burlmoor.downstream.job_headers import JobSubmissionParser
    from burlmoor.downstream.responses import Response

MAX_BODY_BYTES = 64 * 1024
READY_PATH = "/health/ready"
CALLBACK_PATH = "/v1/job-events"
_MAX_HEAD_BYTES = 16384
_CALLBACK_START = f"POST {CALLBACK_PATH}".encode()
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
    """A response was passed for encoding while no request was open; this is a bug in the caller."""


class HttpServerConnection:
    """Holds the HTTP state of one accepted connection.

    Handles one request at a time; input after it stays unparsed until the response has been encoded.

    - `has_open_request`: a request has arrived and has no response yet
    - `is_closing`: no further request is read, and the connection closes after any open request's response
    - `has_rejected_body`: a body was rejected for its Content-Length, and the client may still be writing it
    - `last_line_count`: how many lines the last call of `receive_data` has parsed; a body with a
      Content-Length has none
    """

    def __init__(self, parser: JobSubmissionParser) -> None:
        self._parser = parser
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._missing_body_bytes = 0  # of a body with a Content-Length
        self._unparsed = InputPortions()  # received, but not given to h11 yet
        self._may_have_buffered_request = False  # whether h11 has input behind the last request
        self.last_line_count = 0
        self.has_open_request = False
        self._omits_response_body = False  # for HEAD, which gets the headers only
        self.is_closing = False
        self.has_rejected_body = False

    @property
    def may_have_unread_input(self) -> bool:
        """Whether there is unread input, or more input may arrive."""
        has_ended = self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return not has_ended or self._has_received_more

    @property
    def has_unparsed_input(self) -> bool:
        """Whether `receive_data` may find another request without further data."""
        return bool(self._unparsed) or self._may_have_buffered_request

    @property
    def _has_received_more(self) -> bool:
        """Whether input has been received behind the events that h11 has returned."""
        return bool(self._unparsed) or bool(self._http.trailing_data[0])

    @property
    def is_finished(self) -> bool:
        """Whether there is nothing more to read or to answer."""
        return self.is_closing and not self.has_open_request

    @property
    def is_idle(self) -> bool:
        """Whether there is neither a partial nor an open request."""
        return not self.has_open_request and self._head is None and not self._has_received_more

    @property
    def is_receiving_callback(self) -> bool:
        """Whether the input that has arrived behind the last request begins with a call-back."""
        if self._head is not None:
            return (self._head.method, self._head.path) == (b"POST", CALLBACK_PATH)
        start = self._http.trailing_data[0] or self._unparsed.peek(len(_CALLBACK_START))
        return start.startswith(_CALLBACK_START)

    def stop_reading(self) -> None:
        """Read no further request; the connection closes after the response to the open request, if any."""
        self.is_closing = True

    def receive_data(self, data: bytes) -> ParsedRequest | None:
        """Parse a portion of the input and return the request if that completes it. No request may be open.

        If `has_unparsed_input` then holds, another call without data continues.
        """
        self._unparsed.add(data)
        self.last_line_count = 0
        try:
            request = self._parse_next() if self._may_have_buffered_request else None
            if request is None and self._unparsed:
                self._http.receive_data(self._unparsed.take(self._missing_body_bytes))
                self.last_line_count = self._unparsed.last_line_count
                request = self._parse_next()
        except h11.RemoteProtocolError as error:
            return self._reject(InvalidRequest(HTTPStatus(error.error_status_hint), str(error)))
        self._may_have_buffered_request = request is not None and bool(self._http.trailing_data[0])
        return request

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
        self._head = RequestHead.from_event(head)
        if {b"content-length", b"transfer-encoding"} <= {name for name, _ in head.headers}:
            # With two lengths, servers may disagree on where the body ends, so that it could hide another
            # request (request smuggling, RFC 9112, section 11.2).
            return self._reject(_AMBIGUOUS_LENGTH)
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > MAX_BODY_BYTES:
            self.has_rejected_body = True
            return self._reject(_BODY_TOO_LARGE)
        self._missing_body_bytes = int(length)
        return None

    def _on_body_data(self, data: bytes) -> InvalidRequest | None:
        self._body += data
        self._missing_body_bytes = max(0, self._missing_body_bytes - len(data))
        if len(self._body) > MAX_BODY_BYTES:
            return self._reject(_BODY_TOO_LARGE)
        return None

    def _on_complete(self) -> ParsedRequest:
        request = self._route()
        if isinstance(request, InvalidRequest):
            return self._reject(request)
        self._record_method()
        self._head = None
        self._body = bytearray()
        self.has_open_request = True
        return request

    def _record_method(self) -> None:
        self._omits_response_body = self._head is not None and self._head.method == b"HEAD"

    def _reject(self, rejection: InvalidRequest) -> InvalidRequest:
        self.has_open_request = True
        self._record_method()
        # Closing the connection makes it costlier for clients to repeat invalid requests.
        self.stop_reading()
        # h11 quotes up to 16 KiB of input that it can't parse, which is too much to log and to send.
        return InvalidRequest(rejection.status, rejection.reason[:_MAX_REASON_LENGTH])

    def _route(self) -> ParsedRequest:
        head = self._head
        assert head is not None
        method = head.method
        path = head.path
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
        """Encode a 100 Continue response if the client waits for one before sending its body."""
        if self._http.they_are_waiting_for_100_continue and not self.is_closing:
            return self._http.send(_CONTINUE) or b""
        return b""

    def encode_response(self, response: Response) -> bytes:
        """Encode the response to the open request, and get ready to receive the next one.

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
        # After a framing error h11 encodes a response although it has parsed no request.
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
