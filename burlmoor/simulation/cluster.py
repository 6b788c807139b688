"""A town of nodes, executors, clients and a list, on one event queue with a virtual clock.

Nodes are the shipped `Engine` with its `Dispatcher`; executors are `testbed/executor_model.py`. What the
sockets of a real node would tell is told here as outcomes, by the protocol's table. All is drawn from one
seed, and the same seed plays the same town. Times are ms. What the far sides saw stands in `Asked` and
`Attempt`; `audit.py` judges it.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from burlmoor.engine.answers import FinalAnswer
from burlmoor.engine.engine import Engine
from burlmoor.engine.job import Attempt, Job
from burlmoor.testbed.executor_model import ExecutorModel, ExecutorSpec, JobProgress
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import DeduplicationScope, Idempotency, Settings

DROPPED = b"dropped"  # stands for the answer to a repeat that executors knew by its key


SPEC = ExecutorSpec(
    cores=4.0,
    slots=4,
    queue_capacity=12,
    initial_capacity_fraction=0.2,
    slow_start_ms=4000.0,
    progress_interval_ms=500.0,
)


@dataclass(frozen=True)
class ClusterSpec:
    """What a town is made of."""

    settings: Settings
    zones: tuple[str, ...] = ("a",)
    executors: int = 6
    spec: ExecutorSpec = SPEC
    net: float = 2.0  # one way
    list_delay: tuple[float, float] = (50.0, 400.0)  # until a change is told, drawn for each node
    cancels: str = "none"  # what giving up frees: `none` or `waiting`, what has not begun
    weights: str = "nominal"  # `none`, `nominal`, `live`
    lost: float = 0.0  # the share of attempts whose end is never told
    reset: float = 0.0  # the share whose connection breaks after they were taken


@dataclass(slots=True)
class ClientRecord:
    """A job as its client saw it."""

    id: str
    job_class: str
    tenant: str
    sent: float
    patience: float
    work: float
    node: int
    answers: list[tuple[float, FinalAnswer]] = field(default_factory=list)
    died: bool = False  # its node was killed: nobody owes it anything
    left: float = math.inf  # when its client closed its connection


@dataclass(slots=True)
class ExecutorRecord:
    """A forward as its executor saw it. `known` is how its end was told to the node, if it was."""

    id: str
    executor: str
    zone: str
    cell: int
    node: int
    sent: float
    cost: float
    start: float  # when that executor had started; 0: long ago
    life: int = 0  # of the node: what an earlier one sent is nothing to the next
    began: float | None = None
    known: Outcome | None = None
    known_at: float = math.inf


@dataclass(slots=True)
class _Stand:
    entry: EndpointEntry
    machine: ExecutorModel
    up: bool = True
    due: float = math.inf
    holds: dict[str, tuple[ExecutorRecord, Attempt]] = field(default_factory=dict)


class SimulatedCluster:
    """Owns the clock, all parties and their ledgers."""

    def __init__(self, town: ClusterSpec, seed: int) -> None:
        self.town, self.rng, self.now = town, random.Random(seed), 1_000_000.0
        self.asked: dict[str, ClientRecord] = {}
        self.attempts: list[ExecutorRecord] = []
        # When, to which node, of whom; its state and start.
        self.told: list[tuple[float, int, str, EndpointState, float]] = []
        self.faults: list[str] = []  # what nodes said of themselves that must not be
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self.stands: dict[str, _Stand] = {}
        for number in range(town.executors):
            self._start(f"x{number}", town.zones[number % len(town.zones)], 0.0)
        self._seed = seed
        self.nodes: list[Node | None] = [None] * town.settings.node_count
        for number in range(town.settings.node_count):
            self.nodes[number] = Node(self, number, 0)

    # --- the clock ------------------------------------------------------------------------------

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Have something happen then, or now if that is past."""
        self._order += 1
        heapq.heappush(self._queue, (max(when, self.now), self._order, what))

    def run(self, until: float) -> None:
        """Let all that is due by then happen."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = until

    # --- clients --------------------------------------------------------------------------------

    def ask(self, node: int, job_class: str, work: float, tenant: str = "", hint: float = 1.0) -> None:
        """A client hands in a job; `hint` is how far its hint of the work is off."""
        given = next(each for each in self.town.settings.classes if each.name == job_class)
        ref = f"r{len(self.asked)}"
        row = ClientRecord(ref, job_class, tenant, self.now, given.deadline_ms, work, node)
        there = self.nodes[node]
        if there is None:
            return  # refused at the door: the client never handed it in
        self.asked[ref] = row
        key = f"k{self.rng.randrange(20)}"
        there.take(
            row, JobRequest(0, job_class, given.deadline_ms, work * hint, tenant=tenant, affinity_key=key)
        )

    def leave(self, ref: str) -> None:
        """A client closes its connection, if it still waits for its answer."""
        row = self.asked[ref]
        node = self.nodes[row.node]
        if node is not None and ref in node.jobs and not row.answers:
            row.left = self.now
            node.core.on_client_disconnected(node.jobs[ref])

    # --- the list -------------------------------------------------------------------------------

    def entry(self, name: str) -> EndpointEntry:
        """An executor as the list has it now."""
        stand = self.stands[name]
        cores = self.town.spec.cores
        weight = {"none": 1.0, "nominal": cores}.get(
            self.town.weights, cores / (1.0 + stand.machine.job_count / cores)
        )
        return stand.entry._replace(weight=weight)

    def listed(self) -> list[EndpointEntry]:
        """The whole list: who has left is not on it."""
        entries = [self.entry(name) for name in self.stands]
        return [entry for entry in entries if entry.state is not EndpointState.GONE]

    def change(self, *names: str) -> None:
        """Tell every node of these executors, each after a delay of its own."""
        entries = [self.entry(name) for name in names]
        for node in self.nodes:
            if node is not None:
                self.at(self.now + self.rng.uniform(*self.town.list_delay), lambda n=node: n.hear(entries))  # type: ignore[misc]

    def _start(self, name: str, zone: str, started: float) -> None:
        number = len(self.stands) if name not in self.stands else self.stands[name].entry.cell
        entry = EndpointEntry(name, zone=zone, cell=number // 3, kind=f"kind{number % 2}", started_at=started)
        self.stands[name] = _Stand(
            entry, ExecutorModel(self.town.spec, self.now, in_slow_start=started > 0.0)
        )

    def drain(self, name: str, for_: float) -> None:
        """An executor wants nothing new, finishes what it has, and is gone after a while."""
        stand = self.stands[name]
        if not stand.up or stand.entry.state is not EndpointState.LIVE:
            return
        stand.entry = stand.entry._replace(state=EndpointState.DRAINING)
        self.change(name)
        for job in stand.machine.take_queued(self.now):
            self._end(stand, job, Outcome.OVERLOADED)
        self.at(self.now + for_, lambda: self.kill(name))

    def kill(self, name: str, again: float = 0.0) -> None:
        """An executor's process dies with all that it holds; a new one starts after `again`, if set."""
        stand = self.stands[name]
        if not stand.up:
            return
        stand.up = False
        stand.entry = stand.entry._replace(state=EndpointState.GONE)
        for job in list(stand.holds):
            self._end(stand, job, Outcome.RESET)
        stand.due = math.inf
        self.change(name)
        if again > 0.0:
            self.at(self.now + again, lambda: self._come_back(name))

    def _come_back(self, name: str) -> None:
        self._start(name, self.stands[name].entry.zone, self.now)
        self.change(name)

    def kill_node(self, number: int, again: float) -> None:
        """A node dies; another life of it starts with the list as it is then."""
        node = self.nodes[number]
        if node is None:
            return
        node.alive, self.nodes[number] = False, None
        for row in self.asked.values():
            if row.node == number and not row.answers:
                row.died = True
        self.at(self.now + again, lambda: self._restart(number, node.life + 1))

    def _restart(self, number: int, life: int) -> None:
        self.nodes[number] = Node(self, number, life)

    # --- executors ------------------------------------------------------------------------------

    def deliver(self, forward: Attempt, attempt: ExecutorRecord) -> None:
        """A forward's last byte reaches its executor."""
        stand, row = self.stands[forward.endpoint], self.asked[forward.job.id]
        if not stand.up:
            self.tell(forward, attempt, Outcome.UNREACHABLE)
            return
        if self._seen(row, attempt):
            self.tell(forward, attempt, Outcome.SERVED, DROPPED)
            return
        draining = stand.entry.state is not EndpointState.LIVE
        if draining or not stand.machine.admit(self.now, row.id, row.work):
            self.tell(forward, attempt, Outcome.OVERLOADED)
            return
        stand.holds[row.id] = attempt, forward
        if self.rng.random() < self.town.reset:
            self.tell(forward, attempt, Outcome.RESET)
        self.look(stand)

    def _seen(self, row: ClientRecord, attempt: ExecutorRecord) -> bool:
        """Whether executors that drop repeats together have begun this keyed job before."""
        given = next(each for each in self.town.settings.classes if each.name == row.job_class)
        if given.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return False
        near: dict[DeduplicationScope, Callable[[ExecutorRecord], bool]] = {
            DeduplicationScope.ALL: lambda _: True,
            DeduplicationScope.ZONE: lambda each: each.zone == attempt.zone,
            DeduplicationScope.CELL: lambda each: each.zone == attempt.zone and each.cell == attempt.cell,
        }
        return any(
            each.began is not None
            and self.now < each.began + given.deduplication_window_ms
            and each.id == row.id
            and near[given.deduplication_scope](each)
            for each in self.attempts
        )

    def give_up(self, forward: Attempt) -> None:
        """A node waits for this forward no longer."""
        stand = self.stands[forward.endpoint]
        if forward.job.id in stand.holds and self.town.cancels != "none":
            if stand.machine.drop_queued(self.now, forward.job.id):
                del stand.holds[forward.job.id]
            self.look(stand)

    def look(self, stand: _Stand) -> None:
        """Carry out what has happened at an executor, and plan the next look."""
        for note in stand.machine.step(self.now):
            self._note(stand, note)
        due = stand.machine.next_due_ms()
        if due < stand.due or stand.due <= self.now:
            stand.due = due
            if due < math.inf:
                self.at(due, lambda: self._look_again(stand, due))

    def _look_again(self, stand: _Stand, due: float) -> None:
        if stand.up and stand.due == due:
            stand.due = math.inf
            self.look(stand)

    def _note(self, stand: _Stand, note: JobProgress) -> None:
        attempt, forward = stand.holds.get(note.job, (None, None))
        if attempt is None or forward is None:
            return
        if note.state == "done":
            self._end(stand, note.job, Outcome.SERVED)
        elif note.state == "started":
            attempt.began = self.now
            if self.town.settings.reports_start:
                self._tell_node(attempt, lambda core: core.on_attempt_started(forward))
        elif self.town.settings.progress_interval_ms > 0.0:
            self._tell_node(attempt, lambda core: core.on_attempt_progressed(forward, note.done_fraction))

    def _end(self, stand: _Stand, job: str, outcome: Outcome) -> None:
        held = stand.holds.pop(job, None)
        if held is None:
            return
        attempt, forward = held
        if outcome is not Outcome.SERVED or self.rng.random() >= self.town.lost:
            result = f"{job}@{attempt.executor}".encode() if outcome is Outcome.SERVED else None
            self.tell(forward, attempt, outcome, result)

    def tell(
        self, forward: Attempt, attempt: ExecutorRecord, outcome: Outcome, result: bytes | None = None
    ) -> None:
        """A node hears how a forward ended, if it lives and still waits for it."""

        def then(core: Engine) -> None:
            if attempt.known is None:
                attempt.known, attempt.known_at = outcome, self.now
            core.on_attempt_ended(forward, outcome, result)

        self._tell_node(attempt, then)

    def _tell_node(self, attempt: ExecutorRecord, what: Callable[[Engine], None]) -> None:
        node = self.nodes[attempt.node]

        def then() -> None:
            if node is not None and node.alive and node.life == attempt.life:
                what(node.core)

        self.at(self.now + self.town.net * self.rng.uniform(0.8, 1.5), then)


class Node:
    """One life of a node: the shipped core, with the world in place of its sockets."""

    def __init__(self, world: SimulatedCluster, number: int, life: int) -> None:
        self.world, self.number, self.life, self.alive = world, number, life, True
        self._planned = math.inf
        self.jobs: dict[str, Job] = {}
        seed = hash((world._seed, number, life)) & 0xFFFF
        zone = world.town.zones[number % len(world.town.zones)]
        given = replace(world.town.settings, node_index=number, zone=zone)
        self.core = Engine(given, seed, lambda: world.now, self._say, self._wake)
        self.core.connect(self, self)
        self.hear(world.listed(), ListKind.CACHED)

    def _say(self, event: str, **fields: Any) -> None:
        if event in ("policy-failed", "action-failed", "answered-at-deadline"):
            self.world.faults.append(f"{event}: {fields}")

    def _wake(self) -> None:
        self.world.at(self.world.now, self._step)

    def _step(self) -> None:
        if not self.alive:
            return
        if self.core.next_due() <= self.world.now:
            self.core.step()
        due = self.core.next_due()
        if due < math.inf and not self.world.now < self._planned <= due:
            self._planned = due
            self.world.at(due, self._step)

    def hear(self, entries: list[EndpointEntry], form: ListKind = ListKind.DELTA) -> None:
        """The list, or changes to it, reaches this node."""
        if not self.alive:
            return
        told = {entry.endpoint: (entry.state, entry.started_at) for entry in entries}
        if form is not ListKind.DELTA:
            told = {**{name: (EndpointState.GONE, 0.0) for name in self.world.stands}, **told}
        for name, (state, started) in told.items():
            self.world.told.append((self.world.now, self.number, name, state, started))
        self.core.on_endpoint_list(form, entries)
        self._wake()

    def take(self, row: ClientRecord, request: JobRequest) -> None:
        """A client's job comes in."""
        world = self.world

        class Client:
            def respond(self, answer: FinalAnswer) -> None:
                row.answers.append((world.now, answer))

        job = self.core.admit(Client(), row.id, request, None)
        if job is not None:
            self.jobs[row.id] = job
        self._wake()

    # --- what the core asks of its sockets ------------------------------------------------------

    def start_attempt(self, forward: Attempt) -> None:
        """Start a forward: on its way for as long as the network takes."""
        world = self.world
        stand, row = world.stands[forward.endpoint], world.asked[forward.job.id]
        entry = stand.entry
        attempt = ExecutorRecord(
            row.id, entry.endpoint, entry.zone, entry.cell, self.number, world.now, row.work,
            entry.started_at, self.life,
        )  # fmt: skip
        world.attempts.append(attempt)
        world.at(world.now + world.town.net, lambda: world.deliver(forward, attempt))

    def cancel_attempt(self, forward: Attempt) -> None:
        """Give a forward up."""
        for attempt in reversed(self.world.attempts):
            if attempt.id == forward.job.id and attempt.executor == forward.endpoint:
                if attempt.known is None:
                    attempt.known, attempt.known_at = forward.outcome or Outcome.CANCELLED, self.world.now
                break
        self.world.at(self.world.now + self.world.town.net, lambda: self.world.give_up(forward))
        self.world.at(
            self.world.now + 2.0 * self.world.town.net, lambda: self.core.on_attempt_cancelled(forward)
        )

    def check_health(self, target: str) -> None:
        """Look at an executor."""
        outcome = Outcome.SERVED if self.world.stands[target].up else Outcome.UNREACHABLE
        self.world.at(
            self.world.now + 2.0 * self.world.town.net,
            lambda: self.core.on_health_checked(target, outcome, 4.0),
        )

    def watch(self) -> None:
        """Changes are told in any case; the call is answered with the list."""
        world = self.world
        entries = world.listed()
        world.at(world.now + world.town.list_delay[0], lambda: self.hear(entries, ListKind.SNAPSHOT))

    def fetch(self) -> None:
        """Ask once for the whole list."""
        self.watch()
