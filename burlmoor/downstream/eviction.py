"""Selects the connections to close: those past a time limit, and the least useful ones at the limit."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from burlmoor.downstream.accepted_socket import WRITE_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from burlmoor.types.reasons import CloseReason

# Within which a request has to arrive, for the first one counted from the accept. Clients may take 2 s to
# write a request, and the connection of one that never ends is closed within 3 s.
_REQUEST_TIMEOUT_SECONDS = 2.6
_IDLE_TIMEOUT_SECONDS = 120.0  # for which a connection may be idle after its first request
# After which a connection may be closed to make room for others.
_UNUSED_EVICTION_SECONDS = 0.1
_IDLE_EVICTION_SECONDS = 0.25
_STALLED_EVICTION_SECONDS = 0.5
_MAX_IN_USE_SHARE = 0.4  # of the connection limit: above it, the longest idle connections are closed


class TrackedConnection(Protocol):
    """A connection, as `ConnectionSet` requires it."""

    @property
    def is_idle(self) -> bool:
        """Whether no request has been begun or is open."""

    @property
    def has_been_used(self) -> bool:
        """Whether a complete request has arrived."""

    @property
    def has_unsent(self) -> bool:
        """Whether part of a response still waits to be written."""

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has arrived."""

    @property
    def is_awaiting_response(self) -> bool:
        """Whether a request is open."""

    @property
    def is_finished(self) -> bool:
        """Whether nothing more is to be read or answered."""

    @property
    def state_since(self) -> float:
        """When it was accepted, began to receive a request, or wrote a response."""

    @property
    def last_received_at(self) -> float:
        """When bytes last arrived."""

    def close_soon(self, reason: CloseReason) -> None:
        """Stop reading and close the connection, now if there is nothing left to write."""

    def pass_to_successor(self) -> None:
        """Pass the connection to the process that has taken over, if it is idle."""


class EvictionPriority(IntEnum):
    """The kinds of connections that may be evicted, in the order of eviction."""

    UNUSED = 0  # no request has been begun yet
    IDLE = 1
    STALLED = 2  # within a request


class EvictionRank(NamedTuple):
    """Where a connection stands in the order of eviction; the lowest rank is evicted first."""

    priority: EvictionPriority
    since: float


def select_for_eviction(connections: Iterable[TrackedConnection], now: float) -> TrackedConnection | None:
    """Select the connection to evict in favour of a new one; None if none may be evicted."""
    candidates = [
        (rank, connection)
        for connection in connections
        if (rank := _eviction_rank(connection, now)) is not None
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda candidate: candidate[0])[1]


def _eviction_rank(connection: TrackedConnection, now: float) -> EvictionRank | None:
    """Return the rank of a connection, or None while it may not be evicted.

    Clients write their first request immediately, and slow ones keep writing: a connection on which nothing
    arrives is probably not a client's.
    """
    if connection.is_awaiting_response or connection.has_unsent:
        return None
    if connection.is_finished or (connection.is_idle and not connection.has_been_used):
        rank = EvictionRank(EvictionPriority.UNUSED, connection.state_since)
        after_seconds = _UNUSED_EVICTION_SECONDS
    elif connection.is_idle:
        rank = EvictionRank(EvictionPriority.IDLE, connection.state_since)
        after_seconds = _IDLE_EVICTION_SECONDS
    else:
        rank = EvictionRank(EvictionPriority.STALLED, connection.last_received_at)
        after_seconds = _STALLED_EVICTION_SECONDS
    return rank if now > rank.since + after_seconds else None


def select_timed_out(connections: Iterable[TrackedConnection], now: float) -> list[TrackedConnection]:
    """Select the connections that have exceeded the time limit of their present state."""
    return [
        connection
        for connection in connections
        if now > connection.state_since + _timeout_seconds(connection)
    ]


def _timeout_seconds(connection: TrackedConnection) -> float:
    if connection.is_awaiting_response or connection.is_finished:
        return math.inf  # a job has its deadline, and a finished connection ends by itself
    if connection.has_unsent:
        return WRITE_TIMEOUT_SECONDS
    if connection.has_been_used and connection.is_idle:
        return _IDLE_TIMEOUT_SECONDS
    return _REQUEST_TIMEOUT_SECONDS


def select_used_idle(connections: Iterable[TrackedConnection]) -> list[TrackedConnection]:
    """Select the connections that have been used and are idle."""
    return [connection for connection in connections if connection.has_been_used and connection.is_idle]


def select_surplus_idle(
    connections: Collection[TrackedConnection],
    waiting_client_count: int,
    max_connections: int,
    now: float,
) -> list[TrackedConnection]:
    """Select the longest idle of the used connections, as many as exceed the share of those in use.

    Without this, clients that open a connection for each request and leave the last one open would use up
    the connection limit, and their next requests could not connect.
    """
    idle = sorted(select_used_idle(connections), key=lambda connection: connection.state_since)
    surplus = max(0, len(idle) + waiting_client_count - int(max_connections * _MAX_IN_USE_SHARE))
    return [
        connection for connection in idle[:surplus] if now > connection.state_since + _IDLE_EVICTION_SECONDS
    ]
