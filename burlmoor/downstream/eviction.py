"""Which connections are closed: those that took too long, and the least useful where places run out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.downstream.connection import WRITE_TIMEOUT_SECONDS, DownstreamConnection

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Seconds that a request may take to come in, the first one counted from the accept. True clients take up to
# 2 s to write; one that never ends has to be closed within 3 s, and the sweep comes five times a second.
_REQUEST_TIMEOUT_SECONDS = 2.6
_IDLE_TIMEOUT_SECONDS = 120.0  # that a connection may lie idle once it has been used
# Seconds after which a connection may be closed to make room for others.
_SILENT_EVICTION_SECONDS = 0.1
_IDLE_EVICTION_SECONDS = 0.25
_STALLED_EVICTION_SECONDS = 0.5
# The order in which they go.
_RANK_SILENT = 0
_RANK_IDLE = 1
_RANK_STALLED = 2
_MAX_IDLE_SHARE = 0.4  # of the connections: as many may wait or lie idle after use, then the longest idle go


def select_for_eviction(
    connections: Iterable[DownstreamConnection], now: float
) -> DownstreamConnection | None:
    """Select the connection that goes first where another one needs its place; None if all keep theirs."""
    candidates = [
        (rank, connection)
        for connection in connections
        if (rank := _eviction_rank(connection, now)) is not None
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda candidate: candidate[0])[1]


def _eviction_rank(connection: DownstreamConnection, now: float) -> tuple[int, float] | None:
    """Return its rank, and since when it has that; the lowest goes first. None while it keeps its place.

    A usual client writes its first request at once: one that has not in a moment is most likely none. One
    that has begun and goes on, however slowly, is a client; one that has begun and stopped is hardly any.
    """
    if connection.is_awaiting_response or connection.has_unsent:
        return None
    if connection.is_finished or (connection.is_idle and not connection.has_been_used):
        rank, since, after_seconds = _RANK_SILENT, connection.state_since, _SILENT_EVICTION_SECONDS
    elif connection.is_idle:
        rank, since, after_seconds = _RANK_IDLE, connection.state_since, _IDLE_EVICTION_SECONDS
    else:
        rank, since, after_seconds = _RANK_STALLED, connection.last_received_at, _STALLED_EVICTION_SECONDS
    return (rank, since) if now > since + after_seconds else None


def select_timed_out(connections: Iterable[DownstreamConnection], now: float) -> list[DownstreamConnection]:
    """Select the connections that have been as they are for longer than that may last."""
    return [
        connection
        for connection in connections
        if now > connection.state_since + _timeout_seconds(connection)
    ]


def _timeout_seconds(connection: DownstreamConnection) -> float:
    if connection.is_awaiting_response or connection.is_finished:
        return math.inf  # a job has its deadline, and what is finished ends by itself
    if connection.has_unsent:
        return WRITE_TIMEOUT_SECONDS
    if connection.has_been_used and connection.is_idle:
        return _IDLE_TIMEOUT_SECONDS
    return _REQUEST_TIMEOUT_SECONDS


def select_used_idle(connections: Iterable[DownstreamConnection]) -> list[DownstreamConnection]:
    """Select the connections that lie idle after use."""
    return [connection for connection in connections if connection.has_been_used and connection.is_idle]


def select_surplus_idle(
    connections: Collection[DownstreamConnection],
    waiting_client_count: int,
    max_connections: int,
    now: float,
) -> list[DownstreamConnection]:
    """Select the longest idle of the connections that are used, as many as are too many.

    Without this, clients that open a connection for each request and leave the last one open would use up
    their places here, and their next requests would find none.
    """
    idle = sorted(select_used_idle(connections), key=lambda connection: connection.state_since)
    surplus = max(0, len(idle) + waiting_client_count - int(max_connections * _MAX_IDLE_SHARE))
    return [
        connection for connection in idle[:surplus] if now > connection.state_since + _IDLE_EVICTION_SECONDS
    ]
