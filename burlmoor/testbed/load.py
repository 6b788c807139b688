"""An open-loop load: arrivals drawn ahead, latency from the intended start, HDR histograms by class."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np
import psutil
import trio
from hdrh.histogram import HdrHistogram

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import RequestRecord
from burlmoor.testbed.job_classes import JobClass

_LONGEST = 60_000_000  # us that a histogram reaches to
_SIGMA = 0.5  # of the logarithm of a job's work


class Arrival(NamedTuple):
    """One job of a load; `at` in seconds from its begin, work in ms."""

    at_seconds: float
    job_class: JobClass
    work_ms: float
    key: str


def draw_arrivals(
    rate: float, seconds: float, kinds: Sequence[JobClass], seed: int, scale: float = 1.0
) -> list[Arrival]:
    """A Poisson stream of jobs: classes by their shares, work lognormal round `scale` times their means."""
    rng = np.random.default_rng(seed)
    count = rng.poisson(rate * seconds)
    at = np.sort(rng.uniform(0.0, seconds, count))
    shares = np.array([kind.share for kind in kinds])
    chosen = rng.choice(len(kinds), size=count, p=shares / shares.sum())
    spread = rng.lognormal(-0.5 * _SIGMA**2, _SIGMA, count)
    keys = np.minimum(rng.zipf(1.5, count), 50)
    return [
        Arrival(float(t), kinds[k], float(scale * kinds[k].mean_work_ms * s), f"k{z}")
        for t, k, s, z in zip(at, chosen, spread, keys, strict=True)
    ]


@dataclass
class OutcomeTally:
    """Owns what came of one class's jobs: outcomes, and how long the served ones took."""

    outcomes: Counter[str] = field(default_factory=Counter)
    served_latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, _LONGEST, 3))

    def add(self, asked: RequestRecord) -> None:
        """Count one answered or abandoned job."""
        if asked.is_served:
            self.outcomes["served"] += 1
            self.served_latency.record_value(max(1, min(_LONGEST, int(asked.latency_ms * 1000.0))))
        elif asked.is_rejected:
            self.outcomes["refused"] += 1
        else:
            self.outcomes["failed" if asked.answer_count else "no answer"] += 1

    @property
    def job_count(self) -> int:
        """How many there were."""
        return self.outcomes.total()

    def latency_percentile_ms(self, percentile: float) -> float:
        """Latency of served jobs at a percentile, in ms."""
        return float(self.served_latency.get_value_at_percentile(percentile)) / 1000.0


@dataclass
class LoadReport:
    """What a load has shown."""

    seconds: float
    by_class: dict[str, OutcomeTally] = field(default_factory=dict)
    cpu_ms: float = 0.0  # of the node's process
    memory_bytes: int = 0  # its resident bytes at the end
    max_lag_ms: float = 0.0  # the most by which the generator itself was late

    @property
    def all_classes(self) -> OutcomeTally:
        """All classes together."""
        whole = OutcomeTally()
        for tally in self.by_class.values():
            whole.outcomes.update(tally.outcomes)
            whole.served_latency.add(tally.served_latency)
        return whole

    def to_json_object(self) -> dict[str, Any]:
        """The report as plain figures."""
        rows = {**self.by_class, "all": self.all_classes}
        return {
            "seconds": round(self.seconds, 3),
            "generator_behind_ms": round(self.max_lag_ms, 1),
            "node_cpu_ms_per_job": round(self.cpu_ms / max(1, rows["all"].job_count), 4),
            "node_memory_mib": round(self.memory_bytes / 2**20, 1),
            "classes": {name: self._class_figures(tally) for name, tally in rows.items()},
        }

    def _class_figures(self, tally: OutcomeTally) -> dict[str, Any]:
        percentile_ms = tally.latency_percentile_ms
        return {
            "asked": tally.job_count,
            **dict(sorted(tally.outcomes.items())),
            "served_per_s": round(tally.outcomes["served"] / self.seconds, 1),
            "p50_ms": percentile_ms(50.0),
            "p90_ms": percentile_ms(90.0),
            "p99_ms": percentile_ms(99.0),
            "max_ms": percentile_ms(100.0),
        }


class LoadGenerator:
    """Owns one open loop: each job is sent at its time whatever became of those before it."""

    def __init__(self, clients: Sequence[ClientPool], prefix: str = "load") -> None:
        self._clients, self._prefix = clients, prefix
        self.report = LoadReport(1.0)

    async def run(
        self, arrivals: Sequence[Arrival], done: Callable[[int], None] = lambda _n: None
    ) -> LoadReport:
        """Send every job and wait for all answers; `done` hears of each."""
        began = now_ms()
        async with trio.open_nursery() as nursery:
            for number, arrival in enumerate(arrivals):
                due = began + arrival.at_seconds * 1000.0
                wait = due - now_ms()
                if wait > 0.5:
                    await trio.sleep(wait / 1000.0)
                elif number % 8 == 0:
                    await trio.lowlevel.checkpoint()
                self.report.max_lag_ms = max(self.report.max_lag_ms, now_ms() - due)
                nursery.start_soon(self._one, number, arrival, due, done)
        self.report.seconds = max((now_ms() - began) / 1000.0, 1e-3)
        if arrivals:
            self.report.seconds = max(arrivals[-1].at_seconds, 1e-3)
        return self.report

    async def _one(self, number: int, arrival: Arrival, due: float, done: Callable[[int], None]) -> None:
        ref = f"{self._prefix}-{number}"
        # Latency counts from when the job was to be sent: a generator that lags hides nothing.
        asked = RequestRecord(ref, arrival.job_class.name, due, arrival.job_class.timeout_ms, arrival.work_ms)
        await self._clients[number % len(self._clients)].send(asked, key=arrival.key)
        self.report.by_class.setdefault(arrival.job_class.name, OutcomeTally()).add(asked)
        done(1)


class ProcessMeter:
    """Owns the reading of one process's CPU and memory; its children count."""

    def __init__(self, pid: int) -> None:
        self._process = psutil.Process(pid)
        self._began = self._cpu()
        self._at = time.monotonic()

    def _cpu(self) -> float:
        times = self._process.cpu_times()
        return 1000.0 * float(times.user + times.system)

    def read_into(self, report: LoadReport) -> None:
        """Book what was used since the meter was made."""
        report.cpu_ms = self._cpu() - self._began
        report.memory_bytes = self._process.memory_info().rss
