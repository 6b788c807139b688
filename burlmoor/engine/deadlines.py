"""When jobs and attempts run out of time."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.types.events import JobRequest
    from burlmoor.types.settings import JobClass


class DeadlineQueue:
    """Computes deadlines, and returns jobs and attempts once theirs have passed.

    Times are in ms on the engine's clock.

    Entries with the same deadline come out in the order in which they were scheduled.
    """

    def __init__(self, classes: tuple[JobClass, ...]) -> None:
        self.answer_by = math.inf  # by when a node that shuts down answers jobs that it still admits
        self._class_deadlines_ms = {job_class.name: job_class.deadline_ms for job_class in classes}
        self._entries: list[tuple[float, int, Job | Attempt]] = []
        self._last_entry_number = 0

    def class_deadline_ms(self, request: JobRequest) -> float:
        """Return the longest that a request of this class may be open with the policy, in ms."""
        return self._class_deadlines_ms.get(request.job_class, math.inf)

    def deadline_after(self, now: float, timeout_ms: float) -> float:
        """Return when a job with this timeout has to be answered, the node's shutdown considered."""
        return min(now + timeout_ms, self.answer_by)

    def schedule(self, at: float, item: Job | Attempt) -> None:
        """Have `pop_expired` return the item once `at` has come."""
        self._last_entry_number += 1
        heapq.heappush(self._entries, (at, self._last_entry_number, item))

    def next_due(self) -> float:
        """Return the earliest scheduled time; infinity if nothing is scheduled."""
        return self._entries[0][0] if self._entries else math.inf

    def pop_expired(self, now: float) -> Job | Attempt | None:
        """Remove and return the earliest item whose time has come; None if there is none."""
        if self._entries and self._entries[0][0] <= now:
            return heapq.heappop(self._entries)[2]
        return None
