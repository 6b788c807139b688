"""HTTP/1.1 on the client's side of a connection, as a state machine: bytes in, requests and bytes out.

Knows no socket and no clock. Executors' call-backs and readiness checks arrive here too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from burlmoor.downstream.job_headers import InvalidHeaderError, parse_job_submission
from burlmoor.downstream.requests import InvalidRequest, JobCallback, ParsedRequest, ReadinessCheck
from burlmoor.engine.deferral import InvalidConditionError
from burlmoor.errors import BurlmoorError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burlmoor.downstream.interfaces import RunConditionParser

MAX_BODY_BYTES = 64 * 1024
READY_PATH = "/health/ready"
CALLBACK_PATH = "/v1/job-events"
_MAX_HEAD_BYTES = 16384
_MAX_REASON_LENGTH = 100
_STATUS_NO_CONTENT = 204
_NO_CONTENT = h11.Response(status_code=_STATUS_NO_CONTENT, headers=[])
_NO_CONTENT_AND_CLOSE = h11.Response(status_code=_STATUS_NO_CONTENT, headers=[("Connection", "close")])
_END_OF_MESSAGE = h11.EndOfMessage()


class NoOpenRequestError(BurlmoorError, RuntimeError):
    """A response was given where there is no open request: a fault of the caller."""


class HttpServerConnection:
    """Owns the HTTP state of one accepted connection. One request at a time; the rest waits unread."""

    def __init__(
        self,
        classes: Iterable[str],
        parse_conditions: RunConditionParser | None = None,
        classes_requiring_key: Iterable[str] = (),
    ) -> None:
        self._classes = frozenset(classes)
        self._classes_requiring_key = frozenset(classes_requiring_key)
        self._parse_conditions = parse_conditions
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._has_open_request = False
        self._omits_response_body = False  # HEAD: the length of a body that is not sent
        self.is_closing = False  # nothing more is read from this connection
        self.has_rejected_body = False  # whether a body was rejected for its announced length

    @property
    def has_open_request(self) -> bool:
        """Whether a request has come and has no response yet."""
        return self._has_open_request

    @property
    def may_have_unread_input(self) -> bool:
        """Whether there is, or may still come, what is not read here."""
        has_ended = self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return not has_ended or bool(self._http.trailing_data[0])

    @property
    def is_idle(self) -> bool:
        """Whether the connection lies between requests with nothing begun."""
        return not self._has_open_request and self._head is None and not self._http.trailing_data[0]

    def receive_data(self, data: bytes) -> ParsedRequest | None:
        """Take in bytes; return the request once it is complete. Not to be called with a request open."""
        try:
            if data:
                self._http.receive_data(data)
            return self._parse_next()
        except h11.RemoteProtocolError as error:
            return self._reject(error.error_status_hint, str(error))

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
            # Without this, the body might hide another request where two lengths are given (rule 2).
            return self._reject(400, "both Content-Length and Transfer-Encoding")
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > MAX_BODY_BYTES:
            self.has_rejected_body = True
            return self._reject(413, "the body is over 64 KiB")
        return None

    def _on_body_data(self, data: bytes) -> InvalidRequest | None:
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            return self._reject(413, "the body is over 64 KiB")
        return None

    def _on_complete(self) -> ParsedRequest:
        request = self._route()
        if isinstance(request, InvalidRequest):
            return self._reject(request.status, request.reason)
        self._note_method()
        self._head = None
        self._body = bytearray()
        self._has_open_request = True
        return request

    def _note_method(self) -> None:
        self._omits_response_body = self._head is not None and self._head.method == b"HEAD"

    def _reject(self, status: int, reason: str) -> InvalidRequest:
        self._has_open_request = True
        self._note_method()
        # Without this, clients would stay, or send the same again at once: so each costs them a connection.
        self.is_closing = True
        # h11 quotes what it could not read, up to 16 KiB of it: that is for neither the log nor the answer.
        return InvalidRequest(status, reason[:_MAX_REASON_LENGTH])

    def _route(self) -> ParsedRequest:
        head = self._head
        assert head is not None
        method = head.method
        path = head.target.split(b"?", 1)[0].decode("ascii", "replace")
        if path == READY_PATH:
            return ReadinessCheck() if method == b"GET" else InvalidRequest(405, "GET only")
        if path == CALLBACK_PATH:
            return JobCallback(bytes(self._body)) if method == b"POST" else InvalidRequest(405, "POST only")
        parts = path.split("/")
        if len(parts) == 1 or parts[0] or parts[1] not in self._classes:
            return InvalidRequest(404, "no such class")
        if method != b"POST":
            return InvalidRequest(405, "POST only")
        try:
            return parse_job_submission(
                head, parts, bytes(self._body), self._classes_requiring_key, self._parse_conditions
            )
        except (InvalidHeaderError, InvalidConditionError) as error:
            return InvalidRequest(400, str(error))

    def encode_continue_response(self) -> bytes:
        """Encode the interim response that a client waits for before it sends its body, if one does."""
        if self._http.they_are_waiting_for_100_continue and not self.is_closing:
            return self._http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
        return b""

    def encode_response(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> bytes:
        """Encode the response to the open request; afterwards the next request may come."""
        if not self._has_open_request:
            raise NoOpenRequestError
        if status == _STATUS_NO_CONTENT:
            head = _NO_CONTENT_AND_CLOSE if self.is_closing else _NO_CONTENT
        else:
            fields = [*headers, ("Content-Length", str(len(body)))]
            if self.is_closing:
                fields.append(("Connection", "close"))
            head = h11.Response(status_code=status, headers=fields)
        # After a framing error h11 has no request to pair the response with, yet still sends it.
        data = self._http.send(head) or b""
        if body and not self._omits_response_body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(_END_OF_MESSAGE) or b""
        self._has_open_request = False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE and not self.is_closing:
            self._http.start_next_cycle()
        else:
            self.is_closing = True
        return data
