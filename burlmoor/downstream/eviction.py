"""Selects connections to close: past a time limit, or the least useful ones at the connection limit."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from burlmoor.downstream.accepted_socket import WRITE_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from burlmoor.types.reasons import CloseReason

# The time limit for a request to arrive completely, counted from its first byte, or from the accept for the
# first request. Clients may take 2 s to write a request, and the connection of an incomplete one has to be
# closed within 3 s.
_REQUEST_TIMEOUT_SECONDS = 2.6
_IDLE_TIMEOUT_SECONDS = 120.0  # idle time allowed to a connection after its first request
# The least times before a connection may be evicted; for a stalled one, since data last arrived.
_UNUSED_EVICTION_SECONDS = 0.1
_IDLE_EVICTION_SECONDS = 0.25
_STALLED_EVICTION_SECONDS = 0.5
_MAX_IDLE_AND_WAITING_FRACTION = 0.4  # of the connection limit; above it, some idle ones are closed


class TrackedConnection(Protocol):
    """What `ConnectionSet` requires of a connection."""

    @property
    def is_idle(self) -> bool:
        """Whether there is neither a partial nor an open request, and nothing left to write."""

    @property
    def has_been_used(self) -> bool:
        """Whether a complete request has arrived."""

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of a response is still to be written."""

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has arrived in part."""

    @property
    def is_awaiting_response(self) -> bool:
        """Whether a request has arrived and has no response yet."""

    @property
    def is_finished(self) -> bool:
        """Whether there is nothing more to read or to answer."""

    @property
    def state_since(self) -> float:
        """When it was accepted, began to receive a request, or wrote a response, whichever is latest."""

    @property
    def last_received_at(self) -> float:
        """When data last arrived."""

    def read_pending_input(self, *, may_exceed_allowance: bool = False) -> None:
        """Handle input that has arrived but was not read yet, up to the end of one request.

        Input beyond the connection's allowance is left to its turns, unless it may exceed that by a little.
        """

    def close_unless_readable(self, reason: CloseReason) -> bool:
        """Close the connection unless input has arrived that was not read; return whether it is closed.

        No client may await a response.
        """

    def close(self, reason: CloseReason) -> None:
        """Close the connection immediately."""

    def pass_to_successor(self) -> None:
        """Pass the connection to the successor process if there is one and the connection is idle."""


class EvictionPriority(IntEnum):
    """The kinds of connections that may be evicted, in the order of eviction."""

    UNUSED_OR_FINISHED = 0  # no request has begun, or nothing more is to be read or answered
    IDLE = 1
    STALLED = 2  # in the middle of a request


class EvictionRank(NamedTuple):
    """The position of a connection in the order of eviction; the lowest rank is evicted first."""

    priority: EvictionPriority
    since: float


def eviction_rank(connection: TrackedConnection, now: float) -> EvictionRank | None:
    """Return the rank of a connection, or None while it may not be evicted.

    Clients write their first request immediately, and slow clients keep writing, so a connection on which
    nothing arrives is probably not in use by a client.
    """
    if connection.is_awaiting_response or connection.has_unsent_output:
        return None
    if connection.is_finished or (connection.is_idle and not connection.has_been_used):
        rank = EvictionRank(EvictionPriority.UNUSED_OR_FINISHED, connection.state_since)
        after_seconds = _UNUSED_EVICTION_SECONDS
    elif connection.is_idle:
        rank = EvictionRank(EvictionPriority.IDLE, connection.state_since)
        after_seconds = _IDLE_EVICTION_SECONDS
    else:
        rank = EvictionRank(EvictionPriority.STALLED, connection.last_received_at)
        after_seconds = _STALLED_EVICTION_SECONDS
    return rank if now > rank.since + after_seconds else None


def select_timed_out(connections: Iterable[TrackedConnection], now: float) -> list[TrackedConnection]:
    """Return the connections that have exceeded the time limit of their current state."""
    return [connection for connection in connections if is_timed_out(connection, now)]


def is_timed_out(connection: TrackedConnection, now: float) -> bool:
    """Return whether a connection has exceeded the time limit of its current state."""
    return now > connection.state_since + _timeout_seconds(connection)


def _timeout_seconds(connection: TrackedConnection) -> float:
    if connection.is_awaiting_response or connection.is_finished:
        return math.inf  # jobs have deadlines, and a finished connection closes itself
    if connection.has_unsent_output:
        return WRITE_TIMEOUT_SECONDS
    if connection.has_been_used and connection.is_idle:
        return _IDLE_TIMEOUT_SECONDS
    return _REQUEST_TIMEOUT_SECONDS


def select_used_idle(connections: Iterable[TrackedConnection]) -> list[TrackedConnection]:
    """Return the connections that have been used and are idle."""
    return [connection for connection in connections if is_used_idle(connection)]


def is_idle(connection: TrackedConnection) -> bool:
    """Return whether a connection is idle, whether or not it has been used."""
    return connection.is_idle


def is_used_idle(connection: TrackedConnection) -> bool:
    """Return whether a connection has been used and is idle."""
    return connection.has_been_used and connection.is_idle


def select_surplus_idle(
    connections: Collection[TrackedConnection],
    waiting_client_count: int,
    max_connections: int,
    now: float,
) -> list[TrackedConnection]:
    """Return the idle connections to close, the longest idle first.

    Idle connections and waiting clients together may take `_MAX_IDLE_AND_WAITING_FRACTION` of the connection
    limit. Connections that became idle just now are kept.

    Clients that open a connection for each request and leave the last one open would otherwise use up the
    limit, and could not connect for their next requests.
    """
    idle = sorted(select_used_idle(connections), key=lambda connection: connection.state_since)
    surplus = max(0, len(idle) + waiting_client_count - int(max_connections * _MAX_IDLE_AND_WAITING_FRACTION))
    return [connection for connection in idle[:surplus] if may_be_surplus(connection, now)]


def may_be_surplus(connection: TrackedConnection, now: float) -> bool:
    """Return whether a connection is idle, and did not become idle just now."""
    return is_used_idle(connection) and now > connection.state_since + _IDLE_EVICTION_SECONDS
