"""The HTTP state machine of one admin connection, which carries a single request. No I/O."""

from __future__ import annotations

from http import HTTPStatus

import h11
import msgspec

from burlmoor.admin.requests import AdminPath, AdminRequest, AdminResponse, reject

MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 4096


class _ExecutorBody(msgspec.Struct):
    name: str


_EXECUTOR_DECODER = msgspec.json.Decoder(_ExecutorBody)


class AdminConnection:
    """Owns the HTTP state of one connection. No I/O, no clock."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Request | None = None
        self._body = bytearray()

    def receive(self, data: bytes) -> AdminRequest | AdminResponse | None:
        """Parse received bytes; return the request once it is complete, or the response that rejects it."""
        try:
            self._http.receive_data(data)
            return self._parse_events()
        except h11.RemoteProtocolError as error:
            return reject(HTTPStatus(error.error_status_hint), f"invalid HTTP request: {error}")

    def _parse_events(self) -> AdminRequest | AdminResponse | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    return reject(
                        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body larger than {MAX_BODY_BYTES} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                return self._parse_request(self._head)
            else:
                return None

    def _parse_request(self, head: h11.Request) -> AdminRequest | AdminResponse:
        try:
            path = AdminPath(head.target.split(b"?", 1)[0].decode("ascii", "replace"))
        except ValueError:
            return reject(HTTPStatus.NOT_FOUND, f"unknown path; allowed: {', '.join(AdminPath)}")
        if head.method != path.method:
            return reject(HTTPStatus.METHOD_NOT_ALLOWED, f"{path.method.decode()} only")
        if not path.names_executor:
            return AdminRequest(path)
        try:
            return AdminRequest(path, _EXECUTOR_DECODER.decode(self._body).name)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return reject(HTTPStatus.BAD_REQUEST, 'invalid body; expected {"name": EXECUTOR}')

    def encode_response(self, response: AdminResponse) -> bytes:
        """Encode a response, with headers that announce the close of the connection."""
        body = msgspec.json.encode(response.body) + b"\n"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        data = self._http.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if self._head is None or self._head.method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        return data
