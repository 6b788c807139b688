"""One node's life without sockets: jobs, forwards, timers, and the calls to the decision module.

The core owns the `Dispatcher`, the batching of events, the clock readings that the module sees, the map from
request ids to the module's numbers, and the promise that each job gets exactly one final answer in time.
It knows no HTTP: clients stand behind `Listener`, executors behind `Targets`.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from burlmoor import learnt
from burlmoor import messages as m
from burlmoor.decide import Dispatcher

_RELEASED_ROOM = 0.8  # of the room at executors: a herd of released jobs leaves the rest to those who come


@dataclass(frozen=True, slots=True)
class Served:
    """The answer that an executor gave."""

    result: bytes


@dataclass(frozen=True, slots=True)
class FixedResponse:
    """A refusal: the job has not run, or may run again; come back after so many ms."""

    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """The job failed and may have run."""


@dataclass(frozen=True, slots=True)
class Unmet:
    """The job has not run and can't: another try that asks for the same is in vain."""

    reason: str


Answer = Served | FixedResponse | Failed | Unmet


class BadCondition(ValueError):
    """What a client asks its job to wait for cannot be meant; the text names the header."""


class Conditions(NamedTuple):
    """What a job is to wait for: jobs that are to be served first, and a Unix time in ms (0: none)."""

    after: tuple[str, ...]
    not_before: float
    size: int  # bytes held meanwhile


class Release(NamedTuple):
    """A job that waited may run; `claim`, from 0 to 1, is what its waiting has earned."""

    id: str
    claim: float


class Turned(NamedTuple):
    """A job that waited is not to run."""

    id: str
    answer: Answer


class Holder(Protocol):
    """Who keeps jobs that wait: told of every job, it says in `step` what becomes of those it holds."""

    @property
    def longest(self) -> float:
        """The most that a job may wait in all, in ms."""

    def opened(self, ref: str) -> None:
        """The node has taken a job."""

    def ended(self, ref: str, answer: Answer | None, now: float) -> None:
        """A job is over, with its answer; None where its client has left."""

    def hold(self, ref: str, request: m.Request, conditions: Conditions, deadline: float, now: float) -> None:
        """A job that was just opened is to wait, until its deadline at most."""

    def due(self, now: float) -> float:
        """When `step` is needed next."""

    def step(self, now: float, room: Callable[[], float]) -> Iterable[Release | Turned]:
        """What becomes of some jobs now; `room`: slots known to be free."""


class Listener(Protocol):
    """The client's side of one job."""

    def answer(self, answer: Answer) -> None:
        """Give the client its one final answer."""


@dataclass(slots=True, eq=False)
class Forward:
    """One attempt of a job at one target."""

    job: Job
    number: int
    target: str
    sent: float
    give_up_at: float
    end: m.Outcome | None = None

    @property
    def over(self) -> bool:
        """Whether its end is known."""
        return self.end is not None


@dataclass(slots=True, eq=False)
class Job:
    """A request that this node has taken."""

    id: str
    number: int
    listener: Listener
    payload: Any  # what the targets need of the request; the core does not look at it
    taken: float
    deadline: float
    once: bool
    over: bool = False
    held: m.Request | None = None  # what is asked, while the job waits and the module does not know of it
    forwards: list[Forward] = field(default_factory=list)

    def out(self) -> list[Forward]:
        """The forwards whose end is not known."""
        return [forward for forward in self.forwards if not forward.over]

    def may_have_run(self) -> bool:
        """Whether some forward is not proved to have never run."""
        return any(forward.end is None or not forward.end.never_ran for forward in self.forwards)


class Targets(Protocol):
    """The executors' side."""

    def send(self, forward: Forward) -> None:
        """Start the forward; `Core.ended` is told how it ends."""

    def abandon(self, forward: Forward) -> None:
        """Nobody waits for this forward any more: give it up at the target; `Core.given_up` is told."""

    def probe(self, target: str) -> None:
        """Look at a target; `Core.probed` is told."""


class TargetList(Protocol):
    """Discovery's side."""

    def subscribe(self) -> None:
        """See to it that changes are told."""

    def fetch(self) -> None:
        """Ask once for the whole list."""


Say = Callable[..., None]


class Core:
    """Owns every job of this node from its last byte in to its last forward's end."""

    def __init__(
        self, settings: m.Settings, seed: int, clock: Callable[[], float], say: Say, wake: Callable[[], None]
    ) -> None:
        self.settings, self.clock, self._say, self._wake = settings, clock, say, wake
        self._node = Dispatcher(settings, seed)
        self._longest = {each.name: each.deadline for each in settings.classes}
        self._once = {each.name for each in settings.classes if each.effect is m.Effect.ONCE}
        self.answer_by = math.inf  # a node that stops answers what it still takes by then
        self._numbers = 0
        self._jobs: dict[int, Job] = {}
        self._ids: dict[str, Job] = {}
        self.elsewhere: set[str] = set()  # ids of jobs that another process of this node has taken
        self._events: list[m.Event] = []
        self._timers: list[tuple[float, int]] = []
        self._limits: list[tuple[float, int, Job | Forward]] = []  # deadlines of jobs and forwards
        self._order = 0
        self._stepped = -math.inf
        self.holder: Holder | None = None  # where jobs may wait for others or for a time
        self.targets: Targets
        self.target_list: TargetList

    # --- what happens to the node ---------------------------------------------------------------

    @property
    def open_jobs(self) -> int:
        """How many jobs wait for their final answer."""
        return sum(not job.over for job in self._jobs.values())

    def open_ids(self) -> list[str]:
        """The ids of the jobs taken here that are not forgotten."""
        return list(self._ids)

    def what_is_learnt(self) -> learnt.Learnt:
        """What the module has learnt."""
        return learnt.copy(self._node, self.clock())

    def take_up(self, given: learnt.Learnt) -> None:
        """Go on from what the module of the process before this one has learnt."""
        self.step()  # the list that was told comes first: figures are taken up for whom it names
        learnt.take_up(self._node, given, self.clock())

    def yielded(self, yielded: bool) -> None:
        """Whether another process takes this node's jobs in this one's place."""
        self._post(m.Yielded(yielded))

    def answer_all_by(self, at: float) -> None:
        """What is open then is answered then, whatever its deadline."""
        self.answer_by = at
        for job in self._jobs.values():
            if not job.over and job.deadline > at:
                self._limit(at, job)
        self._wake()

    def take(
        self,
        listener: Listener,
        request_id: str,
        request: m.Request,
        payload: Any,
        conditions: Conditions | None = None,
    ) -> Job | None:
        """A request's last byte has come; None where its id is already in use.

        With conditions, and where jobs may wait, the module hears of it once it may run.
        """
        if request_id in self._ids or request_id in self.elsewhere:
            return None
        self._numbers += 1
        # Guards against a figure that holds a job, and a node that stops, far beyond what its class may wait.
        holder = self.holder if conditions is not None else None
        longest = holder.longest if holder is not None else self._may_take(request)
        patience = min(request.patience, longest)
        now = self.clock()
        job = Job(
            id=request_id,
            number=self._numbers,
            listener=listener,
            payload=payload,
            # The module is not told of a node's stop: what is missing would look like time spent elsewhere.
            taken=now,
            deadline=min(now + patience, self.answer_by),
            once=request.job_class in self._once,
        )
        self._jobs[job.number] = self._ids[request_id] = job
        if self.holder is not None:
            self.holder.opened(request_id)
            if conditions is not None:
                job.held = request
                self.holder.hold(request_id, request, conditions, job.deadline, now)
            self._wake()
        if job.held is None:
            # One that is held ends or is released before its deadline; noted here it would be kept till then.
            self._limit(job.deadline, job)
            self._post(request._replace(id=job.number, patience=patience))
        return job

    def hold_with(self, holder: Holder) -> None:
        """Jobs may wait there from now on; it is told of those that are open."""
        self.holder = holder
        for job in self._jobs.values():
            if not job.over:
                holder.opened(job.id)

    def wake(self) -> None:
        """What is due next may be due sooner than it was."""
        self._wake()

    def _may_take(self, request: m.Request) -> float:
        """The longest that a request may be open with the module."""
        return self._longest.get(request.job_class, math.inf)

    def gone(self, job: Job) -> None:
        """The client has left: nothing more is owed."""
        if not job.over:
            self._close(job, None)
            if job.held is None:
                self._post(m.Gone(job.number))
            self._forget(job)

    def find(self, request_id: str, target: str) -> Forward | None:
        """The forward that a call-back names, if it is still waited for."""
        job = self._ids.get(request_id)
        return next((each for each in job.out() if each.target == target), None) if job else None

    def started(self, forward: Forward) -> None:
        """The target has begun the job."""
        if not forward.over:
            self._post(m.Started(forward.job.number, forward.number, forward.target))

    def progressed(self, forward: Forward, share: float) -> None:
        """The target has done this share of the job."""
        if not forward.over:
            self._post(m.Progress(forward.job.number, forward.number, forward.target, share))

    def ended(self, forward: Forward, outcome: m.Outcome, result: bytes | None = None) -> None:
        """A forward's end is known. Told again, or after it was given up, it changes nothing."""
        if forward.over:
            return
        forward.end = outcome
        job = forward.job
        if outcome is m.Outcome.SERVED and not job.over:
            self._answer(job, Served(result or b""))
        elapsed = self.clock() - forward.sent
        self._post(m.Ended(job.number, forward.number, forward.target, outcome, elapsed, job.over))
        self._forget(job)

    def given_up(self, forward: Forward) -> None:
        """The target has heard that nobody waits for this forward any more, or can hold nothing."""
        self.ended(forward, m.Outcome.CANCELLED)

    def listed(self, form: m.Form, entries: Iterable[m.Entry]) -> None:
        """Discovery has spoken."""
        self._post(m.Members(form, list(entries)))

    def probed(self, target: str, outcome: m.Outcome, elapsed: float) -> None:
        """What a probe found."""
        self._post(m.Probed(target, outcome, elapsed))

    # --- time -----------------------------------------------------------------------------------

    def due(self) -> float:
        """When `step` is needed next."""
        if self._events:
            return self._stepped + self.settings.tick
        limit = self._limits[0][0] if self._limits else math.inf
        timer = self._timers[0][0] if self._timers else math.inf
        waiting = self.holder.due(self.clock()) if self.holder is not None else math.inf
        return max(min(limit, timer, waiting), self._stepped + self.settings.tick)

    def step(self) -> None:
        """Hand the module what has happened and carry out what it decides."""
        now = self._stepped = self.clock()
        late = self._expire(now)
        if self.holder is not None:
            self._step_holder(self.holder, now)
        while self._timers and self._timers[0][0] <= now:
            self._events.append(m.Timer(heapq.heappop(self._timers)[1]))
        events, self._events = [self._aged(event, now) for event in self._events], []
        if events:
            try:
                actions = self._node.handle(now, events)
            except Exception as error:
                # Guards against one bad decision ending the node: its jobs still get their answers below.
                self._say("module-failed", error=repr(error))
                actions = []
            for action in actions:
                try:
                    self._carry_out(action, now)
                except Exception as error:
                    # Guards against one action's fault ending the node, or taking the others with it.
                    self._say("action-failed", action=repr(action), error=repr(error))
        for job in late:
            # Guards rule 1 where the module has left a job past its deadline without an answer.
            if not job.over:
                self._say("answered-at-stop" if now >= self.answer_by else "answered-at-deadline", id=job.id)
                self._answer(job, Failed() if job.may_have_run() else FixedResponse())
                if job.held is None:
                    self._post(m.Gone(job.number))
                self._forget(job)

    def _step_holder(self, holder: Holder, now: float) -> None:
        try:
            for verdict in holder.step(now, self._room):
                self._obey(verdict, now)
        except Exception as error:
            # Guards the node, and rule 1, against a fault there: what waits is refused, none waits then on.
            self._say("waiting-failed", error=repr(error))
            self.holder = None
            for job in [job for job in self._jobs.values() if job.held is not None and not job.over]:
                self._answer(job, FixedResponse())
                self._forget(job)

    def _obey(self, verdict: Release | Turned, now: float) -> None:
        """Carry out what becomes of a job that waited."""
        job = self._ids.get(verdict.id)
        if job is None or job.over or job.held is None:
            return
        if isinstance(verdict, Turned):
            self._answer(job, verdict.answer)
            self._forget(job)
            return
        # Its class's time counts from here: what is left of its client's may be longer, or less. The module
        # is told how much it would have had, lest a job released late looks like a late try.
        request, job.held = job.held, None
        longest = self._may_take(request)
        patience = max(0.0, min(job.deadline - now, longest))
        waited = max(0.0, min(request.patience, longest) - patience)
        job.taken, job.deadline = now, min(now + patience, self.answer_by)
        self._limit(job.deadline, job)
        told = request._replace(id=job.number, patience=patience, waited=waited, claim=verdict.claim)
        self._post(told)

    def _room(self) -> float:
        """Slots known to be free at warm executors, beyond what waits for some and a part kept free."""
        node, now = self._node, self.clock()
        warm = (
            worker.room
            for worker in node.members.workers.values()
            if worker.live and not worker.overdue and node.members.warmth(worker, now) >= 1.0
        )
        return _RELEASED_ROOM * sum(warm) - node.held - sum(job.slots for job in node.waiting.values())

    def _aged(self, event: m.Event, now: float) -> m.Event:
        """What is left of a request's patience when the module hears of it.

        Guards against the module's give-up, and its advice to the client, coming after the deadline here.
        """
        job = self._jobs.get(event.id) if isinstance(event, m.Request) else None
        if job is None or not isinstance(event, m.Request):
            return event
        return event._replace(patience=max(0.0, event.patience - (now - job.taken)))

    def _expire(self, now: float) -> list[Job]:
        late = []
        while self._limits and self._limits[0][0] <= now:
            _, _, what = heapq.heappop(self._limits)
            if isinstance(what, Forward):
                self._time_out(what)
            elif not what.over:
                for forward in what.out():
                    self._time_out(forward)
                late.append(what)
        return late

    def _time_out(self, forward: Forward) -> None:
        if not forward.over:
            self.ended(forward, m.Outcome.TIMEOUT)
            # Guards against a second copy: what is timed out here may still run there.
            self.targets.abandon(forward)

    # --- what the module decides ----------------------------------------------------------------

    def _carry_out(self, action: m.Action, now: float) -> None:
        match action:
            case m.Send():
                self._send(action, now)
            case m.Refuse():
                self._finish(action.id, FixedResponse(action.retry_after))
            case m.Fail():
                self._finish(action.id, Failed())
            case m.Cancel():
                self._cancel(action)
            case m.SetTimer():
                heapq.heappush(self._timers, (now + max(0.0, action.delay), action.token))
            case m.Subscribe():
                self.target_list.subscribe()
            case m.Fetch():
                self.target_list.fetch()
            case m.Probe():
                self.targets.probe(action.executor)
            case m.Log():
                self._say("module", text=action.text)

    def _send(self, action: m.Send, now: float) -> None:
        job = self._jobs.get(action.id)
        if job is None:
            return
        until = min(job.deadline, now + action.give_up) if action.give_up else job.deadline
        forward = Forward(job, len(job.forwards), action.executor, now, until)
        # A call-back names its forward by request and target, so a target gets one forward of a request.
        again = any(each.target == action.executor for each in job.forwards)
        job.forwards.append(forward)
        if job.over or again or now >= job.deadline or forward.number >= self.settings.limits.attempts:
            self.ended(forward, m.Outcome.UNSENT)
        elif until <= now:
            self.ended(forward, m.Outcome.TIMEOUT)
        else:
            if until < job.deadline:
                self._limit(until, forward)
            self.targets.send(forward)

    def _finish(self, number: int, answer: Answer) -> None:
        job = self._jobs.get(number)
        if job is not None and not job.over:
            # Guards rule 2: a job that may not run twice is never told that another try does no harm.
            if isinstance(answer, FixedResponse) and job.once and job.may_have_run():
                answer = Failed()
            self._answer(job, answer)
            self._forget(job)

    def _cancel(self, action: m.Cancel) -> None:
        job = self._jobs.get(action.id)
        if job is not None and 0 <= action.attempt < len(job.forwards):
            forward = job.forwards[action.attempt]
            if forward.over:
                return
            if job.over or self.settings.limits.second_copies:
                self.ended(forward, m.Outcome.CANCELLED)
            # Guards rule 2: elsewhere the job may go again only once this forward has been given up, and a
            # target that can't be reached does not hear of it.
            self.targets.abandon(forward)

    def _answer(self, job: Job, answer: Answer) -> None:
        self._close(job, answer)
        job.listener.answer(answer)

    def _close(self, job: Job, answer: Answer | None) -> None:
        job.over = True
        if self.holder is not None:
            # Guards the loop against a chain that ends link by link: nobody is answered from in here.
            self.holder.ended(job.id, answer, self.clock())
            self._wake()

    # --- bookkeeping ----------------------------------------------------------------------------

    def _post(self, event: m.Event) -> None:
        if not self._events:
            self._wake()
        self._events.append(event)

    def _limit(self, at: float, what: Job | Forward) -> None:
        self._order += 1
        heapq.heappush(self._limits, (at, self._order, what))

    def _forget(self, job: Job) -> None:
        if job.over and not job.out():
            self._jobs.pop(job.number, None)
            self._ids.pop(job.id, None)
