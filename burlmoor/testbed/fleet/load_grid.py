"""The load of each executor over time, in slices of equal length; each slice holds the state at its end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Literal, NamedTuple

import numpy as np

from burlmoor.testbed.event_record import AttemptOutcome
from burlmoor.testbed.fleet.fault_kinds import FaultKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.testbed.event_record import AttemptRecord
    from burlmoor.testbed.executor_model import ExecutorSpec
    from burlmoor.testbed.fleet.record import FaultInterval, RunRecord

SLICE_MS = 100.0
SLICES_PER_SECOND = int(1000.0 / SLICE_MS)
SETTLING_SECONDS = 5.0  # after the start, before the nodes have learned anything about the executors
SETTLING_SLICES = int(SETTLING_SECONDS * 1000.0 / SLICE_MS)
# While an executor has one of these faults, nodes are not expected to send it work.
_UNAVAILABILITY_FAULTS = (
    FaultKind.EXECUTOR_KILL,
    FaultKind.EXECUTOR_DRAIN,
    FaultKind.EXECUTOR_HANG,
    FaultKind.EXECUTOR_ERRORS,
)


class Evenness(NamedTuple):
    """How evenly the relative load (outstanding work / capacity) is spread over the executors, by slice.

    The load is less even where the values are higher.
    """

    variation: np.ndarray  # coefficient of variation
    max_over_mean: np.ndarray


class LoadGrid:
    """Divides a run into slices, and sums the load of given attempts by slice and executor.

    Holds each executor's capacity, and its availability in each slice.
    """

    def __init__(
        self,
        specs: Sequence[ExecutorSpec],
        names: Sequence[str],
        start_ms: float,
        seconds: float,
        fault_intervals: Sequence[FaultInterval],
    ) -> None:
        self.start_ms = start_ms
        self.slice_count = int(seconds * 1000.0 / SLICE_MS)
        self.executor_numbers = {name: number for number, name in enumerate(names)}
        self.capacities = np.array([spec.capacity for spec in specs])
        self.is_available = np.ones((self.slice_count, len(specs)), dtype=bool)
        for interval in fault_intervals:
            if interval.kind in _UNAVAILABILITY_FAULTS and interval.subject in self.executor_numbers:
                first = self.slice_at(interval.start_ms)
                last = self.slice_at(interval.end_ms)
                self.is_available[first : last + 1, self.executor_numbers[interval.subject]] = False

    @classmethod
    def from_record(cls, record: RunRecord) -> LoadGrid:
        """Return the grid of a run."""
        return cls(
            record.executor_specs(),
            record.executor_names(),
            record.start_ms,
            record.plan.seconds,
            record.fault_intervals,
        )

    def slice_at(self, at_ms: float) -> int:
        """Return the slice that contains this time; times outside the run are clamped to its start or end."""
        if at_ms == math.inf:
            return self.slice_count
        return int(min(max(0.0, (at_ms - self.start_ms) // SLICE_MS), self.slice_count))

    def outstanding_work(self, attempts: Sequence[AttemptRecord]) -> np.ndarray:
        """Return the work of admitted jobs (core-ms at speed 1), by slice and executor."""
        return self._accumulate(attempts, [attempt.work_ms * attempt.slots for attempt in attempts])

    def job_counts(self, attempts: Sequence[AttemptRecord]) -> np.ndarray:
        """Return the number of admitted jobs, by slice and executor."""
        return self._accumulate(attempts, [1.0] * len(attempts))

    def _accumulate(self, attempts: Sequence[AttemptRecord], sizes: Sequence[float]) -> np.ndarray:
        """Sum the sizes of the attempts that are in flight in each slice."""
        changes = np.zeros((self.slice_count + 1, len(self.capacities)))
        for attempt, size in zip(attempts, sizes, strict=True):
            if attempt.outcome is AttemptOutcome.REJECTED:
                continue
            executor = self.executor_numbers[attempt.executor]
            ended_ms = attempt.ended_ms if attempt.ended_ms is not None else math.inf
            changes[self.slice_at(attempt.received_ms), executor] += size
            changes[self.slice_at(ended_ms), executor] -= size
        return np.cumsum(changes, axis=0)[:-1]

    def relative_load(self, attempts: Sequence[AttemptRecord]) -> np.ndarray:
        """Return outstanding work / capacity, by slice and executor; nan where one is unavailable."""
        return np.where(self.is_available, self.outstanding_work(attempts) / self.capacities, np.nan)


def measure_evenness(grid: LoadGrid, attempts: Sequence[AttemptRecord]) -> Evenness:
    """Return the evenness of the relative load over the available executors; 0 in slices without load."""
    load = grid.relative_load(attempts)
    with np.errstate(all="ignore"):
        mean = np.nanmean(load, axis=1)
        variation = np.nanstd(load, axis=1) / mean
        max_over_mean = np.nanmax(load, axis=1) / mean
    return Evenness(np.nan_to_num(variation), np.nan_to_num(max_over_mean))


def smooth_over_a_second(values: np.ndarray, mode: Literal["same", "valid"]) -> np.ndarray:
    """Return the moving average over one second; `mode` is passed to `numpy.convolve`."""
    return np.asarray(np.convolve(values, np.ones(SLICES_PER_SECOND) / SLICES_PER_SECOND, mode=mode))
