"""A priority queue of runnable jobs, ordered by latest-release time. No I/O, no clock."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from burlmoor.deferred.rate_control import AdaptiveTokenBucket

_Item = TypeVar("_Item")


class Release(NamedTuple, Generic[_Item]):
    """A released item, and the slots that it needs."""

    item: _Item
    slots: float


class ReleaseQueue(Generic[_Item]):
    """Orders items by their latest-release time, and limits their release with a token bucket."""

    def __init__(self, bucket: AdaptiveTokenBucket) -> None:
        self.bucket = bucket
        self._heap: list[tuple[float, int, float, _Item]] = []
        self._last_sequence_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, latest_release_at: float, slots: float, item: _Item) -> None:
        """Add an item that needs this many slots; items with equal times are released first in, first out."""
        self._last_sequence_number += 1
        heapq.heappush(self._heap, (latest_release_at, self._last_sequence_number, slots, item))

    def peek(self) -> _Item | None:
        """Return the item to be released next; None if the queue is empty."""
        return self._heap[0][3] if self._heap else None

    def discard_first(self) -> None:
        """Remove the first item without releasing it."""
        heapq.heappop(self._heap)

    def pop_releasable(self, now: float, free_slots: float) -> Release[_Item] | None:
        """Remove the first item if it fits the free slots or a token is available; return None if not."""
        if not self._heap:
            return None
        _, _, slots, item = self._heap[0]
        if free_slots < slots and not self.bucket.take_token(now):
            return None
        heapq.heappop(self._heap)
        return Release(item, slots)

    def next_due(self, now: float) -> float:
        """Return when a token for the next item is available; infinity if the queue is empty."""
        return self.bucket.next_token_at(now) if self._heap else math.inf
