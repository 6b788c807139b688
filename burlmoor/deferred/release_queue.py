"""The runnable jobs, the one with the earliest latest-release time first. No I/O, no clock."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from burlmoor.deferred.rate_control import AdaptiveTokenBucket

_Item = TypeVar("_Item")


class Release(NamedTuple, Generic[_Item]):
    """An item that is released, and the slots that it takes."""

    item: _Item
    slots: float


class ReleaseQueue(Generic[_Item]):
    """Items that may be released, by the latest time of their release, and the bucket that lets them go."""

    def __init__(self, bucket: AdaptiveTokenBucket) -> None:
        self.bucket = bucket
        self._heap: list[tuple[float, int, float, _Item]] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, latest_release_at: float, slots: float, item: _Item) -> None:
        """Add an item that takes so many slots; those with equal times go in the order they came."""
        self._last_number += 1
        heapq.heappush(self._heap, (latest_release_at, self._last_number, slots, item))

    def first(self) -> _Item | None:
        """Return the item that is released next; None where the queue is empty."""
        return self._heap[0][3] if self._heap else None

    def drop_first(self) -> None:
        """Remove the first item, which is not to be released any more."""
        heapq.heappop(self._heap)

    def pop_releasable(self, now: float, free_slots: float) -> Release[_Item] | None:
        """Remove the first item if it fits the free slots or there is a token; None if it has to wait."""
        if not self._heap:
            return None
        _, _, slots, item = self._heap[0]
        if free_slots < slots and not self.bucket.take_token(now):
            return None
        heapq.heappop(self._heap)
        return Release(item, slots)

    def next_due(self, now: float) -> float:
        """Return when a token lets the next item go; infinity where the queue is empty."""
        return self.bucket.next_token_at(now) if self._heap else math.inf
