"""An open-loop load generator: arrivals are drawn in advance, and latency counts from the intended start."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

import numpy as np
import psutil
import trio
from hdrh.histogram import HdrHistogram

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import RequestRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from burlmoor.testbed.clients import ClientPool
    from burlmoor.testbed.job_classes import JobClass

_MAX_LATENCY_US = 60_000_000  # upper end of a histogram; higher values are recorded as this one
_SIGNIFICANT_DIGITS = 3
_WORK_SIGMA = 0.5  # standard deviation of the logarithm of a job's work
_ZIPF_EXPONENT = 1.5
_MAX_KEYS = 50
_MIN_SLEEP_MS = 0.5
_CHECKPOINT_INTERVAL_JOBS = 8  # a generator that lags lets other tasks run at each such interval


class JobOutcome(StrEnum):
    """How a job ended for its client; the values are those of reports."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no answer"


class Arrival(NamedTuple):
    """One job of a load."""

    at_seconds: float  # since the start of the load
    job_class: JobClass
    work_ms: float
    key: str


def draw_arrivals(
    rate: float, seconds: float, job_classes: Sequence[JobClass], seed: int, scale: float = 1.0
) -> list[Arrival]:
    """Draw the arrivals of a Poisson process of `rate` jobs per second.

    Classes are drawn by their fractions. Work is log-normal, with a mean of `scale` times that of its class.
    """
    rng = np.random.default_rng(seed)
    count = rng.poisson(rate * seconds)
    times = np.sort(rng.uniform(0.0, seconds, count))
    fractions = np.array([job_class.fraction for job_class in job_classes])
    chosen = rng.choice(len(job_classes), size=count, p=fractions / fractions.sum())
    factors = rng.lognormal(-0.5 * _WORK_SIGMA**2, _WORK_SIGMA, count)
    keys = np.minimum(rng.zipf(_ZIPF_EXPONENT, count), _MAX_KEYS)
    arrivals = []
    for at_seconds, index, factor, key in zip(times, chosen, factors, keys, strict=True):
        job_class = job_classes[index]
        work_ms = float(scale * job_class.mean_work_ms * factor)
        arrivals.append(Arrival(float(at_seconds), job_class, work_ms, f"k{key}"))
    return arrivals


@dataclass
class OutcomeTally:
    """The outcomes of one class's jobs, and the latencies of the served ones."""

    outcomes: Counter[JobOutcome] = field(default_factory=Counter)
    served_latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    )

    def add(self, request: RequestRecord) -> None:
        """Count one job whose client has an answer or no longer waits."""
        if request.is_served:
            self.outcomes[JobOutcome.SERVED] += 1
            latency_us = int(request.latency_ms * 1000.0)
            self.served_latency.record_value(max(1, min(_MAX_LATENCY_US, latency_us)))
        elif request.is_rejected:
            self.outcomes[JobOutcome.REJECTED] += 1
        else:
            self.outcomes[JobOutcome.FAILED if request.answer_count else JobOutcome.NO_ANSWER] += 1

    @property
    def job_count(self) -> int:
        """The number of jobs counted."""
        return self.outcomes.total()

    def latency_percentile_ms(self, percentile: float) -> float:
        """Return the latency of served jobs at a percentile."""
        return float(self.served_latency.get_value_at_percentile(percentile)) / 1000.0


class ProcessUsage(NamedTuple):
    """The CPU time and memory that a process has used."""

    cpu_ms: float = 0.0
    memory_bytes: int = 0  # resident, at the end of the measurement

    @property
    def memory_mib(self) -> float:
        """The resident memory in MiB."""
        return self.memory_bytes / 2**20


@dataclass
class LoadReport:
    """The measurements of one load."""

    seconds: float
    by_class: dict[str, OutcomeTally] = field(default_factory=dict)
    usage: ProcessUsage = field(default_factory=ProcessUsage)  # of the node's process; 0 if unknown
    max_lag_ms: float = 0.0  # longest delay of a job by the generator itself

    @property
    def all_classes(self) -> OutcomeTally:
        """The tally of all classes together."""
        sum_of_classes = OutcomeTally()
        for tally in self.by_class.values():
            sum_of_classes.outcomes.update(tally.outcomes)
            sum_of_classes.served_latency.add(tally.served_latency)
        return sum_of_classes

    @property
    def cpu_ms_per_job(self) -> float:
        """The CPU time of the node's process per job."""
        return self.usage.cpu_ms / max(1, self.all_classes.job_count)

    def to_json_object(self) -> dict[str, Any]:
        """Return the report as an object for JSON."""
        all_classes = self.all_classes
        tallies = {**self.by_class, "all": all_classes}
        return {
            "seconds": round(self.seconds, 3),
            "generator_behind_ms": round(self.max_lag_ms, 1),
            "node_cpu_ms_per_job": round(self.cpu_ms_per_job, 4),
            "node_memory_mib": round(self.usage.memory_mib, 1),
            "classes": {name: self._class_figures(tally) for name, tally in tallies.items()},
        }

    def _class_figures(self, tally: OutcomeTally) -> dict[str, Any]:
        percentile_ms = tally.latency_percentile_ms
        return {
            "asked": tally.job_count,
            **dict(sorted(tally.outcomes.items())),
            "served_per_s": round(tally.outcomes[JobOutcome.SERVED] / self.seconds, 1),
            "p50_ms": percentile_ms(50.0),
            "p90_ms": percentile_ms(90.0),
            "p99_ms": percentile_ms(99.0),
            "max_ms": percentile_ms(100.0),
        }


class LoadGenerator:
    """Sends each job at its time, whether or not earlier ones have been answered (open loop)."""

    def __init__(self, clients: Sequence[ClientPool], id_prefix: str = "load") -> None:
        self.report = LoadReport(1.0)
        self._clients = clients
        self._id_prefix = id_prefix

    async def run(
        self, arrivals: Sequence[Arrival], on_answered: Callable[[int], None] = lambda _count: None
    ) -> LoadReport:
        """Send every job and wait for all answers; `on_answered` is called with 1 after each."""
        start_ms = now_ms()
        async with trio.open_nursery() as nursery:
            for number, arrival in enumerate(arrivals):
                intended_ms = start_ms + arrival.at_seconds * 1000.0
                wait_ms = intended_ms - now_ms()
                if wait_ms > _MIN_SLEEP_MS:
                    await trio.sleep(wait_ms / 1000.0)
                elif number % _CHECKPOINT_INTERVAL_JOBS == 0:
                    await trio.lowlevel.checkpoint()
                self.report.max_lag_ms = max(self.report.max_lag_ms, now_ms() - intended_ms)
                nursery.start_soon(self._send, number, arrival, intended_ms, on_answered)
        run_seconds = arrivals[-1].at_seconds if arrivals else (now_ms() - start_ms) / 1000.0
        self.report.seconds = max(run_seconds, 1e-3)
        return self.report

    async def _send(
        self, number: int, arrival: Arrival, intended_ms: float, on_answered: Callable[[int], None]
    ) -> None:
        job_class = arrival.job_class
        # Latency counts from the intended start, so that a generator that lags does not hide it.
        request = RequestRecord(
            f"{self._id_prefix}-{number}", job_class.name, intended_ms, job_class.timeout_ms, arrival.work_ms
        )
        await self._clients[number % len(self._clients)].send(request, key=arrival.key)
        self.report.by_class.setdefault(job_class.name, OutcomeTally()).add(request)
        on_answered(1)


class ProcessMeter:
    """Measures the memory of a process, and its CPU time since the meter was created."""

    def __init__(self, pid: int) -> None:
        self._process = psutil.Process(pid)
        self._start_cpu_ms = self._read_cpu_ms()

    def _read_cpu_ms(self) -> float:
        times = self._process.cpu_times()
        return 1000.0 * float(times.user + times.system)

    def read(self) -> ProcessUsage:
        """Return the CPU time since the meter was created, and the current resident memory."""
        return ProcessUsage(self._read_cpu_ms() - self._start_cpu_ms, self._process.memory_info().rss)
