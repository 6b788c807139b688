"""Checks slow start: an executor that has just started gets no more work than it can handle."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.testbed.executor_model import ExecutorSpec, max_work_by_chance
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.testbed.event_record import AttemptRecord
    from burlmoor.testbed.fleet.audit_result import AuditResult
    from burlmoor.testbed.fleet.record import RunRecord


def check_slow_starts(record: RunRecord, result: AuditResult) -> None:
    """Check that the work that a starting executor receives in any window does not overload it."""
    started: dict[str, list[float]] = defaultdict(list)
    for interval in record.fault_intervals:
        if interval.kind in (FaultKind.EXECUTOR_KILL, FaultKind.EXECUTOR_DRAIN):
            started[interval.subject].append(interval.end_ms)
    attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in record.attempts:
        attempts[attempt.executor].append(attempt)
    mean_work = sum(map(_total_work, record.attempts)) / max(1, len(record.attempts))
    for executor, start_times in started.items():
        spec = record.specs[executor]
        received = sorted(attempts[executor], key=lambda attempt: attempt.received_ms)
        for start_ms in start_times:
            overload = next(_overloads(record.plan.nodes, spec, received, start_ms, mean_work), None)
            if overload is not None:
                result.violations.append(
                    f"{executor}: in slow start, got {overload:.2f} of its budget in a window"
                )


def _overloads(
    node_count: int, spec: ExecutorSpec, received: list[AttemptRecord], start_ms: float, mean_work: float
) -> Iterator[float]:
    """Yield the ratio of work to budget for each window of the slow start in which work exceeds it."""
    rules = platform_settings(JOB_CLASSES, node_count)["Rules"]
    window_ms = rules["OverloadFor"]
    attempts = [each for each in received if start_ms <= each.received_ms < start_ms + spec.slow_start_ms]
    for number, first in enumerate(attempts):
        age_ms = first.received_ms - start_ms
        budget = rules["FallMultiple"] * spec.slow_start_factor(age_ms) * spec.capacity * window_ms
        window_end_ms = first.received_ms + window_ms
        work = sum(_total_work(each) for each in attempts[number:] if each.received_ms < window_end_ms)
        if work > max_work_by_chance(budget, mean_work):
            yield work / budget


def _total_work(attempt: AttemptRecord) -> float:
    """Return the work of the job over all its slots, in core-ms."""
    return attempt.work_ms * attempt.slots
