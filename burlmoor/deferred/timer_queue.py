"""A heap of things to look at, from which any may be taken out again."""

from __future__ import annotations

import heapq
import math
from typing import Generic, TypeVar

_T = TypeVar("_T")
_LEAST = 64  # entries below which taken-out ones are left where they are


class Agenda(Generic[_T]):
    """Owns times and what is due at each: O(log n) to put in, O(1) to take out, at most twice the memory."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._things: dict[int, _T] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._things)

    def put(self, at: float, thing: _T) -> int:
        """Note a thing for a time; the ticket takes it out again."""
        self._number += 1
        self._things[self._number] = thing
        heapq.heappush(self._heap, (at, self._number))
        return self._number

    def out(self, ticket: int) -> None:
        """Take a thing out; one that is out already changes nothing."""
        if self._things.pop(ticket, None) is not None and len(self._heap) > _LEAST + 2 * len(self._things):
            # Guards against memory held for what left long before its time.
            self._heap = [entry for entry in self._heap if entry[1] in self._things]
            heapq.heapify(self._heap)

    def first(self) -> float:
        """The earliest time; infinite where nothing is in it."""
        while self._heap and self._heap[0][1] not in self._things:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop(self, now: float) -> _T | None:
        """One thing whose time has come; None if there is none."""
        if self.first() > now:
            return None
        return self._things.pop(heapq.heappop(self._heap)[1])
