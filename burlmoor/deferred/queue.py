"""Holds the jobs that wait, for the core: takes them in within its caps, says who goes and who ends.

Knows no socket and no thread. The core gives it the time; Unix time it reads from the clock it is given.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from immutables import Map

from burlmoor.config.options.sections import DeferredOptions
from burlmoor.deferred.dependency_graph import Bounds, Graph, Reason, Waiter
from burlmoor.deferred.rate_control import Bucket, Line, Window
from burlmoor.engine.answers import DependencyFailed, FinalAnswer, Rejected, Served
from burlmoor.engine.deferral import EndedJob, ReleasedJob, RunConditions
from burlmoor.log import EventLogger
from burlmoor.types.events import JobRequest

_AT_ONCE = 100  # jobs handed out by one step, so that the loop is not held up by a long chain
_LONGEST_ADVICE = 3_600_000.0  # ms
_CLOCK_CHECK = 1000.0  # ms after which Unix time is read again while a job waits for it: it may step
_SAID = {
    Reason.PARENT: "a job that this one runs after was not served",
    Reason.CYCLE: "a job that this one runs after runs after this one",
}


class Seen(NamedTuple):
    """One job that waits, as operators are shown it."""

    job_class: str
    reason: str
    since: float
    size: int


class _Held(NamedTuple):
    waiter: Waiter
    job_class: str
    slots: float
    size: int


def _bounds(given: DeferredOptions, places: int) -> Bounds:
    jobs = min(given.max_jobs, max(1, int(places * given.connection_share)))
    return Bounds(jobs, given.max_dependents, given.unknown_timeout_ms, given.history_ms, given.history_size)


class DeferredJobQueue:
    """Owns the graph of what waits, its caps, and the snapshot that is shown.

    `places` are the clients' connections that the node may have; `advice` the most that refusals advise, ms.
    """

    def __init__(
        self,
        given: DeferredOptions,
        places: int,
        advice: float,
        seed: int,
        log: EventLogger,
        now: float,
        unix: Callable[[], float] = lambda: time.time() * 1000.0,
    ) -> None:
        self._given, self._places, self._advice, self._log, self._unix = given, places, advice, log, unix
        self._rng = random.Random(seed)
        self._graph = Graph(_bounds(given, places))
        self._line: Line[Waiter] = Line(Bucket(given.release_rate, given.release_burst, now))
        self._window = Window()
        self._held: dict[str, _Held] = {}
        self._out: set[str] = set()  # released and not over
        self._shut = False
        self._stale: dict[str, None] = {}  # whose entry in the snapshot is to be made anew
        self.bytes = 0
        self.seen: Map[str, Seen] = Map()
        self.max_deferral_ms = given.max_deferral_ms
        self.released = self.turned = 0

    @property
    def bounds(self) -> Bounds:
        """The caps that hold now."""
        return self._graph.bounds

    @property
    def held(self) -> int:
        """How many jobs wait."""
        return len(self._held)

    def take_up(self, given: DeferredOptions, now: float) -> None:
        """Other options hold from now on; what waits already goes on by the times it was given."""
        self._given, self.max_deferral_ms = given, given.max_deferral_ms
        self._graph.bounds = _bounds(given, self._places)
        self._line.bucket = Bucket(given.release_rate, given.release_burst, now)

    def shut(self, shut: bool) -> None:
        """Whether clients are sent away: then what waits ends, and whoever comes to wait."""
        if shut and not self._shut and self._held:
            self._log("deferred-ended", jobs=len(self._held))
            self._graph.close()
        self._shut = shut

    # --- what the core tells ----------------------------------------------------------------------

    def on_job_opened(self, ref: str) -> None:
        """The node has taken a job."""
        self._graph.opened(ref)
        self._touch_children(ref)

    def on_job_ended(self, ref: str, answer: FinalAnswer | None, now: float) -> None:
        """A job is over, with its answer; None where its client has left."""
        self._touch_children(ref)
        served = isinstance(answer, Served)
        self._graph.ended(ref, served, now)
        self._let_go(ref)
        if ref in self._out:
            self._out.discard(ref)
            if served or isinstance(answer, Rejected):
                # Guards released jobs against each other: where they are refused, fewer are let go at a time.
                self._line.bucket.learn(served, now)
                self._window.learn(served, now)

    def defer(
        self, ref: str, request: JobRequest, conditions: RunConditions, deadline: float, now: float
    ) -> None:
        """A job that was just opened is to wait; what becomes of it comes out of `step`, never at once."""
        latest = deadline - request.work_ms - self._given.min_remaining_ms
        unix = self._unix()
        full = self.bytes + conditions.size_bytes > self._given.max_body_bytes
        waiter = self._graph.add(ref, conditions.after, conditions.not_before_unix_ms, latest, now, unix)
        if self._shut:
            self._graph.turn(waiter, Reason.CLOSED)
        elif full:
            self._graph.turn(waiter, Reason.FULL)
        if waiter.ending is Reason.FULL:
            self._log("deferred-full", jobs=len(self._held), bytes=self.bytes)
        self._held[ref] = _Held(waiter, request.job_class, request.slots, conditions.size_bytes)
        self.bytes += conditions.size_bytes
        self._stale[ref] = None

    # --- what the core is told --------------------------------------------------------------------

    def next_due(self, now: float) -> float:
        """When `step` is needed next."""
        unix = self._unix()
        at = min(self._graph.due(now, unix), self._line.due(now))
        return min(at, now + _CLOCK_CHECK) if self._graph.timed else at

    def step(self, now: float, room: Callable[[], float]) -> list[ReleasedJob | EndedJob]:
        """Who is let go and who ends now, at most some at a time. `room`: slots known free at executors."""
        unix, out = self._unix(), list[ReleasedJob | EndedJob]()
        while len(out) < _AT_ONCE and (waiter := self._graph.next(now, unix)) is not None:
            if waiter.ending is None:
                self._line.put(waiter.latest, self._held[waiter.id].slots, waiter)
                self._stale[waiter.id] = None
                continue
            answer = self._answer(waiter, unix)
            out.append(EndedJob(waiter.id, answer))
            self.turned += 1
            # Told here, not once the core has answered: a long chain ends in one go, not a link a step.
            self.on_job_ended(waiter.id, answer, now)
        left = math.nan  # asked for only where somebody may go
        while len(out) < _AT_ONCE and (first := self._line.first()) is not None:
            if first.id not in self._held or first.ending is not None:
                self._line.skip()
                continue
            left = room() if math.isnan(left) else left
            seems = left if len(self._out) < self._window.size else -math.inf
            going = self._line.next(now, seems)
            if going is None:
                break
            waiter, left = going[0], left - going[1]
            claim = min(1.0, (now - waiter.since) / self._given.full_credit_ms)
            out.append(ReleasedJob(waiter.id, claim))
            self.released += 1
            self._out.add(waiter.id)
            self._let_go(waiter.id)
            self._graph.remove(waiter.id)
        self._refresh()
        return out

    def _answer(self, waiter: Waiter, unix: float) -> FinalAnswer:
        if waiter.ending in _SAID:
            return DependencyFailed(_SAID[waiter.ending])
        advice = self._advice * self._rng.uniform(0.5, 1.0)
        if waiter.ending is Reason.HOPELESS and waiter.not_before > unix:
            # Before its time a job can't run here either.
            advice = min(_LONGEST_ADVICE, waiter.not_before - unix)
        return Rejected(advice)

    # --- bookkeeping ------------------------------------------------------------------------------

    def _touch_children(self, ref: str) -> None:
        self._stale.update(dict.fromkeys(self._graph.waiting_for(ref)))

    def _let_go(self, ref: str) -> None:
        held = self._held.pop(ref, None)
        if held is not None:
            self.bytes -= held.size
            self._stale[ref] = None

    def _refresh(self) -> None:
        """Make the snapshot's stale entries anew, all in one step: readers keep the map that they have."""
        if not self._stale:
            return
        with self.seen.mutate() as seen:
            for ref in self._stale:
                held = self._held.get(ref)
                if held is not None:
                    reason = held.waiter.reason.value
                    seen[ref] = Seen(held.job_class, reason, held.waiter.since, held.size)
                else:
                    seen.pop(ref, None)
            self.seen = seen.finish()
        self._stale.clear()
