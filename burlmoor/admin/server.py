"""The operators' address: one call a connection, answered in time whatever the callers and the node do."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

import h11
import msgspec
import trio

from burlmoor.log import EventLogger
from burlmoor.transport.stream import SocketStream, accept, open_listener

_HEAD_LIMIT, _BODY_LIMIT = 4096, 4096
_ANSWER_LIMIT = 1 << 20  # every executor may be out by hand, and is named; memory is taken as it is needed
_CALL_LIMIT = 0.7  # seconds that a call may take to come in: its answer is due within 1 s
_LINGER = 0.1  # seconds for an answer to reach a caller that still writes
_PLACES = 12  # calls at a time; the one that came first makes room
_METHODS = {
    "/ready": b"GET",
    "/executors/disable": b"POST",
    "/executors/enable": b"POST",
    "/drain": b"POST",
    "/undrain": b"POST",
    "/waiting": b"GET",
}
NAMED = frozenset(("/executors/disable", "/executors/enable"))


class AdminRequest(NamedTuple):
    """A call that can be meant; `name` is the executor's, where the call has one."""

    path: str
    name: str = ""


class AdminResponse(NamedTuple):
    """What a caller is told."""

    status: int
    body: dict[str, Any]


class _Body(msgspec.Struct):
    name: str


_DECODER = msgspec.json.Decoder(_Body)


class AdminConnection:
    """Owns the HTTP state of one call. Knows no socket and no clock."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=_HEAD_LIMIT)
        self._head: h11.Request | None = None
        self._body = bytearray()

    def receive(self, data: bytes) -> AdminRequest | AdminResponse | None:
        """Take in bytes; the call once it is whole, or the answer that ends it."""
        try:
            self._http.receive_data(data)
            return self._next()
        except h11.RemoteProtocolError as error:
            return AdminResponse(error.error_status_hint, {"error": "not a call"})

    def _next(self) -> AdminRequest | AdminResponse | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > _BODY_LIMIT:
                    return AdminResponse(413, {"error": "the body is too long"})
            elif isinstance(event, h11.EndOfMessage):
                return self._call()
            else:
                return None

    def _call(self) -> AdminRequest | AdminResponse:
        assert self._head is not None
        path = self._head.target.split(b"?", 1)[0].decode("ascii", "replace")
        method = _METHODS.get(path)
        if method is None:
            return AdminResponse(404, {"error": "no such call"})
        if self._head.method != method:
            return AdminResponse(405, {"error": f"{method.decode()} only"})
        if path not in NAMED:
            return AdminRequest(path)
        try:
            return AdminRequest(path, _DECODER.decode(self._body).name)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return AdminResponse(400, {"error": 'the body is not {"name": "ID"}'})

    def encode_response(self, result: AdminResponse) -> bytes:
        """The bytes of the answer."""
        body = msgspec.json.encode(result.body) + b"\n"
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        head = h11.Response(status_code=result.status, headers=[*fields, ("Connection", "close")])
        data = self._http.send(head) or b""
        if self._head is None or self._head.method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        return data


class AdminHandler(Protocol):
    """What the operators' calls do."""

    async def handle(self, call: AdminRequest) -> AdminResponse:
        """Carry out a call; a no has changed nothing."""


class AdminServer:
    """Owns the operators' listening socket and the calls under way, at most `_PLACES` of them."""

    def __init__(
        self, operators: AdminHandler, listen: tuple[str, int], nursery: trio.Nursery, log: EventLogger
    ) -> None:
        self._operators, self._nursery, self._log = operators, nursery, log
        self._calls: dict[SocketStream, trio.CancelScope] = {}
        self._sock = open_listener(listen)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return str(host), int(port)

    async def run(self) -> None:
        """Accept until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            sock = await accept(self._sock, self._ran_out)
            if sock is None:
                continue
            try:
                stream = SocketStream(sock, _HEAD_LIMIT + _BODY_LIMIT, _ANSWER_LIMIT)
            except OSError:
                sock.close()
                continue
            if len(self._calls) >= _PLACES:
                # Guards against callers that stay: those who have had longest to say something go first.
                first = next(iter(self._calls))
                self._calls.pop(first).cancel()
            self._calls[stream] = scope = trio.CancelScope()
            self._nursery.start_soon(self._serve, stream, scope)

    def _ran_out(self, error: OSError) -> None:
        self._log("descriptors-exhausted", error=str(error))

    async def _serve(self, stream: SocketStream, scope: trio.CancelScope) -> None:
        try:
            with scope:
                await self._one_call(stream)
        except (OSError, BufferError):
            pass  # the caller is gone
        except Exception as error:
            # Guards against one call's fault ending the node.
            self._log("admin-connection-failed", error=repr(error))
        finally:
            self._calls.pop(stream, None)
            stream.close()

    async def _one_call(self, stream: SocketStream) -> None:
        http = AdminConnection()
        call: AdminRequest | AdminResponse | None = None
        with trio.move_on_after(_CALL_LIMIT):
            while call is None:
                if not await stream.receive():
                    return
                call = http.receive(stream.inbound.take())
        if isinstance(call, AdminRequest):
            call = await self._operators.handle(call)
        stream.send(
            http.encode_response(call or AdminResponse(408, {"error": "the call did not come in time"}))
        )
        with trio.move_on_after(_LINGER):
            await stream.drain()
            # Closing while the caller still writes would lose the answer in a reset.
            stream.end_sending()
            await stream.skip(_BODY_LIMIT)
