"""The moments at which something has to be looked at, in order."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.policy.model.job import ScheduledJob


class TimerQueue:
    """A queue of checks of jobs and of polls of the endpoint list (no job). Times are ms."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ScheduledJob | None]] = []
        self._count = 0  # keeps entries of one moment in the order of their scheduling

    def schedule(self, at: float, job: ScheduledJob | None) -> None:
        """Add a check of a job, or a poll."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, job))

    def schedule_check(self, job: ScheduledJob, at: float) -> None:
        """Have the job checked then, in place of any check that is scheduled for it."""
        job.check_at = at
        self.schedule(at, job)

    def next_at(self) -> float:
        """Return the moment of the first entry; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def pop(self) -> tuple[float, ScheduledJob | None]:
        """Remove the first entry, and return its moment and its job."""
        at, _, job = heapq.heappop(self._heap)
        return at, job
