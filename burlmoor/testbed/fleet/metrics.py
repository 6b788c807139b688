"""What a run shows of how load is spread: herds, evenness, idleness, and how soon it heals.

Pure: rests on the far sides' rows alone. Time is cut into slices; a slice's state is that at its beginning.

- herd: jobs that reach one executor within a window, against what the same jobs, dealt in turn, give.
- evenness: work held over what an executor can do, its greatest over its mean and its coefficient of
  variation (Jain et al. 1984 weigh such indices; the variation tells a few hot executors from many uneven
  ones).
- idleness: executors' time without any job while jobs waited or were refused anywhere, as a share of it.
- time to heal: from a trouble's end until the variation is back, and stays, where it was before any.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
import numpy as np

from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.fleet.record import Record, Span
from burlmoor.testbed.job_classes import JOB_CLASSES

SLICE = 100.0  # ms
HERD = 50.0  # ms
SETTLED = 5.0  # seconds from the begin that a fleet which knows nothing may take
CALM = 1.25  # times the usual variation that count as healed
STAYS = 2.0  # seconds for which it must hold
_WAITS = 100.0  # ms that any job may be on its way without counting as waiting
_AWAY = ("die", "drain", "still", "fail")


class Spread(msgspec.Struct):
    """What was measured of one way to spread the same jobs."""

    herd: float  # at p99.9, over what dealing in turn gives
    herd_most: float
    worst_over_mean: float  # median over the slices
    variation: float  # median over the slices
    idleness: float
    served: float  # share of the jobs
    in_time: float  # share of the jobs served within their aim
    latency_p50: float  # ms, of what was served
    latency_p99: float
    heal: dict[str, float] = {}  # seconds from the end of each trouble


class Grid:
    """Owns the slices of a run: by slice and executor what is held and what can be done."""

    def __init__(
        self,
        specs: Sequence[ExecutorSpec],
        names: Sequence[str],
        begin: float,
        seconds: float,
        spans: Sequence[Span],
    ) -> None:
        self.begin, self.count = begin, int(seconds * 1000.0 / SLICE)
        self.names = {name: number for number, name in enumerate(names)}
        self.able = np.array([spec.capacity for spec in specs])
        self.up = np.ones((self.count, len(specs)), dtype=bool)
        for span in spans:
            if span.what in _AWAY and span.who in self.names:
                self.up[self.slot(span.since) : self.slot(span.until) + 1, self.names[span.who]] = False

    def slot(self, at: float) -> int:
        """The slice of a moment, within the run."""
        if at == math.inf:
            return self.count
        return int(min(max(0.0, (at - self.begin) // SLICE), self.count))

    def held(self, rows: Sequence[AttemptRecord], jobs: bool = False) -> np.ndarray:
        """Work in hand (core-ms at speed 1), or the number of jobs, by slice and executor."""
        found = np.zeros((self.count + 1, len(self.able)))
        for row in rows:
            if row.outcome == "full":
                continue
            size = 1.0 if jobs else row.work_ms * row.slots
            number = self.names[row.executor]
            until = row.ended_ms if row.ended_ms is not None else math.inf
            found[self.slot(row.received_ms), number] += size
            found[self.slot(until), number] -= size
        return np.cumsum(found, axis=0)[:-1]


def variation(grid: Grid, rows: Sequence[AttemptRecord]) -> tuple[np.ndarray, np.ndarray]:
    """By slice: the coefficient of variation of work held over capacity, and its greatest over its mean."""
    load = np.where(grid.up, grid.held(rows) / grid.able, np.nan)
    with np.errstate(all="ignore"):
        mean = np.nanmean(load, axis=1)
        cv = np.nanstd(load, axis=1) / mean
        most = np.nanmax(load, axis=1) / mean
    return np.nan_to_num(cv), np.nan_to_num(most)


def herds(grid: Grid, rows: Sequence[AttemptRecord]) -> tuple[float, float]:
    """Herd at p99.9 of all windows in which an executor got work, and the greatest of all."""
    came = sorted((row.received_ms, grid.names[row.executor]) for row in rows)
    windows = [int((at - grid.begin) // HERD) for at, _ in came]

    def counts(executors: Sequence[int]) -> np.ndarray:
        keys = np.array(windows, dtype=np.int64) * len(grid.able) + np.array(executors, dtype=np.int64)
        return np.unique(keys, return_counts=True)[1]

    if not came:
        return 0.0, 0.0
    seen, even = counts([number for _, number in came]), counts(_dealt(grid, len(came)))
    return (
        float(np.quantile(seen, 0.999) / np.quantile(even, 0.999)),
        float(seen.max() / even.max()),
    )


def _dealt(grid: Grid, count: int) -> list[int]:
    """Executors in turn, by size: the smooth weighted round robin."""
    current, dealt = np.zeros(len(grid.able)), []
    share = grid.able / grid.able.sum()
    for _ in range(count):
        current += share
        best = int(np.argmax(current))
        current[best] -= 1.0
        dealt.append(best)
    return dealt


def wanting(grid: Grid, asked: Sequence[RequestRecord], rows: Sequence[AttemptRecord]) -> np.ndarray:
    """By slice: whether any job waited to begin, or was refused."""
    began: dict[str, float] = {}
    for row in rows:
        if row.started_ms is not None:
            began[row.id] = min(row.started_ms, began.get(row.id, math.inf))
    found = np.zeros(grid.count + 1)
    for job in asked:
        over = job.answered_ms if job.answered_ms is not None else job.sent_ms + job.timeout_ms
        until = min(began.get(job.id, math.inf), over)
        if until > job.sent_ms + _WAITS:
            found[grid.slot(job.sent_ms + _WAITS)] += 1.0
            found[grid.slot(until)] -= 1.0
        if job.is_rejected:
            found[grid.slot(over)] += 1.0
            found[min(grid.count, grid.slot(over) + 1)] -= 1.0
    return np.asarray(np.cumsum(found)[:-1] > 0.5)


def idleness(grid: Grid, asked: Sequence[RequestRecord], rows: Sequence[AttemptRecord]) -> float:
    """The share of executors' time without work while somebody wanted some."""
    held = grid.held(rows, jobs=True)
    idle = (held < 0.5) & grid.up & wanting(grid, asked, rows)[:, None]
    idle[: int(SETTLED * 1000.0 / SLICE)] = False
    counted = grid.up[int(SETTLED * 1000.0 / SLICE) :].sum()
    return float(idle.sum() / max(1, counted))


def heals(grid: Grid, cv: np.ndarray, ends: Sequence[tuple[str, float, float]]) -> dict[str, float]:
    """Seconds from each trouble's end until the variation is usual and stays so; `ends` go by their begin.

    Usual is the median of what was before the first trouble, smoothed over a second. Infinite where it does
    not heal before the next trouble or the end of the run: what was not seen is not claimed.
    """
    if not ends:
        return {}
    per_second = int(1000.0 / SLICE)
    smooth = np.convolve(cv, np.ones(per_second) / per_second, mode="same")
    first = grid.slot(min(since for _, since, _ in ends))
    usual = (
        float(np.median(smooth[int(SETTLED * per_second) : first]))
        if first > SETTLED * per_second
        else math.inf
    )
    found = {}
    for place, (name, _, until) in enumerate(ends):
        begin = grid.slot(until)
        later = [since for _, since, _ in ends[place + 1 :] if since > until]
        end = grid.slot(min(later)) if later else grid.count
        calm = smooth[begin:end] <= CALM * usual
        stays = int(STAYS * per_second)
        healed = next((n for n in range(max(0, len(calm) - stays + 1)) if calm[n : n + stays].all()), None)
        found[name] = math.inf if healed is None else healed * SLICE / 1000.0
    return found


def ends(record: Record) -> list[tuple[str, float, float]]:
    """Each trouble of a run, by what and when: its begin and end in ms."""
    return [
        (f"{t.what} at {t.at:g} s", record.begin + t.at * 1000.0, record.begin + t.past * 1000.0)
        for t in sorted(record.plan.schedule.troubles, key=lambda each: each.at)
    ]


def spread(record: Record, asked: Sequence[RequestRecord], rows: Sequence[AttemptRecord]) -> Spread:
    """All figures for one way in which the jobs of a run were spread."""
    names = record.names()
    grid = Grid([record.specs[n] for n in names], names, record.begin, record.plan.seconds, record.spans)
    cv, most = variation(grid, rows)
    settled = slice(int(SETTLED * 1000.0 / SLICE), None)
    herd, herd_most = herds(grid, rows)
    aims = {kind.name: (kind.latency_objective_ms, kind.objective_stretch) for kind in JOB_CLASSES}
    served = [job for job in asked if job.is_served]
    late = [job.latency_ms for job in served]
    in_time = sum(
        job.latency_ms <= aims[job.job_class][0] + aims[job.job_class][1] * job.work_ms for job in served
    )
    return Spread(
        herd=herd,
        herd_most=herd_most,
        worst_over_mean=float(np.median(most[settled])),
        variation=float(np.median(cv[settled])),
        idleness=idleness(grid, asked, rows),
        served=len(served) / max(1, len(asked)),
        in_time=in_time / max(1, len(asked)),
        latency_p50=float(np.quantile(late, 0.5)) if late else 0.0,
        latency_p99=float(np.quantile(late, 0.99)) if late else 0.0,
        heal=heals(grid, cv, ends(record)),
    )
