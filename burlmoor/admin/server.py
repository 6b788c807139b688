"""The admin server: one call per connection, with bounded time, memory and connections."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from burlmoor.admin.http import BODY_LIMIT, HEAD_LIMIT, AdminConnection
from burlmoor.admin.requests import AdminHandler, AdminRequest, AdminResponse, reject
from burlmoor.log_events import AdminConnectionFailed, DescriptorsExhausted
from burlmoor.transport.address import SocketAddress
from burlmoor.transport.sockets import accept, open_listening_socket
from burlmoor.transport.stream import SocketStream

if TYPE_CHECKING:
    import socket

    from burlmoor.log import EventLogger

_RESPONSE_LIMIT = 1 << 20  # bytes: enough to list every executor as disabled; memory is allocated on demand
_REQUEST_TIMEOUT_SECONDS = 0.7  # for a call to arrive; its response is due within 1 s
_LINGER_SECONDS = 0.1  # for a response to reach a caller that is still sending
_MAX_CONNECTIONS = 12  # concurrent; beyond it the oldest one is closed


class AdminServer:
    """Owns the listening socket for operators and the open connections, at most `_MAX_CONNECTIONS`."""

    def __init__(
        self, handler: AdminHandler, listen: tuple[str, int], nursery: trio.Nursery, log: EventLogger
    ) -> None:
        self._handler = handler
        self._nursery = nursery
        self._log = log
        self._connections: dict[SocketStream, trio.CancelScope] = {}
        self._listener = open_listening_socket(listen)

    @property
    def address(self) -> SocketAddress:
        """The address on which the server listens."""
        host, port = self._listener.getsockname()
        return SocketAddress(str(host), int(port))

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._listener)
            sock = await accept(self._listener, self._on_descriptors_exhausted)
            if sock is not None:
                self._start_connection(sock)

    def _on_descriptors_exhausted(self, error: OSError) -> None:
        self._log(DescriptorsExhausted(error=str(error)))

    def _start_connection(self, sock: socket.socket) -> None:
        try:
            stream = SocketStream(sock, HEAD_LIMIT + BODY_LIMIT, _RESPONSE_LIMIT)
        except OSError:
            sock.close()
            return
        if len(self._connections) >= _MAX_CONNECTIONS:
            # Without this, idle callers would lock others out.
            oldest = next(iter(self._connections))
            self._connections.pop(oldest).cancel()
        scope = trio.CancelScope()
        self._connections[stream] = scope
        self._nursery.start_soon(self._serve_connection, stream, scope)

    async def _serve_connection(self, stream: SocketStream, scope: trio.CancelScope) -> None:
        try:
            with scope:
                await self._serve_call(stream)
        except (OSError, BufferError):
            pass  # the caller has disconnected
        except Exception as error:  # noqa: BLE001
            # The outermost handler of the connection's task: an error in one call must not end the node.
            self._log(AdminConnectionFailed(error=repr(error)))
        finally:
            self._connections.pop(stream, None)
            stream.close()

    async def _serve_call(self, stream: SocketStream) -> None:
        connection = AdminConnection()
        received: AdminRequest | AdminResponse | None = None
        with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
            while received is None:
                if not await stream.receive():
                    return
                received = connection.receive(stream.inbound.read_all())
        if received is None:
            received = reject(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
        elif isinstance(received, AdminRequest):
            received = await self._handler.handle(received)
        stream.send(connection.encode_response(received))
        await self._finish(stream)

    async def _finish(self, stream: SocketStream) -> None:
        with trio.move_on_after(_LINGER_SECONDS):
            await stream.drain()
            # Closing while the caller is still sending would cause a reset, which may discard the response.
            stream.shut_down_sending()
            await stream.discard_until_end(BODY_LIMIT)
