"""Honest simple ways to spread the same jobs on the same executors, under the same troubles.

Played on a virtual clock. They see no network, lose nothing on it and wait for nobody, so they are no worse
than they would be as processes. `shortest` knows every executor's true state at every moment, across all
nodes: no node can know that, so it is the bound. All skip executors that discovery has told of as gone.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable, Sequence

from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorModel
from burlmoor.testbed.fleet.load import Job, draw
from burlmoor.testbed.fleet.record import Record

Choice = Callable[["Play", Job, Sequence[int]], int]


class Play:
    """Owns one replay: the machines, and what each node counts as its own."""

    def __init__(self, record: Record, choose: Choice, seed: int = 1) -> None:
        self.record, self._choose, self.rng = record, choose, random.Random(seed)
        self.names = record.names()
        self.machines = [ExecutorModel(record.specs[name], 0.0) for name in self.names]
        self.sizes = [record.specs[name].capacity for name in self.names]
        self.own: dict[int, list[float]] = defaultdict(lambda: [0.0] * len(self.names))  # a node's jobs out
        self.turn: dict[int, int] = {}
        self.work = [0.0] * len(self.names)  # truly held, core-ms
        self.rows: list[AttemptRecord] = []
        self.asked: list[RequestRecord] = []
        self._held: dict[str, tuple[AttemptRecord, RequestRecord, int]] = {}
        self._listed, self._up = set(range(len(self.names))), set(range(len(self.names)))
        self._due = [math.inf] * len(self.names)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order, self._slower = 0, 1.0
        self.now = 0.0

    def _at(self, when: float, what: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, what))

    def run(self) -> tuple[list[RequestRecord], list[AttemptRecord]]:
        """Play all jobs; the rows as clients and executors would have them."""
        self.now = self.record.begin
        for job in draw(self.record.load):
            self._at(self.record.begin + job.at * 1000.0, lambda job=job: self._take(job))  # type: ignore[misc]
        self._plan_troubles()
        until = self.record.begin + self.record.plan.seconds * 1000.0 + 10_000.0
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        return self.asked, self.rows

    def _plan_troubles(self) -> None:
        numbers = {name: number for number, name in enumerate(self.names)}
        told = {t.what: t.told * 1000.0 for t in self.record.plan.schedule.troubles}
        self._slower = max(
            (t.size for t in self.record.plan.schedule.troubles if t.what == "slow"), default=1.0
        )
        for span in self.record.spans:
            number = numbers.get(span.who)
            if number is None:
                continue
            if span.what == "drain":
                self._at(span.since, lambda n=number: self._listed.discard(n))  # type: ignore[misc]
                self._at(span.until, lambda n=number: self._die(n))  # type: ignore[misc]
            elif span.what == "die":
                self._at(span.since, lambda n=number: self._die(n))  # type: ignore[misc]
                self._at(span.since + told["die"], lambda n=number: self._listed.discard(n))  # type: ignore[misc]
            elif span.what in ("still", "slow", "fail"):
                self._at(span.since, lambda n=number, w=span.what: self._ail(n, w, True))  # type: ignore[misc]
                self._at(span.until, lambda n=number, w=span.what: self._ail(n, w, False))  # type: ignore[misc]
                continue
            else:
                continue
            self._at(span.until, lambda n=number: self._back(n))  # type: ignore[misc]

    def _take(self, job: Job) -> None:
        asked = RequestRecord(
            f"j{job.number}", job.kind.name, self.now, job.kind.timeout_ms, job.work, slots=job.slots
        )
        asked.node = job.node
        self.asked.append(asked)
        # A refused job goes to one other executor, as a node's second attempt would.
        for _ in range(2):
            number = self._choose(self, job, sorted(self._listed))
            row = AttemptRecord(
                asked.id, asked.job_class, self.names[number], self.now, node=str(job.node), work_ms=job.work,
                slots=job.slots,
            )  # fmt: skip
            self.rows.append(row)
            if number in self._up and self.machines[number].admit(self.now, row.id, job.work, job.slots):
                self._held[row.id] = row, asked, number
                self.own[job.node][number] += 1.0
                self.work[number] += job.work * job.slots
                self._look(number)
                return
            row.outcome, row.ended_ms = "full", self.now
        asked.answered_ms, asked.status, asked.answer_count = self.now, 503, 1

    def _look(self, number: int) -> None:
        machine = self.machines[number]
        for note in machine.step(self.now):
            row, asked, _ = self._held[note.job]
            if note.state == "started":
                row.started_ms = self.now
            elif note.state == "done":
                row.ended_ms, row.outcome = self.now, "done"
                if self.now <= asked.sent_ms + asked.timeout_ms:
                    asked.answered_ms, asked.status, asked.answer_count = self.now, 200, 1
                self._gone(note.job)
        due = machine.next_due_ms()
        if due < self._due[number] or self._due[number] <= self.now:
            self._due[number] = due
            if due < math.inf:
                self._at(max(due, self.now), lambda: self._look_again(number, due))

    def _look_again(self, number: int, due: float) -> None:
        if self._due[number] == due:
            self._due[number] = math.inf
            self._look(number)

    def _gone(self, ref: str) -> None:
        row, asked, number = self._held.pop(ref)
        self.own[asked.node][number] -= 1.0
        self.work[number] -= row.work_ms * row.slots

    # --- troubles -------------------------------------------------------------------------------

    def _die(self, number: int) -> None:
        self._up.discard(number)
        for ref in [ref for ref, held in self._held.items() if held[2] == number]:
            row, asked, _ = self._held[ref]
            row.ended_ms, row.outcome = self.now, "died"
            asked.answered_ms, asked.status, asked.answer_count = self.now, 502, 1
            self._gone(ref)
        self.machines[number] = ExecutorModel(self.record.specs[self.names[number]], self.now, cold=True)
        self._due[number] = math.inf

    def _back(self, number: int) -> None:
        self.machines[number] = ExecutorModel(self.record.specs[self.names[number]], self.now, cold=True)
        self._up.add(number)
        self._listed.add(number)

    def _ail(self, number: int, what: str, on: bool) -> None:
        if what == "slow":
            self.machines[number].set_slowdown(self.now, max(1.0, self._slower) if on else 1.0)
        else:
            # One that fails every job at once counts as standing still: it serves nobody.
            self.machines[number].set_stalled(self.now, on)
        self._look(number)


def _random(play: Play, job: Job, listed: Sequence[int]) -> int:
    return play.rng.choices(listed, weights=[play.sizes[n] for n in listed])[0]


def _round_robin(play: Play, job: Job, listed: Sequence[int]) -> int:
    """Each node deals its own jobs in turn, from where chance has it begin."""
    at = play.turn.get(job.node, play.rng.randrange(len(play.names)))
    play.turn[job.node] = at + 1
    return listed[at % len(listed)]


def _least_of_two(play: Play, job: Job, listed: Sequence[int]) -> int:
    """The one of two drawn by size that has the fewer of this node's jobs for its size."""
    drawn = play.rng.choices(listed, weights=[play.sizes[n] for n in listed], k=2)
    return min(drawn, key=lambda n: play.own[job.node][n] / play.sizes[n])


def _shortest(play: Play, job: Job, listed: Sequence[int]) -> int:
    """The one that has least to do for its size, this job included, by the true state."""
    return min(listed, key=lambda n: (play.work[n] + job.work * job.slots) / play.sizes[n])


WAYS: dict[str, Choice] = {
    "random": _random,
    "round robin": _round_robin,
    "least of two": _least_of_two,
    "shortest": _shortest,
}


def play(record: Record, way: str) -> tuple[list[RequestRecord], list[AttemptRecord]]:
    """The jobs of a run, spread in one of the ways."""
    return Play(record, WAYS[way], record.plan.seed).run()
