"""Checks repeats: a job with an idempotency key is sent again only within its window."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec import UNSET

from burlmoor.testbed.event_record import AttemptOutcome, attempts_by_id
from burlmoor.testbed.fleet.audit_attempts import TRANSIT_ALLOWANCE_MS, is_link_faulty
from burlmoor.testbed.fleet.audit_result import AuditResult, Excuse, NodeFaultHistory
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.job_classes import KEYED_CLASS_NAME

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from burlmoor.testbed.event_record import AttemptRecord
    from burlmoor.testbed.fleet.record import RunRecord

_TIME_LIMIT_SLACK_MS = 50.0  # by which the protocol's time limits are longer on sockets
_NOT_RUN = frozenset((AttemptOutcome.RETURNED, AttemptOutcome.REJECTED))


class _LateRepeat(NamedTuple):
    """An attempt that came after its job's window for repeats, and how long after it."""

    attempt: AttemptRecord
    late_ms: float


def check_repeat_windows(record: RunRecord, result: AuditResult) -> None:
    """Check that no job reaches an executor after its window for repeats, if it may have run before."""
    window_ms = record.plan.repeat_window_ms
    if window_ms is UNSET:
        return
    paused = NodeFaultHistory(record, FaultKind.NODE_PAUSE)
    for repeat in _find_late_repeats(record.attempts, window_ms):
        attempt, late_ms = repeat.attempt, repeat.late_ms
        node = int(attempt.node)
        if paused.overlaps(node, attempt.received_ms, attempt.received_ms, TRANSIT_ALLOWANCE_MS):
            result.excuse(Excuse.NODE_PAUSED)
        elif is_link_faulty(record, node, attempt.executor, attempt.received_ms, includes_blocking=True):
            result.excuse(Excuse.LINK_SLOW)
        else:
            result.violations.append(
                f"{attempt.id}: {attempt.executor} got it again {late_ms:.0f} ms after its window for repeats"
            )


def _find_late_repeats(attempts: Iterable[AttemptRecord], window_ms: float) -> Iterator[_LateRepeat]:
    """Find the attempts that came after their job's window."""
    keyed = (attempt for attempt in attempts if attempt.job_class == KEYED_CLASS_NAME)
    for same_job in attempts_by_id(keyed).values():
        in_order = sorted(same_job, key=lambda attempt: attempt.received_ms)
        first = next((attempt for attempt in in_order if attempt.outcome not in _NOT_RUN), None)
        if first is None:
            continue
        for attempt in in_order:
            late_ms = attempt.received_ms - first.received_ms - window_ms
            if late_ms > _TIME_LIMIT_SLACK_MS + TRANSIT_ALLOWANCE_MS:
                yield _LateRepeat(attempt, late_ms)
