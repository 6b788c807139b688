"""The result of an audit, and the fault intervals that may excuse its findings."""

from __future__ import annotations

from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from burlmoor.testbed.drill import Claim
from burlmoor.testbed.fleet.addresses import parse_node_name

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.fault_kinds import FaultKind
    from burlmoor.testbed.fleet.record import FaultInterval, RunRecord

RULES_CLAIM = "rules broken"  # names the claim that no rule was violated, in verdicts


class Excuse(StrEnum):
    """How the fault schedule itself caused a deviation from the rules; verdicts print the values."""

    NO_CONNECTION = "no node took a connection"
    NODE_KILLED = "its node was killed"
    NODE_PAUSED = "its node was stopped"
    NODE_KILLED_IN_RESTART = "its node was killed at the end of a restart"
    CONNECTED_LATE = "its client connected too late to a node that stopped"
    NODE_SHUTTING_DOWN = "never taken by a node that stopped"
    CONNECTION_FLOOD = "its connection was closed unread in a crowd"
    ANSWERED_LATE = "answered late by a stopped node"
    EXECUTOR_KILLED = "its executor was killed"
    LINK_RESET = "a troubled link reset an attempt"
    LINK_SLOW = "a troubled link held it back"


class AuditResult(msgspec.Struct):
    """The violations, one line each, and the number of deviations excused for each reason."""

    violations: list[str] = []
    excused: dict[Excuse, int] = {}
    lost_job_ids: list[str] = []  # jobs that got no answer in time because of a fault of their node

    def excuse(self, reason: Excuse, job_id: str = "") -> None:
        """Count one deviation that the fault schedule itself caused, and record the job if one was lost."""
        self.excused[reason] = self.excused.get(reason, 0) + 1
        if job_id:
            self.lost_job_ids.append(job_id)

    def violations_claim(self) -> Claim:
        """Return the claim that no rule was violated."""
        return Claim(float(len(self.violations)), 0.0)

    def excuse_figures(self) -> dict[str, float]:
        """Return how often each excuse applied, as figures of a verdict."""
        return {f"excused: {reason}": float(count) for reason, count in sorted(self.excused.items())}


class NodeFaultHistory:
    """The intervals of one kind of fault, by node number."""

    def __init__(self, record: RunRecord, kind: FaultKind) -> None:
        self._intervals: dict[int, list[FaultInterval]] = defaultdict(list)
        names = set(record.node_names())
        for interval in record.fault_intervals:
            if interval.kind is kind and interval.subject in names:
                self._intervals[parse_node_name(interval.subject)].append(interval)

    def overlaps(self, node: int, start_ms: float, end_ms: float, allowance_ms: float = 0.0) -> bool:
        """Return whether the fault, prolonged by `allowance_ms`, overlaps the period on this node."""
        return self.first_overlapping(node, start_ms, end_ms, allowance_ms) is not None

    def first_overlapping(
        self, node: int, start_ms: float, end_ms: float, allowance_ms: float = 0.0
    ) -> FaultInterval | None:
        """Return the earliest interval of the node that overlaps the period, if any."""
        overlapping = [
            interval
            for interval in self._intervals[node]
            if interval.start_ms <= end_ms and start_ms <= interval.end_ms + allowance_ms
        ]
        return min(overlapping, key=lambda interval: interval.start_ms, default=None)
