"""The drill of jobs that wait: chains, fans, diamonds and herds, under pressure and failures.

Two nodes, six executors. Half of the time plain jobs ask for 0.8 of what the executors bear, half for 1.3. An
executor dies, one drains, one node gets a planned restart. All that is claimed is read from the far sides'
ledgers.
"""

from __future__ import annotations

import math
import signal
import sys
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np
import trio

from burlmoor.testbed.clock import now_ms, unix_now_ms
from burlmoor.testbed.drill import Claim, Drill, DrillParameters, Verdict
from burlmoor.testbed.event_record import EventRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass
from burlmoor.testbed.local_cluster import LocalCluster, local_cluster, total_capacity
from burlmoor.testbed.mutations import OF_WAITING, told

_SEARCH, _DETAILS, _CONFIRM = JOB_CLASSES
_ONCE = {kind.name for kind in JOB_CLASSES if kind.is_non_idempotent}
_WORK = 200.0  # ms, the mean of plain jobs
_LOADS = (0.8, 1.3)  # of what the executors bear, by halves of the drill
_EXECUTORS, _CORES = 6, 2.0
_SLACK = 50.0  # ms by which an answer may come later than its client's time
_WINDOW = 10_000.0  # ms: released and plain jobs of one class are compared by such windows
_CLOSES = 1.9  # seconds after SIGTERM
_LEAST = 12  # jobs of either sort for a window to say something
_TAIL = 20.0  # seconds that waiting jobs may go on after the last arrival
_OPTIONS = "[waiting]\nplaces = 60 %\n"


@dataclass(slots=True)
class _Planned:
    """One job that will be sent; `at`, `not_before` and `leaves` in seconds from the begin, work in ms."""

    at: float
    ref: str
    kind: JobClass
    work: float
    after: tuple[str, ...] = ()
    not_before: float = 0.0
    patience: float = 0.0
    fails: bool = False
    leaves: float = 0.0
    node: int = 0
    waits: bool = False


@dataclass
class _Plan:
    """Owns what is drawn from the seed: every job of the drill, ahead of time."""

    seconds: float
    seed: int
    jobs: list[_Planned] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = np.random.default_rng(self.seed)
        self._number = 0
        self._plain()
        for every, family in (
            (6.0, self._chain), (2.0, self._fan), (3.0, self._diamond), (10.0, self._herd),
            (3.0, self._doomed), (4.0, self._left), (5.0, self._late_parent),
        ):  # fmt: skip
            at = float(self._rng.uniform(0.5, every))
            while at < self.seconds - 2.0:
                family(at, int(self._rng.integers(2)))
                at += float(self._rng.uniform(0.7, 1.3) * every)
        self.jobs.sort(key=lambda job: job.at)

    def _plain(self) -> None:
        bears = (
            total_capacity({str(n): ExecutorSpec(cores=_CORES) for n in range(_EXECUTORS)}) * 1000.0 / _WORK
        )
        half = self.seconds / 2.0
        for part, load in enumerate(_LOADS):
            count = self._rng.poisson(load * bears * half)
            for at in self._rng.uniform(part * half, (part + 1) * half, count):
                kind = JOB_CLASSES[int(self._rng.choice(3, p=(0.7, 0.2, 0.1)))]
                work = float(self._rng.lognormal(math.log(_WORK) - 0.125, 0.5))
                self.jobs.append(
                    _Planned(float(at), self._ref("p"), kind, work, node=int(self._rng.integers(2)))
                )

    def _ref(self, sort: str) -> str:
        self._number += 1
        return f"{sort}-{self.seed}-{self._number}"

    def _add(self, at: float, node: int, sort: str, work: float, *after: str, **more: object) -> _Planned:
        kind = JOB_CLASSES[int(self._rng.choice(3, p=(0.5, 0.3, 0.2)))]
        patience = 1000.0 * min(40.0, self.seconds - at + _TAIL)
        made = _Planned(at, self._ref(sort), kind, work, after, patience=patience, node=node, waits=True)
        for name, value in more.items():
            setattr(made, name, value)
        self.jobs.append(made)
        return made

    def _chain(self, at: float, node: int) -> None:
        length = int(self._rng.choice((20, 60, 200)))
        last = self._add(at, node, "chain", 15.0)
        for _ in range(length - 1):
            # Some links come before the link that they name.
            last = self._add(at + float(self._rng.uniform(0.0, 0.3)), node, "chain", 15.0, last.ref)

    def _fan(self, at: float, node: int) -> None:
        parent = self._add(at, node, "fan", 100.0)
        for _ in range(10):
            self._add(at, node, "fan", 60.0, parent.ref)

    def _diamond(self, at: float, node: int) -> None:
        top = self._add(at, node, "diamond", 80.0)
        sides = [self._add(at, node, "diamond", 80.0, top.ref).ref for _ in range(4)]
        self._add(at, node, "diamond", 80.0, *sides)

    def _herd(self, at: float, node: int) -> None:
        for _ in range(60):
            self._add(at, node, "herd", 60.0, not_before=at + 3.0)

    def _doomed(self, at: float, node: int) -> None:
        parent = self._add(at, node, "doomed", 150.0, fails=True, kind=_CONFIRM)
        last = parent
        for _ in range(10):
            last = self._add(at, node, "doomed", 20.0, last.ref)
            self._add(at, node, "doomed", 20.0, parent.ref)

    def _left(self, at: float, node: int) -> None:
        parent = self._add(at, node, "left", 2500.0, leaves=0.5, kind=_CONFIRM)
        for _ in range(5):
            self._add(at, node, "left", 20.0, parent.ref)
        waits = self._add(at, node, "left", 20.0, parent.ref, leaves=0.3)
        self._add(at, node, "left", 20.0, waits.ref)

    def _late_parent(self, at: float, node: int) -> None:
        parent = self._add(at + 0.8, node, "late", 50.0)
        self._add(at, node, "late", 50.0, parent.ref)
        self._add(at, node, "late", 50.0, "nobody")


class _Run:
    """Owns one drill under way."""

    def __init__(self, made: LocalCluster, plan: _Plan) -> None:
        self._town, self._plan = made, plan
        self._away: set[int] = set()  # nodes that clients stay away from
        self.statuses: list[int] = []

    async def play(self) -> None:
        """Send every job at its time, with the failures, and wait until all are answered."""
        self._began, self._unix = now_ms(), unix_now_ms()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fail)
            for job in self._plan.jobs:
                wait = job.at - (now_ms() - self._began) / 1000.0
                if wait > 0.001:
                    await trio.sleep(wait)
                nursery.start_soon(self._send, job)

    async def _send(self, job: _Planned) -> None:
        # Whole families go to one node, as their clients would keep to it; its restart sends them elsewhere.
        node = job.node if job.node not in self._away else 1 - job.node
        patience = job.patience or job.kind.timeout_ms
        asked = RequestRecord(job.ref, job.kind.name, now_ms(), patience, job.work, job.after, node=node)
        if job.not_before:
            asked.not_before_unix_ms = self._unix + 1000.0 * job.not_before
        if job.leaves:
            asked.disconnected_ms = asked.sent_ms + 1000.0 * job.leaves
        await self._town.clients[node].send(asked, fails=job.fails)
        if asked.disconnected_ms is not None and asked.answer_count and asked.answered_ms is not None:
            asked.disconnected_ms = (
                None if asked.answered_ms < asked.disconnected_ms else asked.disconnected_ms
            )

    async def _fail(self) -> None:
        seconds, names = self._plan.seconds, list(self._town.executors)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._at, 0.2 * seconds, self._town.kill_executor, names[0], 1.0, 3.0)
            nursery.start_soon(self._at, 0.45 * seconds, self._town.drain_executor, names[1], 1.0)
            nursery.start_soon(self._at, 0.6 * seconds, self._restart)

    async def _at(self, seconds: float, act, *given) -> None:  # type: ignore[no-untyped-def]
        await trio.sleep(seconds)
        await act(*given)

    async def _restart(self) -> None:
        node = self._town.nodes[1]
        node.send_signal(signal.SIGTERM)
        # What waits is refused there from 2 s on, by the node's own page: that says nothing of its pace.
        closing = now_ms() + 1000.0 * _CLOSES
        await trio.sleep(0.3)
        self._away.add(1)
        assert node.process is not None
        with trio.move_on_after(8.0):
            self.statuses.append(await node.process.wait())
        self._town.event_record.closing_periods.append((1, closing, now_ms()))
        await self._town.start_node(node)
        self._away.discard(1)


def _ends(ledger: EventRecord) -> dict[str, float]:
    """When each job was over for its client."""
    ends: dict[str, float] = {}
    for ref, each in ledger.requests.items():
        over = each.answered_ms if each.answered_ms is not None else each.disconnected_ms
        if over is not None:
            ends[ref] = over
    return ends


def judge(ledger: EventRecord, seed: int, seconds: float, statuses: list[int]) -> Verdict:
    """The verdict on what the far sides saw."""
    verdict = Verdict("waiting", seed, seconds)
    ends = _ends(ledger)
    done = {
        row.id: row.ended_ms for row in ledger.attempts if row.outcome == "done" and row.ended_ms is not None
    }
    came_at: dict[str, float] = {}
    for row in ledger.attempts:
        came_at[row.id] = min(row.received_ms, came_at.get(row.id, math.inf))
    before, after_failure, early, lags, released = 0, 0, 0, list[float](), list[RequestRecord]()
    for each in ledger.requests.values():
        came = came_at.get(each.id)
        for name in each.run_after:
            if came is not None:
                before += name not in done or done[name] > came
                after_failure += name not in done
            parent = ledger.requests.get(name)
            over = ends.get(name)
            if (
                parent is not None
                and not parent.is_served
                and over is not None
                and each.answered_ms is not None
            ):
                lags.append(each.answered_ms - max(over, each.sent_ms))
        if each.not_before_unix_ms:
            early += came is not None and came + ledger.unix_offset_ms < each.not_before_unix_ms - 1.0
        if _released_at(each, ledger) is not None:
            released.append(each)
    claims = verdict.claims
    claims["unanswered"] = Claim(len(ledger.find_unanswered()), 0)
    claims["late"] = Claim(len(ledger.find_late(_SLACK)), 0)
    twice = sum(each.answer_count > 1 for each in ledger.requests.values())
    claims["answered twice"] = Claim(twice + len(ledger.find_misplaced()), 0)
    claims["ran twice"] = Claim(len(ledger.find_repeated(_ONCE)), 0)
    claims["invented"] = Claim(len(ledger.find_fabricated()), 0)
    claims["ran before what it names"] = Claim(before, 0)
    claims["ran though its parent was not done"] = Claim(after_failure, 0)
    claims["ran before its time"] = Claim(early, 0)
    claims["parent's end to child's end, p99 ms"] = Claim(_percentile(lags, 99.0), 50.0)
    claims["worst-served tenth against plain"] = Claim(_share(released, ledger), 0.9, is_lower_bound=True)
    claims["bad exits"] = Claim(sum(status != 0 for status in statuses) + (not statuses), 0)
    waited = [each for each in ledger.requests.values() if each.run_after or each.not_before_unix_ms]
    verdict.figures = {
        "jobs": len(ledger.requests), "waited": len(waited), "released": len(released),
        "ended with a parent": len(lags), "served of released": _served(released),
        "served of plain": _served([each for each in ledger.requests.values() if each.id.startswith("p-")]),
        "parent's end to child's end, p50 ms": _percentile(lags, 50.0),
        "parent's end to child's end, max ms": max(lags, default=0.0),
        "strange requests": len(ledger.protocol_violations),
    }  # fmt: skip
    return verdict


def _served(rows: list[RequestRecord]) -> float:
    return sum(each.is_served for each in rows) / max(1, len(rows))


def _percentile(values: list[float], share: float) -> float:
    return float(np.percentile(values, share)) if values else math.inf


def _released_at(each: RequestRecord, ledger: EventRecord) -> float | None:
    """When a job that waited was free to run, if it ever was, and its client and node were still there."""
    if not (each.run_after or each.not_before_unix_ms) or ledger.is_rejected_by_closing_node(each):
        return None
    parents = [ledger.requests.get(name) for name in each.run_after]
    times = [parent.answered_ms for parent in parents if parent is not None and parent.is_served]
    if len(times) < len(parents) or (each.disconnected_ms is not None and not each.answer_count):
        return None
    times.append(each.not_before_unix_ms - ledger.unix_offset_ms if each.not_before_unix_ms else 0.0)
    free = max([each.sent_ms, *(at for at in times if at is not None)])
    return None if each.answered_ms is not None and each.answered_ms < free else free


def _share(released: list[RequestRecord], ledger: EventRecord) -> float:
    """What the worst-served tenth of released jobs gets of what plain jobs of their class and time get."""
    groups: dict[tuple[str, int], list[RequestRecord]] = defaultdict(list)
    plain: dict[tuple[str, int], list[RequestRecord]] = defaultdict(list)
    began = min((each.sent_ms for each in ledger.requests.values()), default=0.0)
    for each in released:
        at = _released_at(each, ledger)
        assert at is not None
        groups[each.job_class, int((at - began) // _WINDOW)].append(each)
    for each in ledger.requests.values():
        if each.id.startswith("p-"):
            plain[each.job_class, int((each.sent_ms - began) // _WINDOW)].append(each)
    rows = [
        (_served(rows) / _served(plain[key]), _served(plain[key]), rows)
        for key, rows in groups.items()
        if len(rows) >= _LEAST and len(plain[key]) >= _LEAST and _served(plain[key]) > 0.0
    ]
    rows.sort(key=lambda row: row[0])
    most, seen, got, due = sum(len(row[2]) for row in rows) / 10.0, 0, 0.0, 0.0
    for _, usual, members in rows:
        if seen >= most:
            break
        seen += len(members)
        got += sum(each.is_served for each in members)
        due += usual * len(members)
    return got / due if due else math.nan


async def _run(ask: DrillParameters, folder: Path) -> Verdict:
    specs = {f"s-{n}": ExecutorSpec(cores=_CORES, slots=3, queue_capacity=12) for n in range(_EXECUTORS)}
    plan = _Plan(ask.seconds, ask.seed)
    async with local_cluster(folder, specs, nodes=2, options=_OPTIONS, start=False) as made:
        if ask.mutation is not None:
            for node in made.nodes:
                node.command = [sys.executable, "-m", "burlmoor.testbed.mutations", ask.mutation]
        await made.start()
        made.event_record.unix_offset_ms = unix_now_ms() - now_ms()
        run = _Run(made, plan)
        await run.play()
    return judge(made.event_record, ask.seed, ask.seconds, run.statuses)


WAITING = Drill(
    "Jobs that wait, under pressure, failures and a planned restart.",
    _run,
    told(OF_WAITING),
)
