"""Many dispatchers that share stand-in executors, on a fake clock: what is harmless at one is summed here."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import CancelAttempt, FailJob, RejectJob, SetTimer, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointListUpdate,
    Event,
    JobRequest,
    TimerFired,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Settings

NET = 2.0  # ms that news takes between a node and an executor


@dataclass
class StandIn:
    """An executor: so many jobs run at once, the others wait in order."""

    entry: EndpointEntry
    free: int = 4  # slots
    silent: bool = False  # it vanished: it tells nothing
    bad: bool = False  # it answers each job with an error at once
    queue: deque[tuple[int, int, int]] = field(default_factory=deque)  # node, job, attempt


@dataclass
class Fleet:
    """Nodes, executors and a clock; jobs are given with `ask`."""

    given: Settings
    listed: Sequence[EndpointEntry]
    seed: int = 1
    slots: int = 4
    now: float = 1000.0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        count, given = self.given.node_count, self.given
        self.nodes = [Dispatcher(replace(given, node_index=n), self.seed * 1000 + n) for n in range(count)]
        self.stands: dict[str, StandIn] = {}
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order = self.ids = 0
        self.jobs: dict[int, tuple[float, float, str]] = {}  # asked at, work, key
        self.tries: Counter[tuple[int, int]] = Counter()
        self.out: set[tuple[int, int, int]] = set()
        self.done: dict[int, str] = {}
        self.sends: list[tuple[float, str, float]] = []  # when, to whom, work
        self.list_to(range(len(self.nodes)), ListKind.CACHED, self.listed)

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Have something happen then."""
        self.order += 1
        heapq.heappush(self.due, (when, self.order, what))

    def list_to(self, nodes: Iterable[int], form: ListKind, entries: Sequence[EndpointEntry]) -> None:
        """Tell some nodes a list; executors that are new stand ready."""
        for each in entries:
            known = self.stands.get(each.endpoint)
            if known is None or known.entry.started_at != each.started_at:
                self.stands[each.endpoint] = StandIn(each, self.slots)
        for node in nodes:
            self.tell(node, EndpointListUpdate(form, list(entries)))

    def ask(
        self, job_class: str, work: float, key: str = "", patience: float = 5000.0, node: int | None = None
    ) -> None:
        """A client's job, at any node or at a given one."""
        self.ids += 1
        self.jobs[self.ids] = (self.now, work, key)
        node = self.rng.randrange(len(self.nodes)) if node is None else node
        self.tell(node, JobRequest(self.ids, job_class, patience, work, affinity_key=key))

    def load(
        self, rate: float, until: float, make: Callable[[random.Random], tuple[str, float, str]]
    ) -> None:
        """Ask at so many a second until then; `make` draws class, work and key."""

        def once() -> None:
            self.ask(*make(self.rng))
            if self.now < until:
                self.at(self.now + self.rng.expovariate(rate / 1000.0), once)

        self.at(self.now, once)

    def run(self, until: float) -> None:
        """Let what is due happen."""
        while self.due and self.due[0][0] <= until:
            self.now, _, what = heapq.heappop(self.due)
            what()
        self.now = until

    def tell(self, node: int, event: Event) -> None:
        """Tell one node, and carry out what it decides."""
        for action in self.nodes[node].handle(self.now, [event]):
            match action:
                case StartAttempt():
                    self._send(node, action)
                case SetTimer():
                    self.at(self.now + max(action.delay_ms, 1.0), lambda: self.tell(node, TimerFired(0)))
                case CancelAttempt():
                    self._end(node, action.id, action.attempt, Outcome.CANCELLED)
                case RejectJob() | FailJob():
                    self.done.setdefault(action.id, "refused")

    def _send(self, node: int, send: StartAttempt) -> None:
        number, stand = self.tries[node, send.id], self.stands[send.endpoint]
        self.tries[node, send.id] += 1
        self.out.add((node, send.id, number))
        self.sends.append((self.now, send.endpoint, self.jobs[send.id][1]))
        if stand.bad:
            self._end(node, send.id, number, Outcome.ERROR, send.endpoint)
        elif not stand.silent:
            stand.queue.append((node, send.id, number))
            self.at(self.now + NET, lambda: self._next(stand))

    def _next(self, stand: StandIn) -> None:
        while stand.queue and stand.free > 0 and not stand.silent:
            node, job, number = stand.queue.popleft()
            if (node, job, number) not in self.out:
                continue
            stand.free -= 1
            name = stand.entry.endpoint
            self.tell(node, AttemptStarted(job, number, name))
            self.at(self.now + self.jobs[job][1], partial(self._ran, stand, node, job, number))

    def _ran(self, stand: StandIn, node: int, job: int, number: int) -> None:
        stand.free += 1
        if not stand.silent:
            self._end(node, job, number, Outcome.SERVED, stand.entry.endpoint)
        self._next(stand)

    def _end(self, node: int, job: int, number: int, outcome: Outcome, name: str = "") -> None:
        if (node, job, number) not in self.out:
            return
        self.out.discard((node, job, number))
        served = outcome is Outcome.SERVED
        over = served or job in self.done
        if served:
            self.done.setdefault(job, "served")
        at, elapsed = self.now + NET, self.now - self.jobs[job][0]
        self.at(at, lambda: self.tell(node, AttemptEnded(job, number, name, outcome, elapsed, over)))

    def share_of(self, end: str, key: str | None = None) -> float:
        """The part of all jobs, or of a key's, that ended so."""
        asked = [job for job, (_, _, each) in self.jobs.items() if key in (None, each)]
        return sum(self.done.get(job) == end for job in asked) / len(asked)
