"""The downstream server: accepts connections, keeps them within the node's limits, and sweeps them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.downstream.connection import DownstreamConnection
from burlmoor.downstream.drain import DrainController, ServiceState
from burlmoor.downstream.eviction import (
    select_for_eviction,
    select_surplus_idle,
    select_timed_out,
    select_used_idle,
)
from burlmoor.downstream.request_handler import RequestHandler
from burlmoor.log_events import ConnectionFailed, DescriptorsExhausted
from burlmoor.transport.sockets import accept
from burlmoor.types.reasons import CloseReason
from burlmoor.types.settings import Idempotency

if TYPE_CHECKING:
    import socket
    from collections.abc import Sequence

    from burlmoor.downstream.interfaces import (
        CallbackForwarder,
        DrainObserver,
        RunConditionParser,
        SuccessorProcess,
    )
    from burlmoor.engine.core import EngineCore
    from burlmoor.engine.deferral import RunConditions
    from burlmoor.engine.engine import Engine
    from burlmoor.log import EventLogger

_SWEEP_INTERVAL_SECONDS = 0.2
_CAPACITY_RETRY_SECONDS = 0.05  # after which a full server looks again, unless a connection has ended before
# Connections that waiting clients leave to call-backs: one in so many, at least so many.
_CALLBACK_SHARE = 8
_MIN_FOR_CALLBACKS = 4


class DownstreamServer:
    """Owns the listening socket and every accepted connection, at most `max_connections` of them."""

    def __init__(
        self,
        core: EngineCore,
        engine: Engine,
        classes: list[str],
        listener: socket.socket,
        max_connections: int,
        drain: DrainController,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self.core = core
        self.engine = engine
        self.classes = classes
        self.classes_requiring_key = [
            each.name for each in core.settings.classes if each.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        ]
        self.max_connections = max_connections
        self.drain = drain
        self.nursery = nursery
        self.log = log
        self.request_handler = RequestHandler(self)
        self.connections: set[DownstreamConnection] = set()
        self.waiting_client_count = 0  # clients that wait for their job's answer
        # Set while jobs may be deferred.
        self.parse_conditions: RunConditionParser | None = None
        self.on_draining: DrainObserver | None = None
        # Set by `attach_successor` and `attach_callback_forwarder`.
        self.successor: SuccessorProcess | None = None
        self.callback_forwarder: CallbackForwarder | None = None
        self._connection_closed = trio.Event()
        self._listener = listener

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return str(host), int(port)

    # --- the node's other processes -------------------------------------------------------------

    def attach_successor(self, successor: SuccessorProcess | None) -> None:
        """Pass connections that lie between requests to this process from now on; None: to none."""
        self.successor = successor

    def attach_callback_forwarder(self, forwarder: CallbackForwarder | None) -> None:
        """Forward call-backs for unknown jobs there from now on; None: answer them here."""
        self.callback_forwarder = forwarder

    def pass_idle_to_successor(self) -> None:
        """Pass every connection that lies between requests to the process that has taken over."""
        for connection in list(self.connections):
            connection.pass_to_successor()

    # --- accepting ------------------------------------------------------------------------------

    async def run(self) -> None:
        """Accept until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._listener)
            if len(self.connections) >= self.max_connections and not self._evict_one():
                # Without this, the node would exceed its limit on sockets: the rest waits in the backlog
                # until a connection ends.
                self._connection_closed = trio.Event()
                with trio.move_on_after(_CAPACITY_RETRY_SECONDS):
                    await self._connection_closed.wait()
                continue
            sock = await accept(self._listener, self._on_descriptors_exhausted)
            if sock is not None:
                self.adopt(sock)

    def _on_descriptors_exhausted(self, error: OSError) -> None:
        self.log(DescriptorsExhausted(error=str(error)))
        self._evict_one()

    def adopt(self, sock: socket.socket, has_been_used: bool = False, age_seconds: float = 0.0) -> None:
        """Serve a connection that was accepted here, or by this process's predecessor."""
        try:
            connection = DownstreamConnection(self, sock, has_been_used, age_seconds)
        except OSError:
            sock.close()
            return
        try:
            if connection.serve_without_task():
                return
        except Exception as error:  # noqa: BLE001
            # Without this, one connection's fault would end the task that accepts all others.
            self.log(ConnectionFailed(error=repr(error)))
            connection.note_close(CloseReason.ERROR)
            connection.close_now()
            return
        self.connections.add(connection)
        self.nursery.start_soon(self._run_connection, connection)

    async def _run_connection(self, connection: DownstreamConnection) -> None:
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
            self._connection_closed.set()

    def _evict_one(self) -> bool:
        """Close a connection to make room: silent ones go first, then idle, then stalled, the longest so."""
        connection = select_for_eviction(self.connections, trio.current_time())
        if connection is None:
            return False
        connection.close_soon(CloseReason.MADE_ROOM)
        self.connections.discard(connection)
        return True

    # --- what connections and shutdown ask ------------------------------------------------------

    def read_run_conditions(
        self, headers: Sequence[tuple[bytes, bytes]], request_id: str, body_bytes: int
    ) -> RunConditions | None:
        """Parse what a request's headers say of when its job may run; None where jobs may not be deferred."""
        if self.parse_conditions is None:
            return None
        return self.parse_conditions(headers, request_id, body_bytes)

    def has_capacity(self) -> bool:
        """Whether one more job may be admitted.

        Without this, waiting clients could take every connection: with none left for the call-backs that
        answer them, all would wait until their deadlines.
        """
        if self.drain.state >= ServiceState.REJECTING:
            return False
        for_callbacks = max(_MIN_FOR_CALLBACKS, self.max_connections // _CALLBACK_SHARE)
        return self.waiting_client_count < self.max_connections - for_callbacks

    @property
    def has_unsent(self) -> bool:
        """Whether part of a response still waits to be written on some connection."""
        return any(connection.has_unsent for connection in self.connections)

    @property
    def has_partial_requests(self) -> bool:
        """Whether part of a request has come on some connection."""
        return any(connection.has_partial_request for connection in self.connections)

    @property
    def is_ready(self) -> bool:
        """The answer to readiness checks.

        Without the first case, the answer would be no while another process of this node takes clients:
        those that check would leave the node out for seconds.
        """
        if self.successor is not None:
            return not self.drain.is_drained
        return self.drain.state is ServiceState.ACCEPTING

    # --- closing --------------------------------------------------------------------------------

    async def sweep(self) -> None:
        """Close, again and again, what is silent or stalled, in time for its peer to notice."""
        while True:
            await trio.sleep(_SWEEP_INTERVAL_SECONDS)
            self._sweep_once(trio.current_time())

    def _sweep_once(self, now: float) -> None:
        is_closing = self.drain.state >= ServiceState.CLOSING
        if self.on_draining is not None:
            self.on_draining(is_closing)
        if is_closing:
            self.close_idle()
        for connection in select_timed_out(self.connections, now):
            connection.close_soon(CloseReason.TIMED_OUT)
        surplus = select_surplus_idle(self.connections, self.waiting_client_count, self.max_connections, now)
        for connection in surplus:
            connection.close_soon(CloseReason.IDLE)

    def close_idle(self) -> None:
        """Close every connection that lies idle after use.

        One that has not been used stays: a call-back may be lost whose connection has come, but not yet its
        first byte.
        """
        for connection in select_used_idle(self.connections):
            connection.close_soon(CloseReason.SHUTDOWN)
