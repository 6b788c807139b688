"""Measures how evenly load was spread in a run, from what clients and executors observed.

- thundering herd: the number of jobs that reach one executor within a window, relative to the number if the
  same jobs are assigned round robin.
- evenness: the ratio of maximum to mean, and the coefficient of variation, of outstanding work per capacity
  (Jain et al. 1984 compare such indices; the variation tells a few hot executors from many uneven ones).
- idleness: the share of executors' time without any job while jobs waited or were rejected anywhere.
- recovery time: the time from a fault's end until the variation returns to its level before any fault, and
  stays there.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import numpy as np

from burlmoor.testbed.fleet.load_grid import (
    SETTLING_SECONDS,
    SETTLING_SLICES,
    SLICE_MS,
    SLICES_PER_SECOND,
    LoadGrid,
    measure_evenness,
    smooth_over_a_second,
)
from burlmoor.testbed.job_classes import JOB_CLASSES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
    from burlmoor.testbed.fleet.record import RunRecord

HERD_WINDOW_MS = 50.0
RECOVERED_FACTOR = 1.25  # multiple of the usual variation up to which a run counts as recovered
RECOVERED_SECONDS = 2.0  # how long the variation must stay within that limit
_START_ALLOWANCE_MS = 100.0  # how long a job may be in transit without counting as waiting
_HERD_QUANTILE = 0.999
_MEDIAN = 0.5
_TAIL = 0.99
_HALF = 0.5  # counts are sums of floats: above a half means at least one


class SpreadMetrics(msgspec.Struct):
    """The metrics of one way to spread the jobs of a run."""

    thundering_herd_p999: float = msgspec.field(name="thundering_herd")  # at p99.9, relative to round robin
    thundering_herd_max: float
    max_over_mean: float  # median over the slices
    variation: float  # median over the slices
    idleness: float
    served: float  # share of the jobs
    served_in_time: float  # share of the jobs that were served within their latency objective
    latency_p50_ms: float  # of served jobs
    latency_p99_ms: float
    recovery_seconds: dict[str, float] = {}  # from the end of each fault


class ThunderingHerd(NamedTuple):
    """The number of jobs that reach one executor within a window, relative to round robin."""

    p999: float  # over all windows in which an executor got a job
    maximum: float


class FaultWindow(NamedTuple):
    """The period in which a fault was in effect anywhere, in ms on the machine's clock."""

    name: str
    start_ms: float
    end_ms: float


def measure_thundering_herd(grid: LoadGrid, attempts: Sequence[AttemptRecord]) -> ThunderingHerd:
    """Compare the job counts per executor and window with those of the same jobs assigned round robin."""
    if not attempts:
        return ThunderingHerd(0.0, 0.0)
    received = sorted((attempt.received_ms, grid.executor_numbers[attempt.executor]) for attempt in attempts)
    windows = [int((at_ms - grid.start_ms) // HERD_WINDOW_MS) for at_ms, _ in received]
    observed = _count_per_window(grid, windows, [executor for _, executor in received])
    round_robin = _count_per_window(grid, windows, _assign_round_robin(grid, len(received)))
    return ThunderingHerd(
        float(np.quantile(observed, _HERD_QUANTILE) / np.quantile(round_robin, _HERD_QUANTILE)),
        float(observed.max() / round_robin.max()),
    )


def _count_per_window(grid: LoadGrid, windows: Sequence[int], executors: Sequence[int]) -> np.ndarray:
    """Return the job counts of all pairs of a window and an executor that have any job."""
    keys = np.array(windows, dtype=np.int64) * len(grid.capacities) + np.array(executors, dtype=np.int64)
    return np.unique(keys, return_counts=True)[1]


def _assign_round_robin(grid: LoadGrid, count: int) -> list[int]:
    """Assign `count` jobs to executors by smooth round robin, weighted by capacity."""
    shares = grid.capacities / grid.capacities.sum()
    current_weights = np.zeros(len(shares))
    assigned = []
    for _ in range(count):
        current_weights += shares
        executor = int(np.argmax(current_weights))
        current_weights[executor] -= 1.0
        assigned.append(executor)
    return assigned


def find_unmet_demand(
    grid: LoadGrid, requests: Sequence[RequestRecord], attempts: Sequence[AttemptRecord]
) -> np.ndarray:
    """Return whether any job waited to start or was rejected, for each slice."""
    started_ms: dict[str, float] = {}
    for attempt in attempts:
        if attempt.started_ms is not None:
            started_ms[attempt.id] = min(attempt.started_ms, started_ms.get(attempt.id, math.inf))
    changes = np.zeros(grid.slice_count + 1)
    for request in requests:
        ended_ms = request.sent_ms + request.timeout_ms
        if request.answered_ms is not None:
            ended_ms = request.answered_ms
        waited_until_ms = min(started_ms.get(request.id, math.inf), ended_ms)
        if waited_until_ms > request.sent_ms + _START_ALLOWANCE_MS:
            changes[grid.slice_at(request.sent_ms + _START_ALLOWANCE_MS)] += 1.0
            changes[grid.slice_at(waited_until_ms)] -= 1.0
        if request.is_rejected:
            rejected = grid.slice_at(ended_ms)
            changes[rejected] += 1.0
            changes[min(grid.slice_count, rejected + 1)] -= 1.0
    return np.asarray(np.cumsum(changes)[:-1] > _HALF)


def measure_idleness(
    grid: LoadGrid, requests: Sequence[RequestRecord], attempts: Sequence[AttemptRecord]
) -> float:
    """Return the share of executors' time without a job while there was unmet demand."""
    is_without_job = grid.job_counts(attempts) < _HALF
    is_idle = is_without_job & grid.is_available & find_unmet_demand(grid, requests, attempts)[:, None]
    is_idle[:SETTLING_SLICES] = False
    counted = grid.is_available[SETTLING_SLICES:].sum()
    return float(is_idle.sum() / max(1, counted))


def measure_recovery(
    grid: LoadGrid, variation: np.ndarray, windows: Sequence[FaultWindow]
) -> dict[str, float]:
    """Return the seconds from each fault's end until the variation is back at its usual level to stay.

    `windows` must be ordered by start. The usual level is the median of the variation before the first fault,
    smoothed over a second. The time is infinite if there is no recovery before the next fault or the end of
    the run.
    """
    if not windows:
        return {}
    smooth = smooth_over_a_second(variation, "same")
    first_fault = grid.slice_at(min(window.start_ms for window in windows))
    usual_variation = math.inf
    if first_fault > SETTLING_SECONDS * SLICES_PER_SECOND:
        usual_variation = float(np.median(smooth[SETTLING_SLICES:first_fault]))
    recovery = {}
    for number, window in enumerate(windows):
        later = [each.start_ms for each in windows[number + 1 :] if each.start_ms > window.end_ms]
        end = grid.slice_at(min(later)) if later else grid.slice_count
        is_usual = smooth[grid.slice_at(window.end_ms) : end] <= RECOVERED_FACTOR * usual_variation
        recovery[window.name] = _first_lasting_slice(is_usual) * SLICE_MS / 1000.0
    return recovery


def _first_lasting_slice(is_usual: np.ndarray) -> float:
    """Return the first slice from which the variation stays usual for `RECOVERED_SECONDS`, or infinity."""
    length = int(RECOVERED_SECONDS * SLICES_PER_SECOND)
    for first in range(max(0, len(is_usual) - length + 1)):
        if is_usual[first : first + length].all():
            return first
    return math.inf


def fault_windows(record: RunRecord) -> list[FaultWindow]:
    """Return the period of each fault of a run, ordered by start."""
    return [
        FaultWindow(
            f"{fault.kind} at {fault.start:g} s",
            record.start_ms + fault.start * 1000.0,
            record.start_ms + fault.end_for_all * 1000.0,
        )
        for fault in sorted(record.plan.schedule.faults, key=lambda each: each.start)
    ]


def measure_spread(
    record: RunRecord, requests: Sequence[RequestRecord], attempts: Sequence[AttemptRecord]
) -> SpreadMetrics:
    """Return all metrics of one way to spread the jobs of a run."""
    grid = LoadGrid.from_record(record)
    evenness = measure_evenness(grid, attempts)
    herd = measure_thundering_herd(grid, attempts)
    served = [request for request in requests if request.is_served]
    latencies_ms = [request.latency_ms for request in served]
    return SpreadMetrics(
        thundering_herd_p999=herd.p999,
        thundering_herd_max=herd.maximum,
        max_over_mean=float(np.median(evenness.max_over_mean[SETTLING_SLICES:])),
        variation=float(np.median(evenness.variation[SETTLING_SLICES:])),
        idleness=measure_idleness(grid, requests, attempts),
        served=len(served) / max(1, len(requests)),
        served_in_time=sum(map(_is_within_objective, served)) / max(1, len(requests)),
        latency_p50_ms=float(np.quantile(latencies_ms, _MEDIAN)) if latencies_ms else 0.0,
        latency_p99_ms=float(np.quantile(latencies_ms, _TAIL)) if latencies_ms else 0.0,
        recovery_seconds=measure_recovery(grid, evenness.variation, fault_windows(record)),
    )


def _is_within_objective(request: RequestRecord) -> bool:
    """Return whether the latency is within the objective of the job's class, which grows with its work."""
    job_class = next(each for each in JOB_CLASSES if each.name == request.job_class)
    objective_ms = job_class.latency_objective_ms + job_class.objective_stretch * request.work_ms
    return request.latency_ms <= objective_ms
