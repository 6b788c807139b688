"""The admin server: one request per connection, with limits on time, memory and connections."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from burlmoor.admin.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, AdminConnection
from burlmoor.admin.requests import AdminHandler, AdminRequest, AdminResponse, reject
from burlmoor.log_events import AdminConnectionFailed, DescriptorsExhausted
from burlmoor.transport.address import SocketAddress
from burlmoor.transport.sockets import accept, open_listening_socket
from burlmoor.transport.stream import SocketStream

if TYPE_CHECKING:
    import socket

    from burlmoor.log import EventLogger

_MAX_RESPONSE_BYTES = 1 << 20  # enough to list every executor as disabled; memory is allocated on demand
_REQUEST_TIMEOUT_SECONDS = 0.7  # for a request to arrive; its response is due within 1 s
_LINGER_SECONDS = 0.1  # for a response to reach a client that is still sending
_MAX_CONNECTIONS = 12  # concurrent; a further one closes the oldest


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
            stream = SocketStream(sock, MAX_HEAD_BYTES + MAX_BODY_BYTES, _MAX_RESPONSE_BYTES)
        except OSError:
            sock.close()
            return
        if len(self._connections) >= _MAX_CONNECTIONS:
            # Otherwise idle clients would keep operators from connecting.
            oldest = next(iter(self._connections))
            self._connections.pop(oldest).cancel()
        scope = trio.CancelScope()
        self._connections[stream] = scope
        self._nursery.start_soon(self._serve_connection, stream, scope)

    async def _serve_connection(self, stream: SocketStream, scope: trio.CancelScope) -> None:
        try:
            with scope:
                await self._serve_request(stream)
        except (OSError, BufferError):
            pass  # the client has disconnected
        except Exception as error:  # noqa: BLE001
            # The outermost handler of the connection's task: an error in one request must not end the node.
            self._log(AdminConnectionFailed(error=repr(error)))
        finally:
            self._connections.pop(stream, None)
            stream.close()

    async def _serve_request(self, stream: SocketStream) -> None:
        connection = AdminConnection()
        received: AdminRequest | AdminResponse | None = None
        with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
            while received is None:
                if not await stream.receive():
                    return
                received = connection.receive(stream.inbound.read_all())
        if received is None:
            received = reject(
                HTTPStatus.REQUEST_TIMEOUT, f"request not complete after {_REQUEST_TIMEOUT_SECONDS:g} s"
            )
        elif isinstance(received, AdminRequest):
            received = await self._handler.handle(received)
        stream.send(connection.encode_response(received))
        await self._finish(stream)

    async def _finish(self, stream: SocketStream) -> None:
        with trio.move_on_after(_LINGER_SECONDS):
            await stream.drain()
            # Closing while the client is still sending would cause a reset, which may discard the response.
            stream.shut_down_sending()
            await stream.discard_until_end(MAX_BODY_BYTES)
