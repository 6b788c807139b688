"""One node's jobs from admission to their final answer, without sockets.

The engine admits jobs, hands events to the policy, has its actions carried out, and gives each job exactly
one final answer in time, also where the policy fails. It knows no HTTP: clients stand behind `Responder`,
executors behind `Upstream`, the discovery service behind `Discovery`. All times are in ms on its clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from burlmoor.counters import EventCounters
from burlmoor.engine.action_executor import ActionExecutor
from burlmoor.engine.answers import Failed, FinalAnswer, Rejected
from burlmoor.engine.attempt_controller import AttemptController
from burlmoor.engine.attempt_guard import AttemptGuard
from burlmoor.engine.deadlines import DeadlineQueue
from burlmoor.engine.deferral_controller import DeferralController
from burlmoor.engine.job_log import JobLog
from burlmoor.engine.job_registry import JobRegistry
from burlmoor.engine.policy_driver import PolicyDriver
from burlmoor.invariants import InvariantMonitor
from burlmoor.log_events import AnsweredAtDeadline, AnsweredAtShutdown
from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.events import (
    ClientDisconnected,
    EndpointListUpdate,
    HandoverChanged,
    HealthChecked,
    JobRequest,
)
from burlmoor.types.reasons import CancelReason, EndReason
from burlmoor.types.settings import Idempotency, Settings

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burlmoor.engine.deferral import JobDeferral, RunConditions
    from burlmoor.engine.interfaces import Discovery, Responder, Upstream
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.log import EventLogger
    from burlmoor.policy.statistics.snapshot import StatisticsSnapshot
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind
    from burlmoor.types.outcome import Outcome


class Engine:
    """Owns every job of this node; the one place where a job is closed and answered.

    `wake` is called when `next_due` may return an earlier time than before. `connect` has to be called
    before the first `step`.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        log: EventLogger,
        wake: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.wake = wake
        self.counters = EventCounters()
        self._job_log = JobLog(log, self.counters)
        self.jobs = JobRegistry(self._job_log)
        self.ids_in_other_process = self.jobs.ids_in_other_process  # for the handover, which keeps it
        self._log = log
        self.invariants = InvariantMonitor(log)
        self._policy = Dispatcher(settings, seed)
        self._policy_driver = PolicyDriver(self._policy, self.jobs, log, wake)
        self._deadlines = DeadlineQueue(settings.classes)
        self._non_idempotent_classes = _non_idempotent_classes(settings)
        self._deferral = DeferralController(
            self.jobs, self._deadlines, self._policy_driver, self, clock, log, wake
        )
        self._attempts: AttemptController
        self._actions: ActionExecutor
        self._stepped_at = -math.inf

    def connect(self, upstream: Upstream, discovery: Discovery) -> None:
        """Connect the parts that carry out what concerns executors and the endpoint list."""
        driver = self._policy_driver
        limits = self.settings.limits
        guard = AttemptGuard(limits, self.invariants)
        self._attempts = AttemptController(
            self.jobs,
            self._deadlines,
            driver,
            self,
            upstream,
            guard,
            self.clock,
        )
        self._actions = ActionExecutor(
            self.jobs, self._attempts, driver, self, upstream, discovery, self._log
        )

    @property
    def open_job_count(self) -> int:
        """How many jobs wait for their final answer."""
        return self.jobs.count_open()

    def open_job_ids(self) -> list[str]:
        """Return the ids of the jobs admitted here that are not done, open attempts included."""
        return self.jobs.ids()

    def statistics_snapshot(self) -> StatisticsSnapshot:
        """Return the policy's statistics, for another process of this node."""
        return self._policy.take_statistics_snapshot(self.clock())

    def restore_statistics(self, statistics: StatisticsSnapshot) -> None:
        """Go on from the statistics of the process before this one."""
        self.step()  # the endpoint list comes first: statistics are restored for the endpoints on it
        self._policy.restore_statistics_snapshot(statistics, self.clock())

    def set_handed_over(self, is_handed_over: bool) -> None:
        """Tell the policy whether another process admits this node's jobs in place of this one."""
        self._policy_driver.post(HandoverChanged(is_handed_over))

    @property
    def answer_by(self) -> float:
        """When jobs that are admitted from now on have to be answered at the latest."""
        return self._deadlines.answer_by

    @answer_by.setter
    def answer_by(self, at: float) -> None:
        self._deadlines.answer_by = at

    def answer_all_by(self, at: float, received_after: float = -math.inf) -> None:
        """Answer all jobs by then, whatever their deadline: open ones too, if they were received later."""
        self.answer_by = at
        for job in self.jobs:
            if not job.is_closed and job.received_at > received_after and job.deadline > at:
                job.deadline = at
                self._deadlines.schedule(at, job)
        self.wake()

    @property
    def deferral(self) -> JobDeferral | None:
        """The queue that may defer jobs; None where no job is deferred."""
        return self._deferral.queue

    def enable_deferral(self, queue: JobDeferral) -> None:
        """Let jobs with run conditions be deferred in this queue from now on."""
        self._deferral.enable(queue)

    def disable_deferral(self) -> None:
        """Defer no job from now on; the queue has to be empty."""
        self._deferral.queue = None

    def admit(
        self,
        responder: Responder,
        request_id: str,
        request: JobRequest,
        payload: Any,
        conditions: RunConditions | None = None,
    ) -> Job | None:
        """Admit a request whose last byte has come; return None if its id is in use.

        With conditions, and where jobs may be deferred, the policy sees the job once it is released.
        """
        if self.jobs.is_id_in_use(request_id):
            return None
        # Without this limit, a client's timeout could hold a job, and a node that shuts down, far longer
        # than its class may take.
        timeout_ms = min(request.timeout_ms, self._deferral.longest_timeout_ms(request, conditions))
        now = self.clock()
        # The policy is not told of a shutdown: the difference would look like time spent elsewhere.
        deadline = self._deadlines.deadline_after(now, timeout_ms)
        is_non_idempotent = request.job_class in self._non_idempotent_classes
        job = self.jobs.create(
            request_id, responder, request.job_class, payload, now, deadline, is_non_idempotent
        )
        self._deferral.on_job_opened(job, request, conditions, now)
        # A deferred job is released or ended before its deadline; scheduled here it would be kept till then.
        if job.deferred_request is None:
            self._deadlines.schedule(job.deadline, job)
            self._policy_driver.post(request._replace(id=job.number, timeout_ms=timeout_ms))
        return job

    def on_client_disconnected(self, job: Job) -> None:
        """Close a job whose client has disconnected; it gets no answer."""
        if not job.is_closed:
            self._close(job, None, EndReason.DISCONNECTED)
            self._report_closed(job)

    def answer_job(self, job: Job, answer: FinalAnswer, reason: EndReason | None = None) -> None:
        """Close an open job and give its client the final answer; the reason of one that is no result."""
        self._close(job, answer, reason)
        job.responder.respond(answer)

    def _close(self, job: Job, answer: FinalAnswer | None, reason: EndReason | None) -> None:
        job.is_closed = True
        self._job_log.on_job_closed(job, answer, reason, self.clock())
        self._attempts.on_job_closed(job)
        self._deferral.on_job_closed(job, answer)

    def _report_closed(self, job: Job) -> None:
        """Tell the policy of a job that was closed without it, unless it never saw the job."""
        if job.deferred_request is None:
            self._policy_driver.post(ClientDisconnected(job.number))
        self.jobs.forget_if_done(job)

    def find_attempt(self, request_id: str, endpoint: str) -> Attempt | None:
        """Return the open attempt that a call-back names, if there is one."""
        return self.jobs.find_attempt(request_id, endpoint)

    def on_attempt_started(self, attempt: Attempt) -> None:
        """Note that the endpoint has begun to run the job."""
        self._attempts.report_started(attempt)

    def on_attempt_progressed(self, attempt: Attempt, fraction: float) -> None:
        """Note that the endpoint has done this fraction, from 0 to 1, of the job."""
        self._attempts.report_progress(attempt, fraction)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes | None = None) -> None:
        """Note how an attempt ended; for one that has ended already this changes nothing."""
        self._attempts.end(attempt, outcome, result)

    def cancel_attempt(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> None:
        """Cancel an attempt that upstream cannot go on with; upstream is asked to cancel it."""
        self._attempts.cancel_attempt(attempt, outcome, reason, self.clock())

    def on_attempt_cancelled(self, attempt: Attempt) -> None:
        """Note that the endpoint has confirmed the cancel, or can't hold the job any more."""
        self._attempts.on_cancelled(attempt)

    def on_endpoint_list(self, kind: ListKind, entries: Iterable[EndpointEntry]) -> None:
        """Pass an update of the endpoint list to the policy."""
        self._policy_driver.post(EndpointListUpdate(kind, list(entries)))

    def on_health_checked(self, endpoint: str, outcome: Outcome, elapsed_ms: float) -> None:
        """Pass the result of a health check to the policy."""
        self._policy_driver.post(HealthChecked(endpoint, outcome, elapsed_ms))

    def next_due(self) -> float:
        """Return when `step` is needed next; infinity if only an event can make it so."""
        earliest = self._stepped_at + self.settings.tick_ms
        if self._policy_driver.has_events():
            return earliest
        due = min(self._deadlines.next_due(), self._policy_driver.next_timer(), self._deferral.next_due())
        return max(due, earliest)

    def step(self) -> None:
        """Expire what is due, hand the policy the events so far and carry out its actions."""
        now = self._stepped_at = self.clock()
        expired_jobs = self._attempts.expire(now)
        self._deferral.step(now)
        self._actions.execute_all(self._policy_driver.decide(now), now)
        self._answer_expired(expired_jobs, now)

    def _answer_expired(self, jobs: list[Job], now: float) -> None:
        """Answer the jobs past their deadline that the policy has left without an answer."""
        for job in jobs:
            if job.is_closed:
                continue
            is_shutdown = now >= self.answer_by
            self._log(AnsweredAtShutdown(id=job.id) if is_shutdown else AnsweredAtDeadline(id=job.id))
            reason = EndReason.SHUTDOWN if is_shutdown else EndReason.DEADLINE
            self.answer_job(job, Failed() if job.may_have_run() else Rejected(), reason)
            self._report_closed(job)


def _non_idempotent_classes(settings: Settings) -> frozenset[str]:
    return frozenset(
        job_class.name
        for job_class in settings.classes
        if job_class.idempotency is Idempotency.NON_IDEMPOTENT
    )
