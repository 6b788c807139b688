"""Runs the jobs of one node from admission to the final answer, without sockets.

The engine admits jobs, passes events to the policy, carries out the policy's actions, and gives each job
exactly one final answer in time, even if the policy fails. It does not depend on HTTP: it reaches clients
through `Responder`, executors through `Upstream` and the discovery service through `Discovery`. All times are
in ms on its clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burlmoor.engine.action_applier import ActionApplier
from burlmoor.engine.answers import Failed, Rejected
from burlmoor.engine.attempt_controller import AttemptController
from burlmoor.engine.attempt_guard import AttemptGuard
from burlmoor.engine.deferral_controller import DeferralController
from burlmoor.engine.job import Job
from burlmoor.log_events import AnsweredAtDeadline, AnsweredAtShutdown
from burlmoor.types.reasons import EndReason
from burlmoor.types.settings import Idempotency

if TYPE_CHECKING:
    from burlmoor.engine.answers import Responder
    from burlmoor.engine.core import EngineCore
    from burlmoor.engine.deferral import RunConditions
    from burlmoor.engine.interfaces import Discovery, Upstream
    from burlmoor.types.events import JobRequest
    from burlmoor.types.settings import Settings


class Engine:
    """Admits jobs, and steps the policy, the deadlines and the deferred-job queue.

    Only `JobLifecycle` closes jobs and ends attempts.
    """

    def __init__(self, core: EngineCore, upstream: Upstream, discovery: Discovery) -> None:
        self._clock = core.clock
        self._wake = core.wake
        self._log = core.log
        self._tick_ms = core.settings.tick_ms
        self._non_idempotent_classes = _non_idempotent_classes(core.settings)
        self._repeat_windows_ms = _repeat_windows_ms(core.settings)
        self._jobs = core.jobs
        self._deadlines = core.deadlines
        self._policy = core.policy
        self._deferral_notifier = core.deferral_notifier
        self._lifecycle = core.lifecycle
        guard = AttemptGuard(core.settings.limits, core.invariants)
        self._attempts = AttemptController(
            core.jobs, core.deadlines, core.lifecycle, upstream, guard, core.job_log
        )
        self._actions = ActionApplier(
            core.jobs, self._attempts, core.lifecycle, core.policy, upstream, discovery, core.log
        )
        self._deferral_controller = DeferralController(
            core.deferral_notifier,
            core.jobs,
            core.deadlines,
            core.policy,
            core.dispatcher,
            core.lifecycle,
            core.clock,
            core.log,
        )
        self._stepped_at = -math.inf

    def admit(
        self,
        responder: Responder,
        request_id: str,
        request: JobRequest,
        payload: object,
        conditions: RunConditions | None = None,
    ) -> Job | None:
        """Admit a request that has been received completely; return None if its id is in use.

        If it has run conditions and deferral is enabled, the policy gets the job only when it is released.
        """
        if self._jobs.is_id_in_use(request_id):
            return None
        # A client's timeout must not keep a job open, and so delay a shutdown, far beyond the deadline of its
        # class.
        timeout_ms = min(request.timeout_ms, self._deferral_notifier.longest_timeout_ms(request, conditions))
        now = self._clock()
        job = Job(
            id=request_id,
            number=self._jobs.next_number(),
            responder=responder,
            class_name=request.job_class,
            payload=payload,
            received_at=now,
            # A shutdown shortens this deadline but not the timeout: the policy assumes that a job with an
            # unusually short timeout is a client's retry.
            deadline=self._deadlines.deadline_after(now, timeout_ms),
            is_non_idempotent=request.job_class in self._non_idempotent_classes,
            repeat_window_ms=self._repeat_windows_ms.get(request.job_class, math.inf),
        )
        self._jobs.add(job)
        self._deferral_notifier.on_job_admitted(job, request, conditions, now)
        # The queue releases or ends a deferred job before its deadline, which is scheduled on the release.
        if job.deferred_request is None:
            self._deadlines.schedule(job.deadline, job)
            self._policy.post(request._replace(id=job.number, timeout_ms=timeout_ms))
        return job

    def cap_deadlines(self, at: float, received_after: float = -math.inf) -> None:
        """Limit the deadlines of new jobs, and of open jobs received after `received_after`, to `at` (ms)."""
        self._deadlines.max_deadline = at
        for job in self._jobs:
            if not job.is_closed and job.received_at > received_after and job.deadline > at:
                job.deadline = at
                self._deadlines.schedule(at, job)
        self._wake()

    def next_due(self) -> float:
        """Return when `step` has to be called next; infinity if nothing is due before the next event."""
        earliest = self._stepped_at + self._tick_ms
        if self._policy.has_events():
            return earliest
        due = min(self._deadlines.next_due(), self._policy.next_timer(), self._deferral_notifier.next_due())
        return max(due, earliest)

    def step(self) -> None:
        """Expire deadlines, pass the pending events to the policy and carry out its actions."""
        now = self._stepped_at = self._clock()
        expired_jobs = self._attempts.expire(now)
        self._deferral_controller.step(now)
        self._actions.apply_all(self._policy.decide(now), now)
        for job in expired_jobs:
            if not job.is_closed:
                self._answer_expired(job, now)

    def _answer_expired(self, job: Job, now: float) -> None:
        """Answer a job past its deadline that the policy has left without an answer."""
        is_shutdown = now >= self._deadlines.max_deadline
        self._log(AnsweredAtShutdown(id=job.id) if is_shutdown else AnsweredAtDeadline(id=job.id))
        reason = EndReason.SHUTDOWN if is_shutdown else EndReason.DEADLINE
        answer = Failed() if job.may_have_run() else Rejected()
        self._lifecycle.answer_in_place_of_policy(job, answer, reason)


def _non_idempotent_classes(settings: Settings) -> frozenset[str]:
    return frozenset(
        job_class.name
        for job_class in settings.classes
        if job_class.idempotency is Idempotency.NON_IDEMPOTENT
    )


def _repeat_windows_ms(settings: Settings) -> dict[str, float]:
    """Return the windows for repeats of the classes whose jobs have idempotency keys."""
    return {
        job_class.name: job_class.deduplication_window_ms
        for job_class in settings.classes
        if job_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    }
