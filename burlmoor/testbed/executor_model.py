"""A model of an executor without sockets: processor sharing, job slots, a bounded queue, slow start.

Times are ms on any monotonic clock; work is ms on one core of speed 1. A running job occupies a number of
slots. Up to `cores` slots run at full speed each; beyond that all slots share the cores evenly, so that the
end of each job is known in advance until the next change and nothing here has to sleep.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from burlmoor.testbed.messages import JobState

_DONE_WORK_MS = 1e-6  # work left that counts as none, since floats accumulate errors
_SLOW_START_STEP_MS = 50.0  # while capacity grows, completion times are recomputed this often


_CHANCE_FACTOR = 1.15  # by which the random sizes of jobs may push work over a budget


def max_work_by_chance(budget_ms: float, mean_work_ms: float) -> float:
    """Return the most work in ms that chance explains where a budget allows `budget_ms`."""
    return min(_CHANCE_FACTOR * budget_ms, mean_work_ms * max_calls_by_chance(budget_ms / mean_work_ms))


def max_calls_by_chance(budget: float) -> float:
    """Return the most jobs of mean work that chance explains where `budget` such jobs are allowed.

    The budget is that of an executor in slow start; two standard deviations of a Poisson count are added.
    """
    return budget + 2.0 * math.sqrt(budget) + 2.0


class ExecutorSpec(msgspec.Struct, frozen=True):
    """The size and speed of an executor; the encoded names are those of recorded runs."""

    cores: float = 4.0
    slots: int = 6
    speed: float = 1.0
    queue_capacity: int = msgspec.field(name="queue", default=24)  # jobs
    initial_capacity_fraction: float = msgspec.field(name="cold_share", default=0.15)
    slow_start_ms: float = msgspec.field(name="cold_ms", default=10_000.0)  # capacity grows linearly
    progress_interval_ms: float = msgspec.field(name="progress_ms", default=2000.0)  # 0: no progress events

    @property
    def capacity(self) -> float:
        """Work done in a ms after slow start, with enough jobs."""
        return self.cores * self.speed

    def slow_start_factor(self, age_ms: float) -> float:
        """Return the fraction of its capacity that an executor has at an age."""
        if self.slow_start_ms <= 0.0:
            return 1.0
        initial = self.initial_capacity_fraction
        return min(1.0, initial + (1.0 - initial) * age_ms / self.slow_start_ms)


class JobProgress(NamedTuple):
    """An event in a job's life: started, running with the fraction done so far, or done."""

    job: str
    state: JobState
    done_fraction: float = 0.0


@dataclass(slots=True)
class _Job:
    """A job that is queued or runs."""

    work_ms: float
    slots: int
    remaining_ms: float
    next_progress_ms: float = math.inf


class ExecutorModel:
    """The jobs that one executor has admitted, and the progress of each."""

    def __init__(self, spec: ExecutorSpec, now: float, *, in_slow_start: bool = False) -> None:
        self.spec = spec
        self._started_ms = now if in_slow_start else -math.inf
        self._now = now
        self._running: dict[str, _Job] = {}
        self._queue: OrderedDict[str, _Job] = OrderedDict()
        self._slowdown = 1.0
        self._is_stalled = False

    @property
    def job_count(self) -> int:
        """The number of jobs that run or are queued."""
        return len(self._running) + len(self._queue)

    def has_job(self, job: str) -> bool:
        """Whether the job runs or is queued here."""
        return job in self._running or job in self._queue

    def slow_start_factor(self, now: float) -> float:
        """Return the fraction of its capacity that the executor has at `now`."""
        return self.spec.slow_start_factor(now - self._started_ms)

    def _speed_per_slot(self) -> float:
        """Return the work done in a ms for each running job."""
        if self._is_stalled:
            return 0.0
        used_slots = sum(job.slots for job in self._running.values())
        cores = self.spec.cores * self.slow_start_factor(self._now)
        return self.spec.speed / self._slowdown * min(1.0, cores / used_slots) if used_slots else 0.0

    def _advance(self, now: float) -> None:
        """Subtract the work done since the last call, at the speed of that time: calls are frequent."""
        done_ms = (now - self._now) * self._speed_per_slot()
        for job in self._running.values():
            job.remaining_ms -= done_ms
        self._now = now

    def admit(self, now: float, job: str, work_ms: float, slots: int = 1) -> bool:
        """Queue a job; false where it can never fit, the queue is full or the job is here already."""
        self._advance(now)
        if slots > self.spec.slots or len(self._queue) >= self.spec.queue_capacity or self.has_job(job):
            return False
        self._queue[job] = _Job(work_ms, slots, work_ms)
        return True

    def drop_queued(self, now: float, job: str) -> bool:
        """Remove a job from the queue; false where it runs or is not here."""
        self._advance(now)
        return self._queue.pop(job, None) is not None

    def take_queued(self, now: float) -> list[str]:
        """Remove all jobs from the queue and return them in order."""
        self._advance(now)
        queued = list(self._queue)
        self._queue = OrderedDict()
        return queued

    def set_slowdown(self, now: float, factor: float) -> None:
        """Run `factor` times slower than the spec's speed from now on."""
        self._advance(now)
        self._slowdown = factor

    def set_stalled(self, now: float, *, is_stalled: bool) -> None:
        """Stop all work, or resume it."""
        self._advance(now)
        self._is_stalled = is_stalled

    def step(self, now: float) -> list[JobProgress]:
        """Advance to `now` and return what has happened, in order."""
        self._advance(now)
        return [*self._report_running(now), *self._start_queued(now)]

    def _report_running(self, now: float) -> list[JobProgress]:
        events = []
        for name, job in list(self._running.items()):
            if job.remaining_ms <= _DONE_WORK_MS:
                del self._running[name]
                events.append(JobProgress(name, JobState.DONE))
            elif now >= job.next_progress_ms and not self._is_stalled:
                job.next_progress_ms = now + self.spec.progress_interval_ms
                events.append(JobProgress(name, JobState.RUNNING, 1.0 - job.remaining_ms / job.work_ms))
        return events

    def _start_queued(self, now: float) -> list[JobProgress]:
        events = []
        interval_ms = self.spec.progress_interval_ms
        used_slots = sum(job.slots for job in self._running.values())
        while self._queue and not self._is_stalled:
            name, job = next(iter(self._queue.items()))
            if used_slots + job.slots > self.spec.slots:
                break  # first in, first out: the head of the queue waits until it fits
            del self._queue[name]
            self._running[name] = job
            used_slots += job.slots
            job.next_progress_ms = now + interval_ms if interval_ms else math.inf
            events.append(JobProgress(name, JobState.STARTED))
        return events

    def next_due_ms(self) -> float:
        """Return when `step` has something to report next if nothing changes; infinite where never."""
        speed = self._speed_per_slot()
        if speed <= 0.0:
            return math.inf
        jobs = self._running.values()
        run_ms = min((job.remaining_ms / speed for job in jobs), default=math.inf)
        progress_due = min((job.next_progress_ms for job in jobs), default=math.inf)
        is_in_slow_start = self.slow_start_factor(self._now) < 1.0
        recompute_due = self._now + _SLOW_START_STEP_MS if is_in_slow_start and self._running else math.inf
        return min(self._now + max(0.0, run_ms), progress_due, recompute_due)
