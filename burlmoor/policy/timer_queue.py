"""The timers of the policy: checks of jobs, and polls of the endpoint list (each starts a watch)."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burlmoor.policy.model.job import ScheduledJob


class Timer(NamedTuple):
    """A check of a job, or a poll of the endpoint list, at a time in ms."""

    at: float
    sequence: int  # timers with the same time fire in the order in which they were scheduled
    job: ScheduledJob | None  # None: a poll


class TimerQueue:
    """Orders the timers by the time at which they fire. Times are in ms of the node's clock."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._count = 0

    def schedule_poll(self, at: float) -> None:
        """Schedule a poll of the endpoint list."""
        self._push(at, None)

    def schedule_check(self, job: ScheduledJob, at: float) -> None:
        """Schedule a check of the job, which replaces any check that is scheduled for it."""
        job.check_at = at
        self._push(at, job)

    def _push(self, at: float, job: ScheduledJob | None) -> None:
        self._count += 1
        heapq.heappush(self._heap, Timer(at, self._count, job))

    def next_at(self) -> float:
        """Return when the first timer fires; infinity if there is none."""
        return self._heap[0].at if self._heap else math.inf

    def pop(self) -> Timer:
        """Remove and return the first timer."""
        return heapq.heappop(self._heap)
