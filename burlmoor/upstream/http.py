"""A target's side of a connection as a state machine over h11; discovery's connections use it too.

Knows no socket and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import h11

_END = h11.EndOfMessage()


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class BrokenResponseError(Exception):
    """The connection ended or lost its framing before the answer was whole."""


class HttpClientConnection:
    """Owns the HTTP state of one connection to a target: one request, then its answer, then the next."""

    def __init__(self, host: str, reply_limit: int) -> None:
        self._host, self._limit = host, reply_limit
        self._http = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        self._body = bytearray()

    def request(
        self, method: bytes, path: bytes, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
    ) -> bytes:
        """The bytes of a request."""
        self._head, self._body = None, bytearray()
        fields = [("Host", self._host), *headers]
        if body or method == b"POST":
            fields.append(("Content-Length", str(len(body))))
        data = self._http.send(h11.Request(method=method, target=path, headers=fields)) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(_END) or b"")

    def receive(self, data: bytes) -> Response | None:
        """Take in bytes (none: the connection has ended); the answer once it is whole."""
        try:
            self._http.receive_data(data)
            return self._next()
        except h11.RemoteProtocolError as error:
            raise BrokenResponseError(str(error)) from error

    def _next(self) -> Response | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._limit:
                    raise BrokenResponseError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                return Response(self._head.status_code, dict(self._head.headers), bytes(self._body))
            elif isinstance(event, h11.ConnectionClosed):
                raise BrokenResponseError("the connection has ended")
            elif not isinstance(event, h11.InformationalResponse):
                return None

    def reusable(self) -> bool:
        """Make ready for another request; False where the connection can carry none."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return not self._http.trailing_data[0]
        return False
