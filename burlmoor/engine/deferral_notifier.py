"""Owns the deferred-job queue, if one is enabled, and notifies it of each job that is opened or closed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.deadlines import DeadlineQueue
    from burlmoor.engine.deferral import DeferralQueue, RunConditions
    from burlmoor.engine.job import Job
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.types.events import JobRequest


class DeferralNotifier:
    """Owns the deferred-job queue while deferral is enabled; the engine reaches the queue only through it.

    `wake` is called when `next_due` may return an earlier time than before. Times are in ms.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        deadlines: DeadlineQueue,
        clock: Callable[[], float],
        wake: Callable[[], None],
    ) -> None:
        self._queue: DeferralQueue | None = None
        self._jobs = jobs
        self._deadlines = deadlines
        self._clock = clock
        self._wake = wake

    @property
    def queue(self) -> DeferralQueue | None:
        """The deferred-job queue; None if deferral is disabled."""
        return self._queue

    def enable(self, queue: DeferralQueue) -> None:
        """Defer jobs with run conditions in this queue from now on, and notify it of the open jobs."""
        self._queue = queue
        for job in self._jobs:
            if not job.is_closed:
                queue.on_job_admitted(job.id)

    def disable(self) -> None:
        """Stop deferring jobs."""
        self._queue = None

    def longest_timeout_ms(self, request: JobRequest, conditions: RunConditions | None) -> float:
        """Return the longest time for which a request with these conditions may be open, in ms."""
        if self._queue is None or conditions is None:
            return self._deadlines.class_timeout_ms(request)
        return self._queue.max_deferral_ms

    def on_job_admitted(
        self, job: Job, request: JobRequest, conditions: RunConditions | None, now: float
    ) -> None:
        """Notify the queue of a new job; defer the job if it has conditions."""
        if self._queue is None:
            return
        self._queue.on_job_admitted(job.id)
        if conditions is not None:
            job.deferred_request = request
            self._queue.defer(job.id, request, conditions, job.deadline, now)
        self._wake()

    def on_job_ended(self, job: Job, answer: FinalAnswer | None) -> None:
        """Notify the queue that a job is closed; `answer` is None if its client has disconnected."""
        if self._queue is None:
            return
        # The queue ends dependent jobs later, in `step`: ending them here would recurse along the chain of
        # dependencies, and a long one would block the event loop.
        self._queue.on_job_ended(job.id, answer, self._clock())
        self._wake()

    def next_due(self) -> float:
        """Return when the queue has to be stepped next; infinity without a queue."""
        return self._queue.next_due(self._clock()) if self._queue is not None else math.inf
