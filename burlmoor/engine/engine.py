"""One node's life without sockets: jobs, forwards, timers, and the calls to the decision module.

The core owns the `Dispatcher`, the batching of events, the clock readings that the module sees, the map from
request ids to the module's numbers, and the promise that each job gets exactly one final answer in time.
It knows no HTTP: clients stand behind `Listener`, executors behind `Targets`.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from typing import Any

from burlmoor.engine.answers import Failed, FinalAnswer, Rejected, Served
from burlmoor.engine.deferral import EndedJob, JobDeferral, ReleasedJob, RunConditions
from burlmoor.engine.interfaces import Discovery, Responder, Upstream
from burlmoor.engine.job import Attempt, Job
from burlmoor.log import EventLogger
from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.stats.snapshot import StatisticsSnapshot, restore_snapshot, take_snapshot
from burlmoor.types.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailJob,
    FetchEndpoints,
    LogWarning,
    RejectJob,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HandoverChanged,
    HealthChecked,
    JobRequest,
    TimerFired,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Idempotency, Settings

# Of the free slots at endpoints: released jobs leave the rest to the jobs that arrive meanwhile.
_RELEASABLE_SHARE = 0.8


class Engine:
    """Owns every job of this node from its last byte in to its last forward's end."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        log: EventLogger,
        wake: Callable[[], None],
    ) -> None:
        self.settings, self.clock, self._log, self._wake = settings, clock, log, wake
        self._policy = Dispatcher(settings, seed)
        self._longest = {each.name: each.deadline_ms for each in settings.classes}
        self._once = {
            each.name for each in settings.classes if each.idempotency is Idempotency.NON_IDEMPOTENT
        }
        self.answer_by = math.inf  # a node that stops answers what it still takes by then
        self._numbers = 0
        self._jobs: dict[int, Job] = {}
        self._ids: dict[str, Job] = {}
        self.ids_in_other_process: set[str] = set()  # ids of jobs that another process of this node has taken
        self._events: list[Event] = []
        self._timers: list[tuple[float, int]] = []
        self._limits: list[tuple[float, int, Job | Attempt]] = []  # deadlines of jobs and forwards
        self._order = 0
        self._stepped = -math.inf
        self.deferral: JobDeferral | None = None  # where jobs may wait for others or for a time
        self.upstream: Upstream
        self.discovery: Discovery

    # --- what happens to the node ---------------------------------------------------------------

    @property
    def open_job_count(self) -> int:
        """How many jobs wait for their final answer."""
        return sum(not job.is_over for job in self._jobs.values())

    def open_job_ids(self) -> list[str]:
        """The ids of the jobs taken here that are not forgotten."""
        return list(self._ids)

    def statistics_snapshot(self) -> StatisticsSnapshot:
        """What the module has learnt."""
        policy = self._policy
        return take_snapshot(policy.statistics, policy.endpoints.by_name, self.clock())

    def restore_statistics(self, given: StatisticsSnapshot) -> None:
        """Go on from what the module of the process before this one has learnt."""
        self.step()  # the list that was told comes first: figures are taken up for whom it names
        policy = self._policy
        restore_snapshot(policy.statistics, policy.endpoints.by_name, given, self.clock())

    def set_handed_over(self, yielded: bool) -> None:
        """Whether another process takes this node's jobs in this one's place."""
        self._post(HandoverChanged(yielded))

    def answer_all_by(self, at: float) -> None:
        """What is open then is answered then, whatever its deadline."""
        self.answer_by = at
        for job in self._jobs.values():
            if not job.is_over and job.deadline > at:
                self._limit(at, job)
        self._wake()

    def admit(
        self,
        listener: Responder,
        request_id: str,
        request: JobRequest,
        payload: Any,
        conditions: RunConditions | None = None,
    ) -> Job | None:
        """A request's last byte has come; None where its id is already in use.

        With conditions, and where jobs may wait, the module hears of it once it may run.
        """
        if request_id in self._ids or request_id in self.ids_in_other_process:
            return None
        self._numbers += 1
        # Guards against a figure that holds a job, and a node that stops, far beyond what its class may wait.
        holder = self.deferral if conditions is not None else None
        longest = holder.max_deferral_ms if holder is not None else self._may_take(request)
        patience = min(request.timeout_ms, longest)
        now = self.clock()
        job = Job(
            id=request_id,
            number=self._numbers,
            responder=listener,
            payload=payload,
            # The module is not told of a node's stop: what is missing would look like time spent elsewhere.
            admitted_at=now,
            deadline=min(now + patience, self.answer_by),
            is_non_idempotent=request.job_class in self._once,
        )
        self._jobs[job.number] = self._ids[request_id] = job
        if self.deferral is not None:
            self.deferral.on_job_opened(request_id)
            if conditions is not None:
                job.deferred_request = request
                self.deferral.defer(request_id, request, conditions, job.deadline, now)
            self._wake()
        if job.deferred_request is None:
            # One that is held ends or is released before its deadline; noted here it would be kept till then.
            self._limit(job.deadline, job)
            self._post(request._replace(id=job.number, timeout_ms=patience))
        return job

    def enable_deferral(self, holder: JobDeferral) -> None:
        """Jobs may wait there from now on; it is told of those that are open."""
        self.deferral = holder
        for job in self._jobs.values():
            if not job.is_over:
                holder.on_job_opened(job.id)

    def wake(self) -> None:
        """What is due next may be due sooner than it was."""
        self._wake()

    def _may_take(self, request: JobRequest) -> float:
        """The longest that a request may be open with the module."""
        return self._longest.get(request.job_class, math.inf)

    def on_client_disconnected(self, job: Job) -> None:
        """The client has left: nothing more is owed."""
        if not job.is_over:
            self._close(job, None)
            if job.deferred_request is None:
                self._post(ClientDisconnected(job.number))
            self._forget(job)

    def find_attempt(self, request_id: str, target: str) -> Attempt | None:
        """The forward that a call-back names, if it is still waited for."""
        job = self._ids.get(request_id)
        return next((each for each in job.open_attempts() if each.endpoint == target), None) if job else None

    def on_attempt_started(self, forward: Attempt) -> None:
        """The target has begun the job."""
        if not forward.is_over:
            self._post(AttemptStarted(forward.job.number, forward.number, forward.endpoint))

    def on_attempt_progressed(self, forward: Attempt, share: float) -> None:
        """The target has done this share of the job."""
        if not forward.is_over:
            self._post(AttemptProgressed(forward.job.number, forward.number, forward.endpoint, share))

    def on_attempt_ended(self, forward: Attempt, outcome: Outcome, result: bytes | None = None) -> None:
        """A forward's end is known. Told again, or after it was given up, it changes nothing."""
        if forward.is_over:
            return
        forward.outcome = outcome
        job = forward.job
        if outcome is Outcome.SERVED and not job.is_over:
            self._answer(job, Served(result or b""))
        elapsed = self.clock() - forward.sent_at
        self._post(AttemptEnded(job.number, forward.number, forward.endpoint, outcome, elapsed, job.is_over))
        self._forget(job)

    def on_attempt_cancelled(self, forward: Attempt) -> None:
        """The target has heard that nobody waits for this forward any more, or can hold nothing."""
        self.on_attempt_ended(forward, Outcome.CANCELLED)

    def on_endpoint_list(self, form: ListKind, entries: Iterable[EndpointEntry]) -> None:
        """Discovery has spoken."""
        self._post(EndpointListUpdate(form, list(entries)))

    def on_health_checked(self, target: str, outcome: Outcome, elapsed: float) -> None:
        """What a probe found."""
        self._post(HealthChecked(target, outcome, elapsed))

    # --- time -----------------------------------------------------------------------------------

    def next_due(self) -> float:
        """When `step` is needed next."""
        if self._events:
            return self._stepped + self.settings.tick_ms
        limit = self._limits[0][0] if self._limits else math.inf
        timer = self._timers[0][0] if self._timers else math.inf
        waiting = self.deferral.next_due(self.clock()) if self.deferral is not None else math.inf
        return max(min(limit, timer, waiting), self._stepped + self.settings.tick_ms)

    def step(self) -> None:
        """Hand the module what has happened and carry out what it decides."""
        now = self._stepped = self.clock()
        late = self._expire(now)
        if self.deferral is not None:
            self._step_holder(self.deferral, now)
        while self._timers and self._timers[0][0] <= now:
            self._events.append(TimerFired(heapq.heappop(self._timers)[1]))
        events, self._events = [self._aged(event, now) for event in self._events], []
        if events:
            try:
                actions = self._policy.handle(now, events)
            except Exception as error:
                # Guards against one bad decision ending the node: its jobs still get their answers below.
                self._log("policy-failed", error=repr(error))
                actions = []
            for action in actions:
                try:
                    self._carry_out(action, now)
                except Exception as error:
                    # Guards against one action's fault ending the node, or taking the others with it.
                    self._log("action-failed", action=repr(action), error=repr(error))
        for job in late:
            # Guards rule 1 where the module has left a job past its deadline without an answer.
            if not job.is_over:
                self._log("answered-at-stop" if now >= self.answer_by else "answered-at-deadline", id=job.id)
                self._answer(job, Failed() if job.may_have_run() else Rejected())
                if job.deferred_request is None:
                    self._post(ClientDisconnected(job.number))
                self._forget(job)

    def _step_holder(self, holder: JobDeferral, now: float) -> None:
        try:
            for verdict in holder.step(now, self._releasable_slots):
                self._obey(verdict, now)
        except Exception as error:
            # Guards the node, and rule 1, against a fault there: what waits is refused, none waits then on.
            self._log("deferred-failed", error=repr(error))
            self.deferral = None
            for job in [
                job for job in self._jobs.values() if job.deferred_request is not None and not job.is_over
            ]:
                self._answer(job, Rejected())
                self._forget(job)

    def _obey(self, verdict: ReleasedJob | EndedJob, now: float) -> None:
        """Carry out what becomes of a job that waited."""
        job = self._ids.get(verdict.id)
        if job is None or job.is_over or job.deferred_request is None:
            return
        if isinstance(verdict, EndedJob):
            self._answer(job, verdict.answer)
            self._forget(job)
            return
        # Its class's time counts from here: what is left of its client's may be longer, or less. The module
        # is told how much it would have had, lest a job released late looks like a late try.
        request, job.deferred_request = job.deferred_request, None
        longest = self._may_take(request)
        patience = max(0.0, min(job.deadline - now, longest))
        waited = max(0.0, min(request.timeout_ms, longest) - patience)
        job.admitted_at, job.deadline = now, min(now + patience, self.answer_by)
        self._limit(job.deadline, job)
        told = request._replace(
            id=job.number, timeout_ms=patience, deferred_ms=waited, deferral_credit=verdict.credit
        )
        self._post(told)

    def _releasable_slots(self) -> float:
        """Slots for deferred jobs: a share of the warm capacity less what is in flight or queued."""
        policy = self._policy
        capacity = _RELEASABLE_SHARE * policy.endpoints.warm_capacity(self.clock())
        return capacity - policy.endpoints.slots_in_flight - policy.rounds.queued_slots()

    def _aged(self, event: Event, now: float) -> Event:
        """What is left of a request's patience when the module hears of it.

        Guards against the module's give-up, and its advice to the client, coming after the deadline here.
        """
        job = self._jobs.get(event.id) if isinstance(event, JobRequest) else None
        if job is None or not isinstance(event, JobRequest):
            return event
        return event._replace(timeout_ms=max(0.0, event.timeout_ms - (now - job.admitted_at)))

    def _expire(self, now: float) -> list[Job]:
        late = []
        while self._limits and self._limits[0][0] <= now:
            _, _, what = heapq.heappop(self._limits)
            if isinstance(what, Attempt):
                self._time_out(what)
            elif not what.is_over:
                for forward in what.open_attempts():
                    self._time_out(forward)
                late.append(what)
        return late

    def _time_out(self, forward: Attempt) -> None:
        if not forward.is_over:
            self.on_attempt_ended(forward, Outcome.TIMEOUT)
            # Guards against a second copy: what is timed out here may still run there.
            self.upstream.cancel_attempt(forward)

    # --- what the module decides ----------------------------------------------------------------

    def _carry_out(self, action: Action, now: float) -> None:
        match action:
            case StartAttempt():
                self._send(action, now)
            case RejectJob():
                self._finish(action.id, Rejected(action.retry_after_ms))
            case FailJob():
                self._finish(action.id, Failed())
            case CancelAttempt():
                self._cancel(action)
            case SetTimer():
                heapq.heappush(self._timers, (now + max(0.0, action.delay_ms), action.token))
            case WatchEndpoints():
                self.discovery.watch()
            case FetchEndpoints():
                self.discovery.fetch()
            case CheckHealth():
                self.upstream.check_health(action.endpoint)
            case LogWarning():
                self._log("policy-warning", text=action.text)

    def _send(self, action: StartAttempt, now: float) -> None:
        job = self._jobs.get(action.id)
        if job is None:
            return
        until = min(job.deadline, now + action.timeout_ms) if action.timeout_ms else job.deadline
        forward = Attempt(job, len(job.attempts), action.endpoint, now, until)
        # A call-back names its forward by request and target, so a target gets one forward of a request.
        again = any(each.endpoint == action.endpoint for each in job.attempts)
        job.attempts.append(forward)
        if job.is_over or again or now >= job.deadline or forward.number >= self.settings.limits.max_attempts:
            self.on_attempt_ended(forward, Outcome.UNSENT)
        elif until <= now:
            self.on_attempt_ended(forward, Outcome.TIMEOUT)
        else:
            if until < job.deadline:
                self._limit(until, forward)
            self.upstream.start_attempt(forward)

    def _finish(self, number: int, answer: FinalAnswer) -> None:
        job = self._jobs.get(number)
        if job is not None and not job.is_over:
            # Guards rule 2: a job that may not run twice is never told that another try does no harm.
            if isinstance(answer, Rejected) and job.is_non_idempotent and job.may_have_run():
                answer = Failed()
            self._answer(job, answer)
            self._forget(job)

    def _cancel(self, action: CancelAttempt) -> None:
        job = self._jobs.get(action.id)
        if job is not None and 0 <= action.attempt < len(job.attempts):
            forward = job.attempts[action.attempt]
            if forward.is_over:
                return
            if job.is_over or self.settings.limits.may_hedge:
                self.on_attempt_ended(forward, Outcome.CANCELLED)
            # Guards rule 2: elsewhere the job may go again only once this forward has been given up, and a
            # target that can't be reached does not hear of it.
            self.upstream.cancel_attempt(forward)

    def _answer(self, job: Job, answer: FinalAnswer) -> None:
        self._close(job, answer)
        job.responder.respond(answer)

    def _close(self, job: Job, answer: FinalAnswer | None) -> None:
        job.is_over = True
        if self.deferral is not None:
            # Guards the loop against a chain that ends link by link: nobody is answered from in here.
            self.deferral.on_job_ended(job.id, answer, self.clock())
            self._wake()

    # --- bookkeeping ----------------------------------------------------------------------------

    def _post(self, event: Event) -> None:
        if not self._events:
            self._wake()
        self._events.append(event)

    def _limit(self, at: float, what: Job | Attempt) -> None:
        self._order += 1
        heapq.heappush(self._limits, (at, self._order, what))

    def _forget(self, job: Job) -> None:
        if job.is_over and not job.open_attempts():
            self._jobs.pop(job.number, None)
            self._ids.pop(job.id, None)
