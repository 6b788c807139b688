"""A model of an executor without I/O: processor sharing, job slots, a bounded queue, slow start.

Times are ms on any monotonic clock; work is ms on one core of speed 1. A running job occupies a number of
slots. Up to `cores` slots run at full speed each; beyond that all slots share the cores evenly. The end of
each job can therefore be computed until the next change, and the model never sleeps.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from burlmoor.testbed.messages import JobState

_NEGLIGIBLE_WORK_MS = 1e-6  # remaining work that counts as none, because of rounding errors
_SLOW_START_RECOMPUTE_MS = 50.0  # interval of recomputing completion times while capacity grows
_MAX_CHANCE_EXCESS_FACTOR = 1.15  # by which work may exceed a budget because of the random sizes of jobs


def max_work_by_chance(budget_ms: float, mean_work_ms: float) -> float:
    """Return the most work in ms that random variation explains if the budget is `budget_ms`."""
    return min(
        _MAX_CHANCE_EXCESS_FACTOR * budget_ms, mean_work_ms * max_jobs_by_chance(budget_ms / mean_work_ms)
    )


def max_jobs_by_chance(budget: float) -> float:
    """Return the most jobs of mean work that random variation explains if the budget is `budget` such jobs.

    The budget is that of an executor in slow start. Two standard deviations of a Poisson count are added, and
    two jobs.
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
        """The work done per ms by a fully loaded executor after slow start."""
        return self.cores * self.speed

    def slow_start_factor(self, age_ms: float) -> float:
        """Return the fraction of its capacity that an executor has `age_ms` after its start."""
        if self.slow_start_ms <= 0.0:
            return 1.0
        initial = self.initial_capacity_fraction
        return min(1.0, initial + (1.0 - initial) * age_ms / self.slow_start_ms)


class JobProgress(NamedTuple):
    """A change of a job's state: started, running with the fraction done so far, or done."""

    job_id: str
    state: JobState
    done_fraction: float = 0.0


@dataclass(slots=True)
class _Job:
    """A queued or running job."""

    work_ms: float
    slots: int
    remaining_work_ms: float
    next_progress_ms: float = math.inf


class ExecutorModel:
    """The jobs that one executor has admitted, and their progress."""

    def __init__(self, spec: ExecutorSpec, now_ms: float, *, in_slow_start: bool = False) -> None:
        self.spec = spec
        self._started_ms = now_ms if in_slow_start else -math.inf
        self._now_ms = now_ms
        self._running: dict[str, _Job] = {}
        self._queue: OrderedDict[str, _Job] = OrderedDict()
        self._slowdown = 1.0
        self._is_stalled = False

    @property
    def job_count(self) -> int:
        """The number of running and queued jobs."""
        return len(self._running) + len(self._queue)

    def has_job(self, job_id: str) -> bool:
        """Whether the job is running or queued."""
        return job_id in self._running or job_id in self._queue

    def slow_start_factor(self, now_ms: float) -> float:
        """Return the fraction of its capacity that the executor has at `now_ms`."""
        return self.spec.slow_start_factor(now_ms - self._started_ms)

    def _speed_per_slot(self) -> float:
        """Return the work done per ms on each occupied slot."""
        if self._is_stalled:
            return 0.0
        used_slots = sum(job.slots for job in self._running.values())
        cores = self.spec.cores * self.slow_start_factor(self._now_ms)
        return self.spec.speed / self._slowdown * min(1.0, cores / used_slots) if used_slots else 0.0

    def _advance(self, now_ms: float) -> None:
        """Subtract the work done since the last call.

        The speed at the last call is used for the whole interval; the caller keeps the intervals short while
        the speed changes.
        """
        done_work_ms = (now_ms - self._now_ms) * self._speed_per_slot()
        for job in self._running.values():
            job.remaining_work_ms -= done_work_ms
        self._now_ms = now_ms

    def admit(self, now_ms: float, job_id: str, work_ms: float, slots: int = 1) -> bool:
        """Queue a job; return false if it can never fit, the queue is full or it is here already."""
        self._advance(now_ms)
        if slots > self.spec.slots or len(self._queue) >= self.spec.queue_capacity or self.has_job(job_id):
            return False
        self._queue[job_id] = _Job(work_ms, slots, work_ms)
        return True

    def drop_queued(self, now_ms: float, job_id: str) -> bool:
        """Remove a job from the queue; return false if it is not queued."""
        self._advance(now_ms)
        return self._queue.pop(job_id, None) is not None

    def take_queued(self, now_ms: float) -> list[str]:
        """Remove all jobs from the queue and return them in order."""
        self._advance(now_ms)
        queued = list(self._queue)
        self._queue = OrderedDict()
        return queued

    def set_slowdown(self, now_ms: float, factor: float) -> None:
        """Run `factor` times slower than the spec's speed from now on."""
        self._advance(now_ms)
        self._slowdown = factor

    def set_stalled(self, now_ms: float, *, is_stalled: bool) -> None:
        """Stop all work, or resume it."""
        self._advance(now_ms)
        self._is_stalled = is_stalled

    def step(self, now_ms: float) -> list[JobProgress]:
        """Advance to `now_ms` and return the changes of jobs, in order."""
        self._advance(now_ms)
        return [*self._report_running(now_ms), *self._start_queued(now_ms)]

    def _report_running(self, now_ms: float) -> list[JobProgress]:
        events = []
        for name, job in list(self._running.items()):
            if job.remaining_work_ms <= _NEGLIGIBLE_WORK_MS:
                del self._running[name]
                events.append(JobProgress(name, JobState.DONE))
            elif now_ms >= job.next_progress_ms and not self._is_stalled:
                job.next_progress_ms = now_ms + self.spec.progress_interval_ms
                events.append(JobProgress(name, JobState.RUNNING, 1.0 - job.remaining_work_ms / job.work_ms))
        return events

    def _start_queued(self, now_ms: float) -> list[JobProgress]:
        events = []
        interval_ms = self.spec.progress_interval_ms
        used_slots = sum(job.slots for job in self._running.values())
        while self._queue and not self._is_stalled:
            name, job = next(iter(self._queue.items()))
            if used_slots + job.slots > self.spec.slots:
                break  # first in, first out: later jobs don't overtake the head of the queue
            del self._queue[name]
            self._running[name] = job
            used_slots += job.slots
            job.next_progress_ms = now_ms + interval_ms if interval_ms else math.inf
            events.append(JobProgress(name, JobState.STARTED))
        return events

    def next_due_ms(self) -> float:
        """Return the time of the next call of `step` that is due if nothing else changes, or infinity."""
        speed = self._speed_per_slot()
        if speed <= 0.0:
            return math.inf
        jobs = self._running.values()
        run_ms = min((job.remaining_work_ms / speed for job in jobs), default=math.inf)
        progress_due_ms = min((job.next_progress_ms for job in jobs), default=math.inf)
        is_in_slow_start = self.slow_start_factor(self._now_ms) < 1.0
        recompute_due_ms = (
            self._now_ms + _SLOW_START_RECOMPUTE_MS if is_in_slow_start and self._running else math.inf
        )
        return min(self._now_ms + max(0.0, run_ms), progress_due_ms, recompute_due_ms)
