"""A queue of scheduled actions and the virtual clock that it advances."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Action = Callable[[], None]


class EventQueue:
    """Owns the virtual time. Actions due at the same time run in the order in which they were scheduled."""

    def __init__(self, now: float) -> None:
        self.now = now
        self._events: list[tuple[float, int, Action]] = []
        self._last_number = 0

    def schedule(self, when: float, action: Action) -> None:
        """Schedule an action for a time, or for now if that time is past."""
        self._last_number += 1
        heapq.heappush(self._events, (max(when, self.now), self._last_number, action))

    def run(self, until: float) -> None:
        """Run all actions due up to a given time, and advance the clock to that time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until
