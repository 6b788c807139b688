"""The result of an audit, and the faults that may excuse what it finds."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.record import FaultInterval, RunRecord


class Audit(msgspec.Struct):
    """The result: one line for each violation, and how many events were excused for which reason."""

    violations: list[str] = []
    excused: dict[str, int] = {}
    lost_job_ids: list[str] = []  # jobs without an answer in time because of a fault of their node

    def excuse(self, reason: str, job_id: str = "") -> None:
        """Count one event that the fault schedule itself caused; with a job where that job was lost."""
        self.excused[reason] = self.excused.get(reason, 0) + 1
        if job_id:
            self.lost_job_ids.append(job_id)


class NodeFaults:
    """The intervals of one kind of fault, by the number of the node."""

    def __init__(self, record: RunRecord, kind: str) -> None:
        self._intervals: dict[int, list[FaultInterval]] = defaultdict(list)
        numbers = {name: number for number, name in enumerate(record.node_names())}
        for interval in record.fault_intervals:
            if interval.kind == kind and interval.subject in numbers:
                self._intervals[numbers[interval.subject]].append(interval)

    def overlap(self, node: int, start_ms: float, end_ms: float, allowance_ms: float = 0.0) -> bool:
        """Whether the node had the fault, or had it until `allowance_ms` before, within the period."""
        return self.first_within(node, start_ms, end_ms, allowance_ms) is not None

    def first_within(
        self, node: int, start_ms: float, end_ms: float, allowance_ms: float = 0.0
    ) -> FaultInterval | None:
        """Return the first interval of the node that overlaps the period, if there is one."""
        overlapping = [
            interval
            for interval in self._intervals[node]
            if interval.start <= end_ms and start_ms <= interval.end + allowance_ms
        ]
        return min(overlapping, key=lambda interval: interval.start, default=None)
