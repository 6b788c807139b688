"""Passes jobs with run conditions to the deferred-job queue, and carries out what it decides."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.engine.answers import FinalAnswer, Rejected
from burlmoor.engine.deferral import EndedJob, JobDeferral, ReleasedJob, RunConditions
from burlmoor.log_events import DeferredQueueFailed
from burlmoor.types.reasons import EndReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.deadlines import DeadlineQueue
    from burlmoor.engine.interfaces import JobAnswerer
    from burlmoor.engine.job import Job
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.engine.policy_driver import PolicyDriver
    from burlmoor.log import EventLogger
    from burlmoor.types.events import JobRequest


class DeferralController:
    """Stands between the jobs and the queue that may defer them; without a queue no job is deferred."""

    def __init__(
        self,
        jobs: JobRegistry,
        deadlines: DeadlineQueue,
        policy: PolicyDriver,
        answerer: JobAnswerer,
        clock: Callable[[], float],
        log: EventLogger,
        wake: Callable[[], None],
    ) -> None:
        self.queue: JobDeferral | None = None
        self._jobs = jobs
        self._deadlines = deadlines
        self._policy = policy
        self._answerer = answerer
        self._clock = clock
        self._log = log
        self._wake = wake

    def enable(self, queue: JobDeferral) -> None:
        """Let jobs be deferred in this queue; it is told of those that are open."""
        self.queue = queue
        for job in self._jobs:
            if not job.is_closed:
                queue.on_job_opened(job.id)

    def longest_timeout_ms(self, request: JobRequest, conditions: RunConditions | None) -> float:
        """Return the longest that a request with these conditions may be open, in ms."""
        if self.queue is None or conditions is None:
            return self._deadlines.class_deadline_ms(request)
        return self.queue.max_deferral_ms

    def on_job_opened(
        self, job: Job, request: JobRequest, conditions: RunConditions | None, now: float
    ) -> None:
        """Tell the queue of a new job, which it defers if it has conditions."""
        if self.queue is None:
            return
        self.queue.on_job_opened(job.id)
        if conditions is not None:
            job.deferred_request = request
            self.queue.defer(job.id, request, conditions, job.deadline, now)
        self._wake()

    def on_job_closed(self, job: Job, answer: FinalAnswer | None) -> None:
        """Tell the queue that a job is closed; None if its client has disconnected."""
        if self.queue is None:
            return
        # The queue answers nobody from in here. Without this, a chain of dependent jobs would end in one
        # recursion and hold up the event loop.
        self.queue.on_job_ended(job.id, answer, self._clock())
        self._wake()

    def next_due(self) -> float:
        """Return when `step` is needed next; infinity without a queue."""
        return self.queue.next_due(self._clock()) if self.queue is not None else math.inf

    def step(self, now: float) -> None:
        """Release or end the jobs that the queue says."""
        if self.queue is None:
            return
        try:
            for decision in self.queue.step(now, self._releasable_slots):
                self._apply(decision, now)
        except Exception as error:  # noqa: BLE001
            # Without this, a fault of the queue would end the node, and the jobs it holds would get no
            # answer. They are rejected, and no job is deferred from then on.
            self._log(DeferredQueueFailed(error=repr(error)))
            self.queue = None
            self._reject_deferred_jobs()

    def _releasable_slots(self) -> float:
        return self._policy.releasable_slots(self._clock())

    def _reject_deferred_jobs(self) -> None:
        deferred = [job for job in self._jobs if job.deferred_request is not None and not job.is_closed]
        for job in deferred:
            self._answerer.answer_job(job, Rejected(), EndReason.RUN_CONDITIONS)
            self._jobs.forget_if_done(job)

    def _apply(self, decision: ReleasedJob | EndedJob, now: float) -> None:
        job = self._jobs.find_by_id(decision.id)
        if job is None or job.is_closed or job.deferred_request is None:
            return
        if isinstance(decision, EndedJob):
            self._answerer.answer_job(job, decision.answer, EndReason.RUN_CONDITIONS)
            self._jobs.forget_if_done(job)
        else:
            self._release(job, job.deferred_request, decision.credit, now)

    def _release(self, job: Job, request: JobRequest, credit: float, now: float) -> None:
        """Hand a deferred job to the policy.

        The class's deadline counts from here: what is left of the client's timeout may be longer, or less.
        The policy is told by how much it is less; without this, a job released late would look like a retry.
        """
        job.deferred_request = None
        class_deadline_ms = self._deadlines.class_deadline_ms(request)
        timeout_ms = max(0.0, min(job.deadline - now, class_deadline_ms))
        deferred_ms = max(0.0, min(request.timeout_ms, class_deadline_ms) - timeout_ms)
        job.admitted_at = now
        job.deadline = self._deadlines.deadline_after(now, timeout_ms)
        self._deadlines.schedule(job.deadline, job)
        self._policy.post(
            request._replace(
                id=job.number, timeout_ms=timeout_ms, deferred_ms=deferred_ms, deferral_credit=credit
            )
        )
