"""The client's side of a connection as a state machine: bytes in, what they ask for and bytes out.

Knows no socket and no clock. Executors' call-backs and health checks arrive here too.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import h11

from burlmoor.engine.deferral import InvalidConditionError, RunConditions
from burlmoor.types.events import JobRequest

BODY_LIMIT = 64 * 1024
READY_PATH = "/health/ready"
CALLBACK_PATH = "/v1/job-events"
REQUEST_ID = re.compile(r"[0-9A-Za-z._~-]{1,64}")
_FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_WHOLE = re.compile(r"[0-9]{1,9}")
_REASON = 100  # characters of it
_MOST_SLOTS = 64.0  # no executor has as many
_NO_CONTENT = h11.Response(status_code=204, headers=[])
_CLOSE_NO_CONTENT = h11.Response(status_code=204, headers=[("Connection", "close")])
_END = h11.EndOfMessage()
# Printable, and short enough to be kept for every job: no publication bounds a key's length.
_IDEMPOTENCY_KEY = re.compile(r"[\x20-\x7e]{1,255}")
_SINGLE = frozenset(
    (b"request-id", b"request-timeout-ms", b"tenant", b"work-hint", b"client-retry", b"idempotency-key")
)


@dataclass(frozen=True, slots=True)
class Payload:
    """What is passed on to a target unchanged."""

    method: bytes
    path: bytes
    body: bytes
    idempotency_key: str = ""  # by which executors know a repeat


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """A client submits a job."""

    request_id: str
    request: JobRequest
    payload: Payload
    conditions: RunConditions | None = None


@dataclass(frozen=True, slots=True)
class JobCallback:
    """An executor tells of a forward."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """The front asks whether this node takes jobs."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """Not a request that can be taken; `status` says why."""

    status: int
    reason: str


ParsedRequest = JobSubmission | JobCallback | ReadinessCheck | InvalidRequest
# What a request's headers ask its job to wait for, given its id and the bytes of its body.
ReadConditions = Callable[[Sequence[tuple[bytes, bytes]], str, int], RunConditions | None]


class _BadHeader(Exception):
    pass


class HttpServerConnection:
    """Owns the HTTP state of one accepted connection. One request at a time; the rest waits unread."""

    def __init__(
        self, classes: Iterable[str], conditions: ReadConditions | None = None, keyed: Iterable[str] = ()
    ) -> None:
        self._classes, self._keyed = frozenset(classes), frozenset(keyed)
        self._conditions = conditions
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=16384)
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._asked = False
        self._bodyless = False  # an answer to HEAD tells the length of a body that it does not carry
        self.closing = False  # nothing more is read from this connection
        self.refused_body = False  # whether a body was refused from its head

    @property
    def busy(self) -> bool:
        """Whether a request has been asked and not answered."""
        return self._asked

    @property
    def unread(self) -> bool:
        """Whether there is, or may still come, what is not read here."""
        ended = self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return not ended or bool(self._http.trailing_data[0])

    @property
    def idle(self) -> bool:
        """Whether the connection lies between requests with nothing begun."""
        return not self._asked and self._head is None and not self._http.trailing_data[0]

    def receive(self, data: bytes) -> ParsedRequest | None:
        """Take in bytes; what they ask for, once that is whole. Not to be called while busy."""
        try:
            if data:
                self._http.receive_data(data)
            return self._next()
        except h11.RemoteProtocolError as error:
            return self._reject(error.error_status_hint, str(error))

    def _next(self) -> ParsedRequest | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._head = event
                if {b"content-length", b"transfer-encoding"} <= {name for name, _ in event.headers}:
                    # Guards rule 2: where two lengths are given, the body may hide another request.
                    return self._reject(400, "both Content-Length and Transfer-Encoding")
                length = next((value for name, value in event.headers if name == b"content-length"), b"0")
                if int(length) > BODY_LIMIT:
                    self.refused_body = True
                    return self._reject(413, "the body is over 64 KiB")
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > BODY_LIMIT:
                    return self._reject(413, "the body is over 64 KiB")
            elif isinstance(event, h11.EndOfMessage):
                asked = self._route()
                if isinstance(asked, InvalidRequest):
                    return self._reject(asked.status, asked.reason)
                self._note_method()
                self._head, self._body = None, bytearray()
                self._asked = True
                return asked
            else:
                return None

    def continue_wanted(self) -> bytes:
        """The interim answer that a client waits for before it sends its body, if one does."""
        if self._http.they_are_waiting_for_100_continue and not self.closing:
            return self._http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
        return b""

    def _note_method(self) -> None:
        self._bodyless = self._head is not None and self._head.method == b"HEAD"

    def _reject(self, status: int, reason: str) -> InvalidRequest:
        self._asked = True
        self._note_method()
        # Guards against clients that stay, or send the same again at once: each costs them a connection.
        self.closing = True
        # h11 quotes what it could not read, up to 16 KiB of it: that is for neither the log nor the answer.
        return InvalidRequest(status, reason[:_REASON])

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
        if len(parts) < 2 or parts[0] or parts[1] not in self._classes:
            return InvalidRequest(404, "no such class")
        if method != b"POST":
            return InvalidRequest(405, "POST only")
        try:
            return self._job(head, parts)
        except (_BadHeader, InvalidConditionError) as error:
            return InvalidRequest(400, str(error))

    def _job(self, head: h11.Request, parts: list[str]) -> JobSubmission:
        given: dict[bytes, str] = {}
        for name, value in head.headers:
            if name in _SINGLE and name in given:
                raise _BadHeader(f"{name.decode()} is given twice")
            given[name] = value.decode("latin-1")
        request_id = given.get(b"request-id", "")
        if not REQUEST_ID.fullmatch(request_id):
            raise _BadHeader("Request-Id is missing or malformed")
        patience = _whole(given, b"request-timeout-ms")
        if patience <= 0:
            raise _BadHeader("Request-Timeout-Ms is missing or not a positive whole number")
        extras = _extras(given.get(b"request-info", ""))
        if not 0.0 < extras.get("slots", 1.0) <= _MOST_SLOTS:
            # Guards what is learnt of executors: the module would count so many slots as held there.
            raise _BadHeader("Request-Info: slots cannot be meant")
        key = given.get(b"idempotency-key")
        if key is None and parts[1] in self._keyed:
            # Guards rule 2: executors could not know a repeat of it.
            raise _BadHeader("Idempotency-Key is missing")
        if key is not None and not _IDEMPOTENCY_KEY.fullmatch(key):
            raise _BadHeader("Idempotency-Key is empty, too long or not printable")
        request = JobRequest(
            id=0,
            job_class=parts[1],
            timeout_ms=float(patience),
            work_ms=max(0, _whole(given, b"work-hint")) / 1000.0,
            slots=extras.get("slots", 1.0),
            memory=extras.get("memory", 0.0),
            tenant=given.get(b"tenant", ""),
            affinity_key=parts[-1] if len(parts) > 2 else "",
            is_client_retry=given.get(b"client-retry", "") == "1",
        )
        payload = Payload(head.method, head.target, bytes(self._body), key or "")
        read = self._conditions
        conditions = read(head.headers, request_id, len(payload.body)) if read is not None else None
        return JobSubmission(request_id, request, payload, conditions)

    def answer(self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()) -> bytes:
        """The bytes of the answer to what was asked; afterwards the next request may come."""
        if not self._asked:
            raise RuntimeError("nothing was asked")
        if status == 204:
            head = _CLOSE_NO_CONTENT if self.closing else _NO_CONTENT
        else:
            fields = [*headers, ("Content-Length", str(len(body)))]
            if self.closing:
                fields.append(("Connection", "close"))
            head = h11.Response(status_code=status, headers=fields)
        # After a framing error h11 has no request to pair the answer with, yet still sends it.
        data = self._http.send(head) or b""
        if body and not self._bodyless:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(_END) or b""
        self._asked = False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE and not self.closing:
            self._http.start_next_cycle()
        else:
            self.closing = True
        return data


def _whole(given: dict[bytes, str], name: bytes) -> int:
    text = given.get(name)
    if text is None:
        return -1
    if not _WHOLE.fullmatch(text):
        raise _BadHeader(f"{name.decode()} is not a whole number")
    return int(text)


def _extras(text: str) -> dict[str, float]:
    figures: dict[str, float] = {}
    for part in text.split(",") if text else ():
        name, _, value = part.partition("=")
        # Guards the module: 'nan' and 'inf' are floats to Python, and would never fit anywhere.
        value = value.strip(" ")
        if not _FIGURE.fullmatch(value):
            raise _BadHeader("Request-Info is not name=value,name=value")
        figures[name.strip(" ")] = float(value)
    return figures
