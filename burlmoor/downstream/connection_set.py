"""Tracks the accepted connections of this process and enforces their limit."""

from __future__ import annotations

from functools import partial
from itertools import islice
from typing import TYPE_CHECKING

import trio

from burlmoor.counters import CounterGroup
from burlmoor.downstream.eviction import (
    eviction_rank,
    is_idle,
    is_timed_out,
    is_used_idle,
    may_be_surplus,
    select_surplus_idle,
    select_timed_out,
    select_used_idle,
)
from burlmoor.downstream.eviction_candidates import EvictionCandidates
from burlmoor.downstream.pass_limit import PassLimit
from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.counters import EventCounters
    from burlmoor.downstream.eviction import TrackedConnection

_MAX_READS_BEFORE_CLOSE = 3  # of a connection whose client keeps sending
_MAX_EVICTION_TRIES = 8  # for one new connection; input may be found on the connections to evict
_MAX_RANKED_CONNECTIONS = 1024  # at a time, which takes a few milliseconds
_EVICTION_RETRY_SECONDS = 0.05  # between attempts to evict while the set is full and no connection ends
# One in 8 connections, and at least 4, are reserved for call-backs: waiting clients may not use them.
_CONNECTIONS_PER_RESERVED = 8
_MIN_RESERVED_CONNECTIONS = 4


class ConnectionSet:
    """Holds the open connections, their limit, and the number of clients that wait for an answer."""

    def __init__(self, max_connections: int, counters: EventCounters) -> None:
        # The keys in the order in which they are ranked for eviction.
        self._connections: dict[TrackedConnection, None] = {}
        self._eviction_candidates = EvictionCandidates()
        self._max_connections = max_connections
        self._counters = counters
        self._waiting_client_count = 0
        self._connection_ended = trio.Event()

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def max_connections(self) -> int:
        """The maximum number of open connections."""
        return self._max_connections

    def set_max_connections(self, max_connections: int) -> None:
        """Change the maximum number of open connections; connections above it stay open."""
        self._max_connections = max_connections

    @property
    def is_full(self) -> bool:
        """Whether the connection limit is reached."""
        return len(self._connections) >= self._max_connections

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of a response is still to be written on any connection."""
        return any(connection.has_unsent_output for connection in self._connections)

    @property
    def has_partial_requests(self) -> bool:
        """Whether a request has arrived in part on any connection."""
        return any(connection.has_partial_request for connection in self._connections)

    def add(self, connection: TrackedConnection) -> None:
        """Add a connection that this process or its predecessor has accepted."""
        self._connections[connection] = None

    def discard(self, connection: TrackedConnection) -> None:
        """Remove a connection that has been passed to the successor or evicted."""
        self._connections.pop(connection, None)

    def on_connection_ended(self, connection: TrackedConnection) -> None:
        """Remove a connection whose task has ended, and wake `wait_for_capacity`."""
        self.discard(connection)
        self._connection_ended.set()

    async def wait_for_capacity(self) -> None:
        """Wait until a connection ends, or until it is time to try to evict one again."""
        self._connection_ended = trio.Event()
        with trio.move_on_after(_EVICTION_RETRY_SECONDS):
            await self._connection_ended.wait()

    def pass_idle_to_successor(self) -> None:
        """Pass every idle connection to the successor process, if there is one."""
        for connection in list(self._connections):
            connection.pass_to_successor()

    def has_capacity_for_client(self) -> bool:
        """Return whether one more client may wait for an answer.

        Some connections are reserved for call-backs. If waiting clients held all of them, no result could
        arrive, and every client would wait until its deadline.
        """
        reserved = max(_MIN_RESERVED_CONNECTIONS, self._max_connections // _CONNECTIONS_PER_RESERVED)
        return self._waiting_client_count < self._max_connections - reserved

    def on_client_waiting(self) -> None:
        """Count a client that waits for the answer of an admitted job."""
        self._waiting_client_count += 1

    def on_client_wait_ended(self) -> None:
        """Stop counting a client that has been answered or has disconnected."""
        self._waiting_client_count -= 1

    def evict_one(self) -> bool:
        """Close one connection to make room: an unused one, else an idle one, else a stalled one.

        Returns False if none may be closed, or if input was found on all that were tried.
        """
        now = trio.current_time()
        if self._eviction_candidates.is_ranking_due(now):
            self._eviction_candidates.rank(self._take_to_rank(), now)
        for _ in range(_MAX_EVICTION_TRIES):
            connection = self._eviction_candidates.take_next(self._connections, now)
            if connection is None:
                return False
            if self._close_if(partial(_may_evict, now=now), connection, CloseReason.MADE_ROOM):
                self.discard(connection)
                return True
        return False

    def _take_to_rank(self) -> list[TrackedConnection]:
        """Return the connections that were ranked least recently, and move them to the end."""
        connections = list(islice(self._connections, _MAX_RANKED_CONNECTIONS))
        if len(connections) < len(self._connections):
            for connection in connections:
                del self._connections[connection]
                self._connections[connection] = None
        return connections

    def close_idle(self) -> None:
        """Close every connection that has been used and is idle.

        Unused ones stay open, since a call-back may be about to arrive on them.
        """
        for connection in select_used_idle(self._connections):
            self._close_if(is_used_idle, connection, CloseReason.SHUTDOWN)

    async def read_pending_input(self) -> None:
        """Handle the input that has arrived on any connection but was not read yet."""
        pass_limit = PassLimit()
        for connection in list(self._connections):
            connection.read_pending_input()
            await pass_limit.checkpoint()

    def close_all_idle(self) -> None:
        """Close every idle connection, whether or not it has been used, to make room."""
        for connection in [each for each in self._connections if each.is_idle]:
            if self._close_if(is_idle, connection, CloseReason.SHUTDOWN):
                self.discard(connection)

    def _close_if(
        self,
        is_due: Callable[[TrackedConnection], bool],
        connection: TrackedConnection,
        reason: CloseReason,
    ) -> bool:
        """Close a connection if it is due to be closed once its pending input is handled.

        After a stall, a request may have arrived that the connection's task has not read yet. Returns whether
        the connection was due.
        """
        for _ in range(_MAX_READS_BEFORE_CLOSE):
            connection.read_pending_input(may_exceed_allowance=True)
            if not is_due(connection):
                self._counters.count(CounterGroup.PREVENTED_CLOSES, reason.value)
                return False
            # The process may stall at any point, so input may have arrived since.
            if connection.close_unless_readable(reason):
                return True
        connection.close(reason)
        return True

    def close_all_unless_readable(self) -> bool:
        """Close all connections on which no input has arrived; return whether that were all.

        No client may await a response.
        """
        are_closed = [each.close_unless_readable(CloseReason.SHUTDOWN) for each in self._connections]
        return all(are_closed)

    def close_all(self) -> None:
        """Close all connections immediately."""
        for connection in list(self._connections):
            connection.close(CloseReason.SHUTDOWN)

    async def close_expired(self, now: float) -> None:
        """Close the connections past a time limit, and surplus idle ones."""
        # Many connections may expire at once, and each may have input to parse.
        pass_limit = PassLimit()
        for connection in select_timed_out(self._connections, now):
            self._close_if(partial(is_timed_out, now=now), connection, CloseReason.TIMED_OUT)
            await pass_limit.checkpoint()
        surplus = select_surplus_idle(
            self._connections, self._waiting_client_count, self._max_connections, now
        )
        for connection in surplus:
            self._close_if(partial(may_be_surplus, now=now), connection, CloseReason.IDLE)
            await pass_limit.checkpoint()


def _may_evict(connection: TrackedConnection, now: float) -> bool:
    return eviction_rank(connection, now) is not None
