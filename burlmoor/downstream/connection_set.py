"""The accepted connections of this process, within their limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.downstream.eviction import (
    select_for_eviction,
    select_surplus_idle,
    select_timed_out,
    select_used_idle,
)
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    from burlmoor.downstream.eviction import TrackedConnection

_FULL_RETRY_SECONDS = 0.05  # before eviction is tried again on a full set, unless a connection ends first
# Connections reserved for call-backs, which waiting clients may not use: one in so many, and a minimum.
_CONNECTIONS_PER_RESERVED = 8
_MIN_RESERVED = 4


class ConnectionSet:
    """Owns the open connections, their limit, and the number of clients that wait for an answer."""

    def __init__(self, max_connections: int) -> None:
        self._connections: set[TrackedConnection] = set()
        self._max_connections = max_connections
        self._waiting_client_count = 0
        self._connection_ended = trio.Event()

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def max_connections(self) -> int:
        """How many connections may be open."""
        return self._max_connections

    def set_max_connections(self, max_connections: int) -> None:
        """Change how many connections may be open; those that are open now stay."""
        self._max_connections = max_connections

    @property
    def is_full(self) -> bool:
        """Whether the connection limit is reached."""
        return len(self._connections) >= self._max_connections

    @property
    def has_unsent(self) -> bool:
        """Whether part of a response still waits to be written on some connection."""
        return any(connection.has_unsent for connection in self._connections)

    @property
    def has_partial_requests(self) -> bool:
        """Whether part of a request has arrived on some connection."""
        return any(connection.has_partial_request for connection in self._connections)

    # --- open connections -----------------------------------------------------------------------

    def add(self, connection: TrackedConnection) -> None:
        """Add a connection that was accepted, here or by this process's predecessor."""
        self._connections.add(connection)

    def discard(self, connection: TrackedConnection) -> None:
        """Stop counting a connection that is passed on or about to be closed."""
        self._connections.discard(connection)

    def on_connection_ended(self, connection: TrackedConnection) -> None:
        """Remove a connection whose task has ended."""
        self._connections.discard(connection)
        self._connection_ended.set()

    async def wait_for_capacity(self) -> None:
        """Wait until a connection ends, for a limited time, since one may have become evictable by then."""
        self._connection_ended = trio.Event()
        with trio.move_on_after(_FULL_RETRY_SECONDS):
            await self._connection_ended.wait()

    def pass_idle_to_successor(self) -> None:
        """Pass every idle connection to the process that has taken over."""
        for connection in list(self._connections):
            connection.pass_to_successor()

    # --- waiting clients ------------------------------------------------------------------------

    def has_capacity_for_client(self) -> bool:
        """Return whether one more client may wait for an answer.

        Without this, waiting clients could use all connections: with none left for the call-backs that
        answer them, all would wait until their deadlines.
        """
        reserved = max(_MIN_RESERVED, self._max_connections // _CONNECTIONS_PER_RESERVED)
        return self._waiting_client_count < self._max_connections - reserved

    def on_client_waiting(self) -> None:
        """Count a client whose job has been admitted."""
        self._waiting_client_count += 1

    def on_client_gone(self) -> None:
        """Stop counting a client that has its answer, or has disconnected."""
        self._waiting_client_count -= 1

    # --- closing --------------------------------------------------------------------------------

    def evict_one(self) -> bool:
        """Close one connection to make room: first unused, then idle, then stalled ones.

        Returns False if none may be closed.
        """
        connection = select_for_eviction(self._connections, trio.current_time())
        if connection is None:
            return False
        connection.close_soon(CloseReason.MADE_ROOM)
        self._connections.discard(connection)
        return True

    def close_idle(self) -> None:
        """Close every connection that has been used and is idle.

        An unused one stays: it may be the connection of a call-back whose first byte has not arrived yet.
        """
        for connection in select_used_idle(self._connections):
            connection.close_soon(CloseReason.SHUTDOWN)

    def close_expired(self, now: float) -> None:
        """Close the connections past a time limit, and the idle ones above their share."""
        for connection in select_timed_out(self._connections, now):
            connection.close_soon(CloseReason.TIMED_OUT)
        surplus = select_surplus_idle(
            self._connections, self._waiting_client_count, self._max_connections, now
        )
        for connection in surplus:
            connection.close_soon(CloseReason.IDLE)
