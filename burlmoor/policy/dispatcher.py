"""Every decision of one node: which executor runs which job, when, how often, or whether it is turned away.

Types: `burlmoor/types`; design: `docs/design.md`. A job waits in the queue, a round matches it to an
executor by what the worker book has learned, the gate lets each attempt and answer through or not, outcomes
teach the book. `Dispatcher.handle` is the only entry.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from burlmoor.endpoints.endpoint_list import KEY_HOMES, MOST_KEYS, EndpointList
from burlmoor.policy.job import ScheduledAttempt, ScheduledJob
from burlmoor.policy.safety import Gate
from burlmoor.stats.class_weights import ClassWeights
from burlmoor.stats.decayed_mean import DecayedMean
from burlmoor.stats.endpoint import Endpoint
from burlmoor.stats.endpoint_statistics import SKILL_HALF, EndpointStatistics
from burlmoor.types.actions import (
    Action,
    CancelAttempt,
    LogWarning,
    SetTimer,
    WatchEndpoints,
)
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HandoverChanged,
    JobRequest,
    ResponseStarted,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Idempotency, Settings

# Weights of priority, P = ALPHA * Tmin/T + BETA * N/Nmax + DELTA * Pgroup, and what a round's wait adds.
ALPHA, BETA, DELTA, AGING = 1.0, 1.0, 8.0, 0.05
CLAIM = 1.0  # the most that having waited for leave to run adds: as much as haste, far less than worth
ROUND_TICKS = 3.0  # a round gathers jobs for about this many ticks, jittered by half
WIDE, SAVED = 2.5, 0.25  # for jobs of more slots an executor is kept free, of this share of all at most
MISSES = 4  # a round ends after this many jobs in a row found no place
SAMPLE = 4  # executors drawn per job, beside as many that had a slot free a moment ago
KEY_ROOM = 1.5  # as many times the executors that a key's jobs fill are its homes, where that is more
COST_HALF = 64_000.0  # and on what a job costs: nodes that see few jobs need many to agree on it
FULL = 0.8  # jobs are refused once what the waiting ones will have taken passes this share of their aims
MARGIN = 1.16  # what an expected time is taken for
LEAST = 0.2  # a place where the chance to be in time is less counts for none
HOLD = 0.5  # nor does one where it is less than this part of what the fastest kind would give
GOING = 0.6  # of what an executor's time earns of late a job has to promise, where the fleet is full
TASTE = 0.05  # what a preference among executors weighs beside the chance to be in time
FETCH = 2.0  # what the share of a slot's time spent fetching a key weighs beside it: others wait meanwhile
TRIAL = 0.06  # the share of jobs sent even where they look hopeless, lest a wrong estimate stay for good
MOVES, MOVED = 3.0, 0.03  # moves of jobs that have not started: at once, and by each send
MUTE = 3000.0  # an executor that has told nothing for this long may not be working
FAULTS = 2  # an executor with so many faults in a row is left out, but for a test now and then
TEST_AFTER = 500.0  # the first test; each that fails doubles the wait for the next, up to 16 times
SILENCE = 1.5  # an attempt silent for this many progress intervals is taken to hang

_FAULTS = (Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE)


class Dispatcher:
    """The decisions of one node. `handle` takes the events of one moment and returns the actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings, self.limits = settings, settings.limits
        self.rng = random.Random(seed)
        self.actions: list[Action] = []
        self.gate = Gate(settings, self.actions)
        self.book = EndpointStatistics(settings.tick_ms)
        self.members = EndpointList(settings, self.rng)
        self.classes = {job_class.name: job_class for job_class in settings.classes}
        self.shortest_aim = max(1.0, min(job_class.latency_objective_ms for job_class in settings.classes))
        self.quotas = {
            tenant.name: tenant.quota_per_second / settings.node_count for tenant in settings.tenants
        }
        self.sent_by: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.keyed, self.asked = (
            DecayedMean(),
            dict[str, DecayedMean](),
        )  # jobs with a key, and by key, the latest last
        self.full_patience = dict.fromkeys(self.classes, 0.0)
        self.class_work = {job_class.name: DecayedMean() for job_class in settings.classes}
        self.mean_worth, self.costs = DecayedMean(), DecayedMean()
        self.standings, self.crowd = ClassWeights(settings.objective), 0.0
        self.top_worth = 1e-9
        self.moves = MOVES  # that are allowed now
        self.held = 0.0  # slots that own attempts hold over the whole fleet
        self.jobs: dict[int, ScheduledJob] = {}
        self.waiting: dict[int, ScheduledJob] = {}
        self.fresh: dict[Endpoint, None] = {}  # executors where a slot was free, the latest last
        self.saved: set[Endpoint] = set()  # executors kept free in this round for wide jobs that wait
        self.wards, self.wards_at = list[Endpoint](), 0.0  # cold executors that this node may send to
        self.round_at = math.inf
        self.wary = self.strict = True  # whether faults keep jobs away from an executor
        self.agenda: list[
            tuple[float, int, ScheduledJob | None]
        ] = []  # time, order, job to check (None: subscribe)
        self.entries, self.timer_at = 0, math.inf
        self.silence = (
            SILENCE * settings.progress_interval_ms if settings.progress_interval_ms > 0 else math.inf
        )
        self.logged_at: dict[str, float] = {}
        self.handlers: dict[type, Callable[[Any, float], None]] = {
            EndpointListUpdate: self._listed, JobRequest: self._arrived, AttemptStarted: self._started,
            AttemptProgressed: self._progressed, ResponseStarted: self._opened, AttemptEnded: self._ended,
            ClientDisconnected: self._left, HandoverChanged: self._yielded,
        }  # fmt: skip

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in what happened at `now` and decide."""
        self.actions.clear()
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event, now)
        self._due(now)
        return list(self.actions)

    def warm_capacity(self, now: float) -> float:
        """Slots that endpoints past their slow start, with no overdue attempt, are known to have."""
        members = self.members
        return sum(
            worker.room
            for worker in members.workers.values()
            if worker.live and not worker.overdue and members.warmth(worker, now) >= 1.0
        )

    @property
    def slots_in_flight(self) -> float:
        """Slots that this node's attempts hold."""
        return self.held

    @property
    def slots_queued(self) -> float:
        """Slots that the jobs in the queue ask for."""
        return sum(job.slots for job in self.waiting.values())

    def _schedule(self, at: float, job: ScheduledJob | None) -> None:
        self.entries += 1
        heapq.heappush(self.agenda, (at, self.entries, job))

    def _due(self, now: float) -> None:
        if self.timer_at <= now:
            self.timer_at = math.inf
        while self.agenda and self.agenda[0][0] <= now:
            at, _, job = heapq.heappop(self.agenda)
            if job is None:
                self.actions.append(WatchEndpoints())
            elif at == job.check_at:
                self._check(job, now)
        if self.round_at <= now:
            self._round(now)
        wake = min([self.round_at] + [entry[0] for entry in self.agenda[:1]])
        if wake < self.timer_at:
            self.timer_at = wake
            self.actions.append(SetTimer(max(wake - now, 0.0), 0))

    def _say(self, what: str, now: float) -> None:
        if now >= self.logged_at.get(what, -math.inf) + 10_000.0:  # not once per job
            self.logged_at[what] = now
            self.actions.append(LogWarning(what))

    def _listed(self, event: EndpointListUpdate, now: float) -> None:
        failed = event.kind is ListKind.FAILED
        if self.settings.must_poll and (failed or event.kind is ListKind.CACHED):
            self._schedule(now + self.members.next_call(failed), None)
        if not failed:
            self.members.update(event)
            self.wards_at = 0.0

    def _yielded(self, event: HandoverChanged, _now: float) -> None:
        self.members.yielded = event.is_handed_over

    def _arrived(self, event: JobRequest, now: float) -> None:
        job_class = self.classes.get(event.job_class) or self.settings.classes[0]
        work = event.work_ms
        if not 0.0 < work < math.inf:
            work = max(
                1.0,
                self.class_work[job_class.name].read(now, SKILL_HALF, 0.5 * job_class.latency_objective_ms),
            )
        given = (
            event.timeout_ms + event.deferred_ms
        )  # waiting for leave to run is no time spent on earlier tries
        full = self.full_patience[job_class.name] = max(given, self.full_patience[job_class.name])
        job = ScheduledJob(event, job_class, work)
        job.deadline_at = now + event.timeout_ms
        # What the client has spent on earlier tries is gone from the aim too. Who waits for less than the
        # aim itself is in a hurry rather than on a late try: all that it gives is there to be used.
        spent = full - given if event.timeout_ms >= job.aim else 0.0
        job.aim_at = min(job.deadline_at, now + job.aim - spent)
        job.useful_until = job.deadline_at if job_class.late_fraction > 0.0 else job.aim_at
        self.jobs[job.id] = job
        job.trial = self.rng.random() < TRIAL
        self.book.mean_work.add(now, work, SKILL_HALF)
        self.costs.add(now, work * job.slots, COST_HALF)
        self.members.cost = max(1e-3, self.costs.total / self.costs.weight)
        job.worth = job_class.priority_weight * (work if self.settings.weight_by_work else 1.0)
        self.mean_worth.add(now, job.worth, SKILL_HALF)
        within = self._within_share(event.tenant, now)
        share = within + (1.0 - within) * self.settings.over_quota_fraction
        job.counted = job.worth * within
        self.standings.record_request(job_class.name, job.counted, now)
        job.worth *= self.standings.weight(job_class.name, now)
        standing = job.worth / work * share
        self.top_worth = max(self._top(now) or self.top_worth, standing)
        haste = min(1.0, self.shortest_aim / max(job.aim, 1.0))
        job.share = self._share(job.key, now)
        job.standing = (
            ALPHA * haste + BETA * within + DELTA * standing / self.top_worth + CLAIM * event.deferral_credit
        )
        job.check_at = job.deadline_at - self.settings.tick_ms
        self._schedule(job.check_at, job)
        self._wait(job, now, ROUND_TICKS)

    def _top(self, now: float) -> float:
        """The most that a unit of work can be worth by now; 0 where worth does not go by work."""
        if not self.settings.weight_by_work:
            return 0.0
        weigh = self.standings.weight
        return max(each.priority_weight * weigh(each.name, now) for each in self.settings.classes)

    def _share(self, key: str, now: float) -> float:
        """The part of all jobs that asks for this key, low while few have been seen."""
        if not key:
            return 0.0
        asked = self.asked[key] = self.asked.pop(key, DecayedMean())
        if len(self.asked) > MOST_KEYS:
            del self.asked[next(iter(self.asked))]
        for mean in (asked, self.keyed):
            mean.add(now, 1.0, SKILL_HALF)
        return (asked.weight - 0.5) / (self.keyed.weight + 10.0)

    def _within_share(self, tenant: str, now: float) -> float:
        quota = self.quotas.get(tenant, 0.0)
        sent = self.sent_by[tenant if tenant in self.quotas else ""]  # unknown ones share an entry
        sent.add(now, 1.0, SKILL_HALF)
        rate = sent.weight * math.log(2.0) / SKILL_HALF * 1000.0
        return min(1.0, quota / rate) if quota > 0.0 else 1.0

    def _wait(self, job: ScheduledJob, now: float, ticks: float) -> None:
        job.waiting = True
        self.waiting[job.id] = job
        self.round_at = min(self.round_at, now + ticks * self.settings.tick_ms * self.rng.uniform(0.5, 1.5))

    def _round(self, now: float) -> None:
        """Take the top jobs, mark the urgent, match urgent ones first; the rest goes back, raised."""
        self.round_at = math.inf
        queue = [job for job in self.waiting.values() if job.waiting and not job.done]
        queue.sort(key=lambda job: job.standing + AGING * job.rounds, reverse=True)
        faults = [worker.faults for worker in self.members.live]
        self.wary = 2 * sum(each > 0 for each in faults) <= len(faults)
        self.strict = 2 * sum(each >= FAULTS for each in faults) <= len(faults)
        room = sum(worker.room for worker in self.members.live)
        # What all nodes hold, against twice the room that one has learnt: of many, each alone holds little.
        together = self.held * self.settings.node_count / max(1.0, 2.0 * room)
        self.crowd = min(1.0, together)
        pace, fleet = self.book.pace(now), self.book.fleet_slow.read(now, SKILL_HALF, 1.0)
        queue = self._shed(queue, fleet, now)
        for job in queue:  # urgent: one more round of waiting would lose its aim
            job.urgent = now + 2.0 * ROUND_TICKS * self.settings.tick_ms + 1.5 * fleet * job.work > job.aim_at
        most_urgent = 2 * sum(job.urgent for job in queue) > len(queue)
        self.waiting, misses = {}, 0
        self.saved.clear()
        if now >= self.wards_at:
            self.wards = self.members.lent(self.book, now)
            self.wards_at = now + 0.1 * self.settings.rules.overload_window_ms
        for job in sorted(queue, key=lambda job: not job.urgent):
            job.waiting = misses >= MISSES or not self._place(job, most_urgent, now, pace)
            misses = misses + 1 if job.waiting else 0
            if job.waiting:
                job.rounds += 1
                self.waiting[job.id] = job
        if self.waiting:
            self.round_at = now + ROUND_TICKS * self.settings.tick_ms * self.rng.uniform(0.5, 1.5)

    def _shed(self, queue: list[ScheduledJob], fleet: float, now: float) -> list[ScheduledJob]:
        """Refuse what can no longer count, and under full load the least worth."""
        best = self.book.fastest(now, 0.5)
        together = max(1.0, self.held, self.members.size / self.settings.node_count)
        kept, extra, ahead, taken, aims = list[ScheduledJob](), list[ScheduledJob](), 0.0, 0.0, 0.0
        for job in queue:
            if now + best * job.work * (not job.trial) > max(job.useful_until, now):
                job.waiting = False
                if not job.out():
                    self._give_up(job, now)
                continue
            if job.rounds > 0:
                # Equation 2: time that waiting jobs will have taken, against what they were promised.
                ahead += fleet * job.work * job.slots / together
                taken += now - (job.aim_at - job.aim) + ahead + fleet * job.work
                aims += job.aim + ROUND_TICKS * self.settings.tick_ms
            full = job.rounds > 0 and taken > FULL * aims and not job.attempts
            (extra if full else kept).append(job)
        for job in reversed(extra):
            self._give_up(job, now)
        if extra:
            self._say("overload: refusing the least worth", now)
        return kept

    def _give_up(self, job: ScheduledJob, now: float) -> None:
        self.gate.finish(job, self.rng.uniform(0.5, 1.0) * self.limits.max_retry_after_ms)
        self._forget(job)

    def _trusted(self, job: ScheduledJob, worker: Endpoint, now: float) -> bool:
        """Whether the job may go there for all that is known of the executor's faults.

        Guards against executors that fail at once, always free: one repeatable job at a time tests them.
        """
        if worker.faults < FAULTS:
            return not (
                worker.faults and self.wary and job.job_class.idempotency is Idempotency.NON_IDEMPOTENT
            )
        if not self.strict:
            return True
        harmless = job.job_class.idempotency is Idempotency.IDEMPOTENT
        return harmless and worker.slots <= 0.0 and now >= worker.test_at

    def _open(self, job: ScheduledJob, drawn: list[Endpoint], now: float) -> Iterator[Endpoint]:
        """Those of the executors drawn that may have room for the job and that the rules allow."""
        tried = [attempt.worker for attempt in job.attempts]
        for worker in dict.fromkeys(drawn):
            slots, memory = worker.slots + job.slots, worker.memory + job.memory
            fits = worker.slots <= 0.0 or (slots <= worker.room and memory <= worker.room)
            usable = worker.live and not worker.overdue and job.job_class.required_kind in (None, worker.kind)
            trusted = worker not in self.saved and self._trusted(job, worker, now)
            if fits and usable and trusted and worker not in tried and self.gate.may_send(job, worker, now):
                yield worker

    def _place(self, job: ScheduledJob, most_urgent: bool, now: float, pace: float) -> bool:
        """Send the job to the best of a few executors, if one is likely to finish it in time."""
        reach, prices = self.members.reach(job.job_class.required_kind), self.settings.prices
        # An executor that is left out is stood in for by the next in the key's order.
        homes = reach.home(job.key)
        if self.strict:
            homes = [worker for worker in homes if worker.faults < FAULTS or now >= worker.test_at]
        # Guards against jobs refused beside free executors: a key that many ask for fills more of them, and a
        # cold home takes little, so another stands by.
        filled = job.share * len(homes)
        size = max(KEY_HOMES, math.ceil(KEY_ROOM * filled))
        homes = homes[: size + sum(self.members.warmth(each, now) < 1.0 for each in homes[:size])]
        having = homes[: max(1, math.ceil(filled))]  # other nodes' jobs have brought the key there
        if size > KEY_HOMES:
            self.rng.shuffle(homes)  # guards against all nodes sending to the first ones
        band = self.book.band(job.work, now)
        left = max(job.useful_until - now, 1e-3)
        setup = self.book.setup(now) if job.key else 0.0
        fastest = self.book.fastest(now, 1.0)
        hope = self.book.chance(job.job_class.name, MARGIN * fastest * job.work, left, now)
        going = GOING * self.crowd
        mean_worth = self.mean_worth.read(now, SKILL_HALF, job.worth) / job.worth
        # Urgent: fast, and roomy only where most are urgent. Bulk: roomy and slower.
        fast, roomy = (1.0, 1.0 if most_urgent else -1.0) if job.urgent else (-1.0, 1.0)
        ranked: list[tuple[float, int, Endpoint, bool, float, float]] = []
        drawn = [*(homes or [*self.fresh, *reach.sample(self.rng, SAMPLE, 2)]), *self.wards]
        for looked, worker in enumerate(self._open(job, drawn, now)):
            if homes and looked >= SAMPLE and ranked and worker not in self.wards:
                continue
            warmth = self.members.warmth(worker, now)
            fetch = setup if homes and job.key not in worker.keys and worker not in having else 0.0
            kind = self.book.kind(worker.kind, now)
            slowness = self.book.slowness(worker, band, kind, now)
            # A cold executor lacks cores, not speed: jobs are slowed there once they hold more than it has.
            crowd = (worker.slots + job.slots) / (warmth * worker.room) if warmth < 1.0 else 1.0
            run = job.work * slowness * max(1.0, crowd) + fetch
            expected = self.book.delay(worker, now, pace) + run
            chance = self.book.chance(job.job_class.name, MARGIN * expected, left, now)
            rate = chance * job.worth / run
            # Guards against late jobs, and against those that take a slot from others who make more of it.
            poor = chance < max(LEAST, HOLD * hope) or rate < going * self.book.value(worker, now)
            cost = job.work * job.slots
            cold = warmth < 1.0 and not self.members.cold_allows(worker, cost, self.book, now)
            if cold or (poor and not job.trial):
                continue
            loss = 1.0 - self.book.stability(worker, now) * chance
            loss += (TASTE + FETCH * fetch / run) * (fetch > 0.0)
            if worker.zone != self.settings.zone:
                loss += prices.cross_zone * mean_worth
            loss -= TASTE * (fast * min(2.0, job.work / run) + roomy * (1.0 - worker.slots / worker.room))
            ranked.append((loss, looked, worker, fetch > 0.0, expected, rate))
        if not ranked:
            self._save(job, drawn, now)
            return False
        _, _, best, fetches, expected, rate = min(ranked)
        self.book.learn_value(best, rate, now)
        self._send(job, best, fetches, now)
        job.attempts[-1].expected = expected
        return True

    def _save(self, job: ScheduledJob, drawn: list[Endpoint], now: float) -> None:
        """Keep an executor free for a wide job: others would take each slot there as it comes free."""
        if job.slots <= WIDE or len(self.saved) >= SAVED * len(self.members.workers):
            return
        filled = [each for each in dict.fromkeys(drawn) if each.live and not each.overdue]
        filled = [each for each in filled if self.gate.may_send(job, each, now)]
        if filled:
            self.saved.add(min(filled, key=lambda worker: worker.slots))

    def _send(self, job: ScheduledJob, worker: Endpoint, missed_key: bool, now: float) -> None:
        look_at = now + (self.book.grace(worker.zone) if self.settings.reports_start else self.silence)
        started = None if self.settings.reports_start else now
        self.gate.send(job, ScheduledAttempt(len(job.attempts), worker, now, missed_key, look_at, started))
        worker.slots += job.slots
        self.moves = min(MOVES, self.moves + MOVED)
        self.held += job.slots
        worker.memory += job.memory
        worker.credit -= job.work * job.slots / self.members.cost
        self.fresh.pop(worker, None)
        if job.key:
            worker.keys.pop(job.key, None)
            worker.keys[job.key] = now
            if len(worker.keys) > max(2.0, worker.room):  # about one data set is kept for each slot
                del worker.keys[next(iter(worker.keys))]
        self._watch(job, now)

    def _attempt(self, ref: int, number: int) -> tuple[ScheduledJob, ScheduledAttempt] | None:
        job = self.jobs.get(ref)
        if job is None or not 0 <= number < len(job.attempts) or job.attempts[number].ended is not None:
            return None
        return job, job.attempts[number]

    def _watch(self, job: ScheduledJob, now: float) -> None:
        """Plan the next look at a job whose attempts are out."""
        looks = [attempt.look_at for attempt in job.out()] + [job.deadline_at - self.settings.tick_ms]
        if now < job.useful_until:
            looks.append(job.useful_until)
        job.check_at = max(min(looks), now + self.settings.tick_ms)
        self._schedule(job.check_at, job)

    def _check(self, job: ScheduledJob, now: float) -> None:
        """Something about this job should have happened by now."""
        if job.done or job.streaming:
            return
        started = any(attempt.started is not None for attempt in job.out())
        if now >= job.deadline_at - self.settings.tick_ms or (now >= job.useful_until and not started):
            # Rule 1; and what has not even started when it can no longer count must free its place.
            self._give_up(job, now)
            return
        for attempt in job.out():
            if now < attempt.look_at:
                continue
            attempt.look_at = now + self.silence
            if attempt.started is None and not attempt.overdue:
                # Not started by now: it waits behind others. Nothing more goes there until it starts.
                attempt.overdue = True
                attempt.worker.overdue += 1
                self.book.learn_delay(attempt.worker, now - attempt.sent, now, started=False)
                # Guards against moves that feed an overload: few jobs may move, while prompt starts are to be
                # had, from executors that tell nothing. What is moved may run there all the same.
                pays = self.book.promptness.read(now, SKILL_HALF, 1.0) * self.limits.max_attempts > 1.0
                mute = attempt.worker.heard < now - MUTE and self.moves >= 1.0
                if pays and mute and job.job_class.idempotency is Idempotency.IDEMPOTENT:
                    self.moves -= 1.0
                    self._move(job, attempt, now)
            else:
                self.book.learn_clean(attempt.worker, False, now)
                self._say("silent executors: moving repeatable work away", now)
                self._move(job, attempt, now)
        self._watch(job, now)

    def _move(self, job: ScheduledJob, attempt: ScheduledAttempt, now: float) -> None:
        """Redistribute a job that is held up, where its class allows a repeat and attempts are left."""
        spent = len(job.attempts) >= self.limits.max_attempts
        if (
            spent
            or job.waiting
            or not self.limits.may_cancel
            or job.job_class.idempotency is Idempotency.NON_IDEMPOTENT
        ):
            return
        if not self.limits.may_hedge:
            self.actions.append(CancelAttempt(job.id, attempt.number))
        elif len(job.out()) == 1:
            self._wait(job, now, 1.0)

    def _started(self, event: AttemptStarted, now: float) -> None:
        found = self._attempt(event.id, event.attempt)
        if found is None:
            return
        job, attempt = found
        worker = attempt.worker
        attempt.started, worker.heard, attempt.look_at = now, now, now + self.silence
        worker.overdue -= attempt.overdue
        attempt.overdue = False
        self.book.learn_delay(worker, now - attempt.sent, now)
        if now - attempt.sent <= self.book.grace(worker.zone):
            self._freed(worker)
        if not job.done:
            job.waiting = False
            self.gate.drop(job, but=attempt)

    def _progressed(self, event: AttemptProgressed, now: float) -> None:
        found = self._attempt(event.id, event.attempt)
        if found is None:
            return
        job, attempt = found
        attempt.look_at = now + self.silence
        attempt.worker.heard = now
        if attempt.started is not None and event.fraction > 0.0:
            whole = (now - attempt.started) / min(1.0, event.fraction)
            self.book.learn_run(attempt.worker, job.work, whole, now, 0.5)

    def _freed(self, worker: Endpoint) -> None:
        """A slot there is, or was a moment ago, free: the best that a node can know."""
        self.fresh.pop(worker, None)
        self.fresh[worker] = None
        if len(self.fresh) > SAMPLE:
            del self.fresh[next(iter(self.fresh))]

    def _ended(self, event: AttemptEnded, now: float) -> None:
        found = self._attempt(event.id, event.attempt)
        if found is None:
            return
        job, attempt = found
        worker = attempt.worker
        attempt.ended = event.outcome
        if event.outcome is Outcome.SERVED:
            worker.heard = now
        if attempt.overdue:
            self.book.learn_delay(worker, now - attempt.sent, now, started=False)
        worker.overdue -= attempt.overdue
        attempt.overdue = False
        worker.slots = max(0.0, worker.slots - job.slots)
        self.held -= job.slots
        worker.memory = max(0.0, worker.memory - job.memory)
        self._learn(job, attempt, event.elapsed_ms, now)
        if event.is_job_closed:
            self.gate.close(job)
        elif not job.done:
            self._retry(job, now)
        self._forget(job)

    def _learn(self, job: ScheduledJob, attempt: ScheduledAttempt, elapsed: float, now: float) -> None:
        worker, outcome = attempt.worker, attempt.ended
        mute = outcome in (Outcome.CANCELLED, Outcome.TIMEOUT) and worker.heard < attempt.sent
        if outcome is Outcome.SERVED:
            worker.faults = 0
        elif outcome in _FAULTS or (mute and now - attempt.sent > TEST_AFTER):
            worker.faults += 1
            worker.test_at = now + TEST_AFTER * 2.0 ** max(0, min(worker.faults - FAULTS, 4))
        if outcome is Outcome.SERVED:
            self.book.learn_finish(job.job_class.name, attempt.expected, now - attempt.sent, now)
            if not job.done:
                part = 1.0 if now <= job.aim_at else job.job_class.late_fraction
                self.standings.record_served(job.job_class.name, part * job.counted, now)
            run = now - attempt.started if attempt.started is not None else elapsed
            if job.key:
                kind = self.book.kind(worker.kind, now)
                usual = job.work * self.book.slowness(worker, self.book.band(job.work, now), kind, now)
                (self.book.miss if attempt.missed_key else self.book.hit).add(now, run - usual, SKILL_HALF)
                if attempt.missed_key:
                    run = max(0.25 * run, run - self.book.setup(now))
            self.class_work[job.job_class.name].add(now, run, SKILL_HALF)
            slow = self.book.learn_run(worker, job.work, run, now)
            self.book.learn_clean(worker, now <= job.aim_at or slow < 1.5, now)
            if not worker.overdue:
                self._freed(worker)
        elif outcome in _FAULTS:
            self.book.learn_clean(worker, False, now)
        elif outcome is Outcome.OVERLOADED:
            worker.delay.add(now, self.book.pace(now), self.book.pace(now), 2.0)
            worker.room = max(1.0, 0.9 * worker.room)
            self.fresh.pop(worker, None)

    def _retry(self, job: ScheduledJob, now: float) -> None:
        """An attempt brought no answer: send again where that is safe, else end the job."""
        if job.out() or job.waiting:
            return
        last = (job.risky() or job.attempts)[-1]
        if now < job.useful_until and self.gate.may_send(job, last.worker, now):
            job.rounds += 1
            self._wait(job, now, 1.0)
        else:
            self._give_up(job, now)

    def _opened(self, event: ResponseStarted, _now: float) -> None:
        if event.id in self.jobs:
            self.jobs[event.id].streaming = True

    def _left(self, event: ClientDisconnected, _now: float) -> None:
        job = self.jobs.get(event.id)
        if job is not None:
            self.gate.close(job)
            self._forget(job)

    def _forget(self, job: ScheduledJob) -> None:
        if job.done and not job.out():
            self.jobs.pop(job.id, None)
