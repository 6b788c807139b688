"""Keeps the order in which connections may be evicted, so that an eviction need not look at all of them."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from burlmoor.downstream.eviction import eviction_rank

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from burlmoor.downstream.eviction import EvictionRank, TrackedConnection

RANKING_INTERVAL_SECONDS = 0.05


class EvictionCandidates:
    """Holds the connections that could be evicted when they were last ranked, the first to evict first."""

    def __init__(self) -> None:
        self._ranked: deque[TrackedConnection] = deque()
        self._ranked_at = -math.inf

    def is_ranking_due(self, now: float) -> bool:
        """Return whether the last ranking is too old to be used."""
        return now >= self._ranked_at + RANKING_INTERVAL_SECONDS

    def rank(self, connections: Iterable[TrackedConnection], now: float) -> None:
        """Rank those of the connections that may be evicted now."""
        ranked: list[tuple[EvictionRank, int, TrackedConnection]] = []
        for number, connection in enumerate(connections):
            if (rank := eviction_rank(connection, now)) is not None:
                ranked.append((rank, number, connection))
        ranked.sort()
        self._ranked = deque(connection for _, _, connection in ranked)
        self._ranked_at = now

    def take_next(
        self, open_connections: Container[TrackedConnection], now: float
    ) -> TrackedConnection | None:
        """Remove and return the next open connection that may still be evicted, or None if there is none."""
        while self._ranked:
            connection = self._ranked.popleft()
            if connection in open_connections and eviction_rank(connection, now) is not None:
                return connection
        return None
