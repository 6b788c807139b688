"""The schedule of the deferred-job drill: plain jobs, and families of jobs with run conditions.

All jobs are drawn ahead of time from one seed. Changing the order of the draws changes the jobs that a seed
gives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass

EXECUTOR_COUNT = 6
CORES_PER_EXECUTOR = 2.0
PLAIN_ID_PREFIX = "p-"  # of the IDs of jobs without run conditions
_NODE_COUNT = 2
_CONFIRM_CLASS = JOB_CLASSES[2]
_MEAN_PLAIN_WORK_MS = 200.0
_WORK_SIGMA = 0.5  # standard deviation of the logarithm of a plain job's work
_PLAIN_CLASS_FRACTIONS = (0.7, 0.2, 0.1)
_FAMILY_CLASS_FRACTIONS = (0.5, 0.3, 0.2)
_LOAD_FACTORS = (0.8, 1.3)  # relative to the executors' capacity, in each half of the drill
_MAX_TIMEOUT_SECONDS = 40.0
_FIRST_START_SECONDS = 0.5  # earliest start of a family
_LAST_START_SECONDS = 2.0  # latest start of a family, before the end of the drill
_INTERVAL_JITTER = (0.7, 1.3)  # range of factors on the mean interval between families of a kind
_MAX_CHAIN_DELAY_SECONDS = 0.3  # between the start of a chain and the sending of each job
_CHAIN_LENGTHS = (20, 60, 200)
_FAN_CHILDREN = 10
_DIAMOND_SIDES = 4
_BURST_JOBS = 60
_FAILING_GENERATIONS = 10  # length of the chain below a failing parent
_ABANDONED_CHILDREN = 5
_MAX_OVERRUN_SECONDS = 20.0  # deferred jobs time out at most this long after the end of the drill


@dataclass(slots=True)
class ScheduledJob:
    """One job to send; times are in seconds from the start of the drill."""

    at_seconds: float
    id: str
    job_class: JobClass
    work_ms: float
    run_after: tuple[str, ...] = ()
    not_before_seconds: float = 0.0
    timeout_ms: float = 0.0  # 0: the timeout of its class
    is_failing: bool = False  # whether its executor reports it as failed
    disconnect_after_seconds: float = 0.0  # 0: its client waits for the answer
    node: int = 0


def draw_schedule(seconds: float, seed: int) -> list[ScheduledJob]:
    """Draw all jobs of a drill of `seconds`, in the order in which they are sent."""
    return _ScheduleGenerator(seconds, seed).draw()


class _ScheduleGenerator:
    """Draws the jobs of one schedule from one random generator."""

    def __init__(self, seconds: float, seed: int) -> None:
        self._seconds = seconds
        self._seed = seed
        self._rng = np.random.default_rng(seed)
        self._last_number = 0
        self._jobs: list[ScheduledJob] = []

    def draw(self) -> list[ScheduledJob]:
        """Draw all jobs; may be called only once."""
        self._draw_plain_jobs()
        for mean_interval_seconds, draw_family in (
            (6.0, self._draw_chain),
            (2.0, self._draw_fan),
            (3.0, self._draw_diamond),
            (10.0, self._draw_burst),
            (3.0, self._draw_failing_parent),
            (4.0, self._draw_abandoned_parent),
            (5.0, self._draw_late_parent),
        ):
            at_seconds = float(self._rng.uniform(_FIRST_START_SECONDS, mean_interval_seconds))
            while at_seconds < self._seconds - _LAST_START_SECONDS:
                draw_family(at_seconds, int(self._rng.integers(_NODE_COUNT)))
                at_seconds += float(self._rng.uniform(*_INTERVAL_JITTER) * mean_interval_seconds)
        self._jobs.sort(key=lambda job: job.at_seconds)
        return self._jobs

    def _draw_plain_jobs(self) -> None:
        capacity = sum(ExecutorSpec(cores=CORES_PER_EXECUTOR).capacity for _ in range(EXECUTOR_COUNT))
        jobs_per_second = capacity * 1000.0 / _MEAN_PLAIN_WORK_MS
        half_seconds = self._seconds / 2.0
        for half, load in enumerate(_LOAD_FACTORS):
            count = self._rng.poisson(load * jobs_per_second * half_seconds)
            start, end = half * half_seconds, (half + 1) * half_seconds
            for at_seconds in self._rng.uniform(start, end, count):
                job_class = JOB_CLASSES[int(self._rng.choice(len(JOB_CLASSES), p=_PLAIN_CLASS_FRACTIONS))]
                work_ms = float(
                    self._rng.lognormal(math.log(_MEAN_PLAIN_WORK_MS) - 0.5 * _WORK_SIGMA**2, _WORK_SIGMA)
                )
                job = ScheduledJob(float(at_seconds), self._next_id("p"), job_class, work_ms)
                job.node = int(self._rng.integers(_NODE_COUNT))
                self._jobs.append(job)

    def _next_id(self, family: str) -> str:
        self._last_number += 1
        return f"{family}-{self._seed}-{self._last_number}"

    def _add(
        self,
        at_seconds: float,
        node: int,
        family: str,
        *run_after: str,
        work_ms: float,
        job_class: JobClass | None = None,
        not_before_seconds: float = 0.0,
        is_failing: bool = False,
        disconnect_after_seconds: float = 0.0,
    ) -> ScheduledJob:
        """Add a deferred job or a parent of one, of a random class unless `job_class` is given."""
        drawn_class = JOB_CLASSES[int(self._rng.choice(len(JOB_CLASSES), p=_FAMILY_CLASS_FRACTIONS))]
        timeout_seconds = min(_MAX_TIMEOUT_SECONDS, self._seconds - at_seconds + _MAX_OVERRUN_SECONDS)
        job = ScheduledJob(
            at_seconds,
            self._next_id(family),
            job_class or drawn_class,
            work_ms,
            run_after,
            not_before_seconds,
            timeout_ms=1000.0 * timeout_seconds,
            is_failing=is_failing,
            disconnect_after_seconds=disconnect_after_seconds,
            node=node,
        )
        self._jobs.append(job)
        return job

    def _draw_chain(self, at_seconds: float, node: int) -> None:
        length = int(self._rng.choice(_CHAIN_LENGTHS))
        previous = self._add(at_seconds, node, "chain", work_ms=15.0)
        for _ in range(length - 1):
            # With random delays, some jobs are sent before the job that they depend on.
            delay_seconds = float(self._rng.uniform(0.0, _MAX_CHAIN_DELAY_SECONDS))
            previous = self._add(at_seconds + delay_seconds, node, "chain", previous.id, work_ms=15.0)

    def _draw_fan(self, at_seconds: float, node: int) -> None:
        parent = self._add(at_seconds, node, "fan", work_ms=100.0)
        for _ in range(_FAN_CHILDREN):
            self._add(at_seconds, node, "fan", parent.id, work_ms=60.0)

    def _draw_diamond(self, at_seconds: float, node: int) -> None:
        top = self._add(at_seconds, node, "diamond", work_ms=80.0)
        sides = [
            self._add(at_seconds, node, "diamond", top.id, work_ms=80.0).id for _ in range(_DIAMOND_SIDES)
        ]
        self._add(at_seconds, node, "diamond", *sides, work_ms=80.0)

    def _draw_burst(self, at_seconds: float, node: int) -> None:
        """Draw many jobs with the same earliest start time: a thundering herd on release."""
        for _ in range(_BURST_JOBS):
            self._add(at_seconds, node, "burst", work_ms=60.0, not_before_seconds=at_seconds + 3.0)

    def _draw_failing_parent(self, at_seconds: float, node: int) -> None:
        """Draw a parent that fails, a chain of jobs below it, and as many other direct children."""
        parent = self._add(
            at_seconds, node, "failing", work_ms=150.0, is_failing=True, job_class=_CONFIRM_CLASS
        )
        previous = parent
        for _ in range(_FAILING_GENERATIONS):
            previous = self._add(at_seconds, node, "failing", previous.id, work_ms=20.0)
            self._add(at_seconds, node, "failing", parent.id, work_ms=20.0)

    def _draw_abandoned_parent(self, at_seconds: float, node: int) -> None:
        """Draw a parent with children; the clients of the parent and of one child disconnect."""
        family = "abandoned"
        parent = self._add(
            at_seconds, node, family, work_ms=2500.0, disconnect_after_seconds=0.5, job_class=_CONFIRM_CLASS
        )
        for _ in range(_ABANDONED_CHILDREN):
            self._add(at_seconds, node, family, parent.id, work_ms=20.0)
        child = self._add(at_seconds, node, family, parent.id, work_ms=20.0, disconnect_after_seconds=0.3)
        self._add(at_seconds, node, family, child.id, work_ms=20.0)

    def _draw_late_parent(self, at_seconds: float, node: int) -> None:
        """Draw a parent that is sent after its child, and a child of a parent that is never sent."""
        parent = self._add(at_seconds + 0.8, node, "late", work_ms=50.0)
        self._add(at_seconds, node, "late", parent.id, work_ms=50.0)
        self._add(at_seconds, node, "late", "nobody", work_ms=50.0)
