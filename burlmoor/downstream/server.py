"""The downstream server: accepts connections, serves them, and closes those past a time limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.downstream.accepted_socket import AcceptedSocket
from burlmoor.downstream.connection import DownstreamConnection
from burlmoor.downstream.connection_set import ConnectionSet
from burlmoor.downstream.drain import ServiceState
from burlmoor.downstream.excess_input import ExcessInputTurns
from burlmoor.downstream.job_headers import JobSubmissionParser
from burlmoor.downstream.peer_processes import PeerProcesses
from burlmoor.downstream.request_handler import RequestHandler
from burlmoor.log_events import DescriptorsExhausted
from burlmoor.transport.address import SocketAddress
from burlmoor.transport.sockets import LISTEN_BACKLOG, accept, accept_now
from burlmoor.types.settings import Idempotency

if TYPE_CHECKING:
    import socket

    from burlmoor.counters import EventCounters
    from burlmoor.downstream.drain import DrainController
    from burlmoor.downstream.interfaces import DrainObserver
    from burlmoor.engine.core import EngineCore
    from burlmoor.engine.engine import Engine
    from burlmoor.log import EventLogger

_SWEEP_INTERVAL_SECONDS = 0.2


class DownstreamServer:
    """Accepts connections from a listening socket and starts a task for each that needs one.

    - `connections`: the open connections
    - `peers`: the node's other processes, to which idle connections and call-backs are passed
    - `parser`: parses job submissions
    """

    def __init__(
        self,
        listener: socket.socket,
        connections: ConnectionSet,
        peers: PeerProcesses,
        parser: JobSubmissionParser,
        handler: RequestHandler,
        drain: DrainController,
        nursery: trio.Nursery,
        log: EventLogger,
        *,
        counters: EventCounters,
    ) -> None:
        self.connections = connections
        self.peers = peers
        self.parser = parser
        self._listener = listener
        self._handler = handler
        self._drain = drain
        self._nursery = nursery
        self._log = log
        self._counters = counters
        self._excess_input = ExcessInputTurns(counters)
        self._drain_observer: DrainObserver | None = None
        self._is_accepting = False
        self._is_closed = False  # the listening socket

    @property
    def address(self) -> SocketAddress:
        """The address that the server listens on."""
        host, port = self._listener.getsockname()
        return SocketAddress(str(host), int(port))

    def attach_drain_observer(self, observer: DrainObserver | None) -> None:
        """Notify this observer at each sweep from now on, or none if it is None."""
        self._drain_observer = observer

    async def run(self) -> None:
        """Accept connections until cancelled, or until the server is closed."""
        self._is_accepting = True
        try:
            while not self._is_closed:
                await self._accept_next()
        except trio.ClosedResourceError:
            return
        finally:
            self._is_accepting = False

    async def _accept_next(self) -> None:
        """Wait for a connection and accept it, once there is room for it.

        Raises:
            trio.ClosedResourceError: the server stops listening meanwhile.
        """
        await trio.lowlevel.wait_readable(self._listener)
        if self.connections.is_full and not self.connections.evict_one():
            # New connections wait in the backlog until one ends, to stay within the limit on sockets.
            await self.connections.wait_for_capacity()
            return
        sock = await accept(self._listener, self._on_descriptors_exhausted)
        if sock is not None:
            self.serve_connection(sock)

    def _on_descriptors_exhausted(self, error: OSError) -> None:
        self._log(DescriptorsExhausted(error=str(error)))
        self.connections.evict_one()

    def serve_connection(
        self, sock: socket.socket, *, has_been_used: bool = False, age_seconds: float = 0.0
    ) -> None:
        """Serve a connection that this process or its predecessor has accepted.

        `has_been_used` is whether a complete request has arrived on it, `age_seconds` the time since it was
        accepted.
        """
        try:
            accepted = AcceptedSocket(sock, self._nursery, self._log, self._counters, age_seconds=age_seconds)
        except OSError:
            sock.close()
            return
        connection = DownstreamConnection(
            accepted,
            self.parser,
            self._handler,
            self.connections,
            self.peers,
            self._drain,
            self._excess_input,
            self._nursery,
            has_been_used=has_been_used,
        )
        try:
            if connection.serve_without_task():
                return
        except Exception as error:  # noqa: BLE001
            # An uncaught error would end the task that accepts all connections.
            accepted.on_error(error)
            connection.close_now()
            return
        self.connections.add(connection)
        self._nursery.start_soon(self._run_connection, connection)

    async def _run_connection(self, connection: DownstreamConnection) -> None:
        try:
            await connection.run()
        finally:
            self.connections.on_connection_ended(connection)

    def stop_listening(self) -> None:
        """Accept what waits in the backlog, unless another process accepts, and stop listening."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._is_accepting:
            self._accept_pending()
        trio.lowlevel.notify_closing(self._listener)
        self._listener.close()

    def _accept_pending(self) -> None:
        """Accept the connections that wait in the backlog; close idle ones at the connection limit."""
        for _ in range(LISTEN_BACKLOG):
            if self.connections.is_full:
                self.connections.close_all_idle()
            if self.connections.is_full:
                return
            sock = accept_now(self._listener)
            if sock is None:
                return
            self.serve_connection(sock)

    def close(self) -> None:
        """Stop listening, and close all connections immediately."""
        self.stop_listening()
        self.connections.close_all()

    async def watch_waiting_connections(self) -> None:
        """End the connections whose clients disconnect while they wait for a turn, until cancelled."""
        await self._excess_input.run()

    async def sweep(self) -> None:
        """Periodically close the connections past a time limit, and idle ones while the node drains."""
        while True:
            await trio.sleep(_SWEEP_INTERVAL_SECONDS)
            await self._sweep_once(trio.current_time())

    async def _sweep_once(self, now: float) -> None:
        is_closing_connections = self._drain.state >= ServiceState.CLOSING
        if self._drain_observer is not None:
            self._drain_observer(is_closing_connections=is_closing_connections)
        if is_closing_connections:
            self.connections.close_idle()
        await self.connections.close_expired(now)


def build_downstream_server(
    core: EngineCore,
    engine: Engine,
    listener: socket.socket,
    max_connections: int,
    drain: DrainController,
    nursery: trio.Nursery,
    log: EventLogger,
) -> DownstreamServer:
    """Build the downstream server of a node, which accepts from `listener` once it runs."""
    classes = core.settings.classes
    parser = JobSubmissionParser(
        [each.name for each in classes],
        [each.name for each in classes if each.idempotency is Idempotency.IDEMPOTENT_WITH_KEY],
    )
    connections = ConnectionSet(max_connections, core.counters)
    peers = PeerProcesses()
    handler = RequestHandler(engine, core.jobs, core.lifecycle, connections, peers, drain, log)
    return DownstreamServer(
        listener, connections, peers, parser, handler, drain, nursery, log, counters=core.counters
    )
