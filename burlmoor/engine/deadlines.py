"""Computes the deadlines of jobs, and queues those of jobs and attempts until they expire."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.types.events import JobRequest
    from burlmoor.types.settings import JobClass


class DeadlineQueue:
    """Computes deadlines, and returns jobs and attempts whose deadlines have passed.

    Times are in ms on the engine's clock. Entries with the same deadline are returned in the order in which
    they were scheduled.
    """

    def __init__(self, classes: tuple[JobClass, ...]) -> None:
        self.max_deadline = math.inf  # of newly admitted jobs; infinity unless the node shuts down
        self._class_timeouts_ms = {job_class.name: job_class.deadline_ms for job_class in classes}
        self._entries: list[tuple[float, int, Job | Attempt]] = []
        self._last_entry_number = 0

    def class_timeout_ms(self, request: JobRequest) -> float:
        """Return the longest time for which the policy may hold a job of this class, in ms."""
        return self._class_timeouts_ms.get(request.job_class, math.inf)

    def deadline_after(self, now: float, timeout_ms: float) -> float:
        """Return the deadline of a job with this timeout, bounded by the node's shutdown."""
        return min(now + timeout_ms, self.max_deadline)

    def schedule(self, at: float, item: Job | Attempt) -> None:
        """Schedule the item to be returned by `pop_expired` from `at` on."""
        self._last_entry_number += 1
        heapq.heappush(self._entries, (at, self._last_entry_number, item))

    def next_due(self) -> float:
        """Return the earliest scheduled time; infinity if nothing is scheduled."""
        return self._entries[0][0] if self._entries else math.inf

    def pop_expired(self, now: float) -> Job | Attempt | None:
        """Remove and return the earliest expired item; None if there is none."""
        if self._entries and self._entries[0][0] <= now:
            return heapq.heappop(self._entries)[2]
        return None
