"""Carries out the decisions of the deferred-job queue: releases jobs to the policy, or answers them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.engine.answers import Rejected
from burlmoor.engine.deferral import EndDecision
from burlmoor.log_events import DeferredQueueFailed
from burlmoor.types.reasons import EndReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.deadlines import DeadlineQueue
    from burlmoor.engine.deferral import ReleaseDecision
    from burlmoor.engine.deferral_notifier import DeferralNotifier
    from burlmoor.engine.job import Job
    from burlmoor.engine.job_lifecycle import JobLifecycle
    from burlmoor.engine.job_registry import JobRegistry
    from burlmoor.engine.policy_driver import PolicyDriver
    from burlmoor.log import EventLogger
    from burlmoor.policy.dispatcher import Dispatcher
    from burlmoor.types.events import JobRequest


class DeferralController:
    """Steps the deferred-job queue, if one is enabled, and applies its decisions. `clock` returns ms."""

    def __init__(
        self,
        deferral_notifier: DeferralNotifier,
        jobs: JobRegistry,
        deadlines: DeadlineQueue,
        policy: PolicyDriver,
        dispatcher: Dispatcher,
        lifecycle: JobLifecycle,
        clock: Callable[[], float],
        log: EventLogger,
    ) -> None:
        self._deferral_notifier = deferral_notifier
        self._jobs = jobs
        self._deadlines = deadlines
        self._policy = policy
        self._dispatcher = dispatcher
        self._lifecycle = lifecycle
        self._clock = clock
        self._log = log

    def step(self, now: float) -> None:
        """Release or end the jobs that the queue has selected."""
        queue = self._deferral_notifier.queue
        if queue is None:
            return
        try:
            for decision in queue.step(now, self._releasable_slots):
                self._apply(decision, now)
        except Exception as error:  # noqa: BLE001
            # An error in the queue must not end the node or leave deferred jobs unanswered: reject them, and
            # defer no further jobs.
            self._log(DeferredQueueFailed(error=repr(error)))
            self._deferral_notifier.disable()
            self._reject_deferred_jobs()

    def _releasable_slots(self) -> float:
        return self._dispatcher.releasable_slots(self._clock())

    def _reject_deferred_jobs(self) -> None:
        deferred = [job for job in self._jobs if job.deferred_request is not None and not job.is_closed]
        for job in deferred:
            self._lifecycle.answer(job, Rejected(), EndReason.RUN_CONDITIONS)
            self._jobs.remove_if_done(job)

    def _apply(self, decision: ReleaseDecision | EndDecision, now: float) -> None:
        job = self._jobs.find_by_id(decision.id)
        if job is None or job.is_closed or job.deferred_request is None:
            return
        if isinstance(decision, EndDecision):
            self._lifecycle.answer(job, decision.answer, EndReason.RUN_CONDITIONS)
            self._jobs.remove_if_done(job)
        else:
            self._release(job, job.deferred_request, decision.credit, now)

    def _release(self, job: Job, request: JobRequest, credit: float, now: float) -> None:
        """Hand a deferred job to the policy.

        The timeout of the job's class counts from the release, but does not extend the client's timeout. The
        policy also gets the time by which deferral has shortened the timeout, since it assumes that a job
        with an unusually short timeout is a client's retry.
        """
        job.deferred_request = None
        class_timeout_ms = self._deadlines.class_timeout_ms(request)
        timeout_ms = max(0.0, min(job.deadline - now, class_timeout_ms))
        deferred_ms = max(0.0, min(request.timeout_ms, class_timeout_ms) - timeout_ms)
        job.passed_to_policy_at = now
        job.deadline = self._deadlines.deadline_after(now, timeout_ms)
        self._deadlines.schedule(job.deadline, job)
        self._policy.post(
            request._replace(
                id=job.number, timeout_ms=timeout_ms, deferred_ms=deferred_ms, deferral_credit=credit
            )
        )
