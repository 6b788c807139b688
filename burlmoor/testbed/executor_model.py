"""An executor's machine without sockets: cores shared by what runs, slots, a bounded queue, cold starts.

Times are ms on any clock that only goes forward; work is ms on one core of speed 1. A job holds `slots` slots
while it runs. Up to `cores` slots run at full pace each; beyond that all share the cores evenly (processor
sharing), so nothing here sleeps and the end of each job is known ahead until the next change.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec


def max_calls_by_chance(budget: float) -> float:
    """The most calls of mean work that luck accounts for where a cold executor's budget is so many."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


class ExecutorSpec(msgspec.Struct, frozen=True):
    """What a machine is."""

    cores: float = 4.0
    slots: int = 6
    speed: float = 1.0
    queue_capacity: int = msgspec.field(name="queue", default=24)  # jobs
    initial_capacity_fraction: float = msgspec.field(name="cold_share", default=0.15)
    slow_start_ms: float = msgspec.field(name="cold_ms", default=10_000.0)  # capacity grows linearly
    progress_interval_ms: float = msgspec.field(name="progress_ms", default=2000.0)  # 0: no progress events

    @property
    def capacity(self) -> float:
        """Work done a ms when warm and busy."""
        return self.cores * self.speed

    def slow_start_factor(self, age: float) -> float:
        """The share of its capacity that it has so many ms after it started."""
        if self.slow_start_ms <= 0.0:
            return 1.0
        return min(
            1.0,
            self.initial_capacity_fraction
            + (1.0 - self.initial_capacity_fraction) * age / self.slow_start_ms,
        )


class JobProgress(NamedTuple):
    """What a machine tells of a job: `started`, `running` with the share done, `done`."""

    job: str
    state: str
    done_fraction: float = 0.0


@dataclass(slots=True)
class _Held:
    work: float
    slots: int
    left: float
    note_at: float = math.inf
    began: float = field(default=math.inf)


class ExecutorModel:
    """Owns the jobs that one executor has taken."""

    def __init__(self, spec: ExecutorSpec, now: float, cold: bool = False) -> None:
        self.spec = spec
        self._born = now if cold else -math.inf
        self._now = now
        self._running: dict[str, _Held] = {}
        self._queue: OrderedDict[str, _Held] = OrderedDict()
        self._slow = 1.0
        self._still = False

    @property
    def job_count(self) -> int:
        """Jobs that run or wait."""
        return len(self._running) + len(self._queue)

    def has_job(self, job: str) -> bool:
        """Whether the job runs or waits here."""
        return job in self._running or job in self._queue

    def slow_start_factor(self, now: float) -> float:
        """The share of its capacity that it has by now."""
        return self.spec.slow_start_factor(now - self._born)

    def _pace(self) -> float:
        """Work done a ms for each job that runs."""
        if self._still:
            return 0.0
        used = sum(held.slots for held in self._running.values())
        cores = self.spec.cores * self.slow_start_factor(self._now)
        return self.spec.speed / self._slow * min(1.0, cores / used) if used else 0.0

    def _advance(self, now: float) -> None:
        """Book the work done since the last look. Warmth counts as it was then: looks are frequent."""
        done = (now - self._now) * self._pace()
        for held in self._running.values():
            held.left -= done
        self._now = now

    def admit(self, now: float, job: str, work: float, slots: int = 1) -> bool:
        """Take a job, or turn it away unstarted where the queue is full or it can never fit."""
        self._advance(now)
        if slots > self.spec.slots or len(self._queue) >= self.spec.queue_capacity or self.has_job(job):
            return False
        self._queue[job] = _Held(work, slots, work)
        return True

    def drop_queued(self, now: float, job: str) -> bool:
        """Forget a job that waits; what runs goes on. Whether it waited."""
        self._advance(now)
        return self._queue.pop(job, None) is not None

    def take_queued(self, now: float) -> list[str]:
        """Let go of all that waits."""
        self._advance(now)
        given, self._queue = list(self._queue), OrderedDict()
        return given

    def set_slowdown(self, now: float, factor: float) -> None:
        """Run this many times slower than its speed from now on."""
        self._advance(now)
        self._slow = factor

    def set_stalled(self, now: float, still: bool) -> None:
        """Do nothing, or go on."""
        self._advance(now)
        self._still = still

    def step(self, now: float) -> list[JobProgress]:
        """What has happened by now, in order."""
        self._advance(now)
        notes = []
        for job, held in list(self._running.items()):
            if held.left <= 1e-6:
                del self._running[job]
                notes.append(JobProgress(job, "done"))
            elif now >= held.note_at and not self._still:
                held.note_at = now + self.spec.progress_interval_ms
                notes.append(JobProgress(job, "running", 1.0 - held.left / held.work))
        used = sum(held.slots for held in self._running.values())
        while self._queue and not self._still:
            job, held = next(iter(self._queue.items()))
            if used + held.slots > self.spec.slots:
                break  # in order: the head waits until it fits
            del self._queue[job]
            self._running[job] = held
            used += held.slots
            held.began = now
            held.note_at = (
                now + self.spec.progress_interval_ms if self.spec.progress_interval_ms else math.inf
            )
            notes.append(JobProgress(job, "started"))
        return notes

    def next_due_ms(self) -> float:
        """When `step` has something to tell next, as things stand."""
        pace = self._pace()
        if pace <= 0.0:
            return math.inf
        ends = min((held.left / pace for held in self._running.values()), default=math.inf)
        notes = min((held.note_at for held in self._running.values()), default=math.inf)
        warming = self._now + 50.0 if self.slow_start_factor(self._now) < 1.0 and self._running else math.inf
        return min(self._now + max(0.0, ends), notes, warming)
