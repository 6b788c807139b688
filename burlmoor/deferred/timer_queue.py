"""A priority queue of timers that can be cancelled."""

from __future__ import annotations

import heapq
import math
from typing import Generic, TypeVar

_Item = TypeVar("_Item")
_MIN_COMPACTION_SIZE = 64  # entries; a heap of at most this size is never compacted


class TimerQueue(Generic[_Item]):
    """Orders items by due time: O(log n) to schedule, O(1) amortised to cancel."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._items: dict[int, _Item] = {}  # by timer id
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._items)

    def schedule(self, due_at: float, item: _Item) -> int:
        """Add an item that is due at this time; return the timer id that cancels it."""
        self._last_id += 1
        self._items[self._last_id] = item
        heapq.heappush(self._heap, (due_at, self._last_id))
        return self._last_id

    def cancel(self, timer_id: int) -> None:
        """Remove an item; does nothing if it was removed before."""
        if self._items.pop(timer_id, None) is None:
            return
        # Compacts the heap, as cancelled entries otherwise occupy memory until they are due.
        if len(self._heap) > _MIN_COMPACTION_SIZE + 2 * len(self._items):
            self._heap = [entry for entry in self._heap if entry[1] in self._items]
            heapq.heapify(self._heap)

    def next_due(self) -> float:
        """Return the earliest due time; infinity if the queue is empty."""
        while self._heap and self._heap[0][1] not in self._items:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> _Item | None:
        """Remove and return the earliest item that is due; None if there is none."""
        if self.next_due() > now:
            return None
        return self._items.pop(heapq.heappop(self._heap)[1])
