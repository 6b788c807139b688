"""Checks attempts: repeated runs, simultaneous attempts, and jobs sent to draining executors."""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.testbed.event_record import AttemptRecord, attempts_by_id, find_simultaneous
from burlmoor.testbed.fleet.addresses import node_name, parse_node_name
from burlmoor.testbed.fleet.audit_answers import RESUME_ALLOWANCE_MS
from burlmoor.testbed.fleet.audit_result import AuditResult, Excuse, NodeFaultHistory
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import LinkDirection
from burlmoor.testbed.fleet.link_faults import BLOCKING_FAULTS, DirectedLink, active_executor_link_faults
from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.messages import EndpointHealth

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence, Set

    from burlmoor.testbed.fleet.record import RunRecord
    from burlmoor.testbed.notification_log import Notification

DRAIN_GRACE_MS = 250.0  # how long a node may send new jobs after it was notified of a drain
TRANSIT_ALLOWANCE_MS = 150.0  # how long an attempt may take to reach its executor on a loaded machine
LINK_RECOVERY_SECONDS = 1.0  # how long bytes may still be delayed after a link fault ends
# Subtracted from a fault's end to get a moment within the fault, whose interval is half-open.
_JUST_BEFORE_SECONDS = 1e-3


def check_started_jobs(record: RunRecord, result: AuditResult) -> None:
    """Check which jobs the executors started, and how often."""
    started_attempts = [attempt for attempt in record.attempts if attempt.started_ms is not None]
    started = attempts_by_id(started_attempts)
    non_idempotent = {job_class.name for job_class in JOB_CLASSES if job_class.is_non_idempotent}
    _check_non_idempotent_jobs(started, non_idempotent, result)
    _check_clients_of_started_jobs(record, started, non_idempotent, result)


def _check_non_idempotent_jobs(
    started: Mapping[str, Sequence[AttemptRecord]], non_idempotent: Set[str], result: AuditResult
) -> None:
    """Check that no non-idempotent job started twice."""
    result.violations += [
        f"{job_id}: a non-idempotent job started {len(attempts)} times"
        for job_id, attempts in started.items()
        if len(attempts) > 1 and attempts[0].job_class in non_idempotent
    ]


def _check_clients_of_started_jobs(
    record: RunRecord,
    started: Mapping[str, Sequence[AttemptRecord]],
    non_idempotent: Set[str],
    result: AuditResult,
) -> None:
    """Check that a client sent each job that started.

    Also check that no client was told after the start of a non-idempotent job that a retry is safe.
    """
    requests = {request.id: request for request in record.requests}
    for job_id, attempts in started.items():
        request = requests.get(job_id)
        if request is None:
            result.violations.append(f"{job_id}: ran, and no client sent it")
        elif (
            request.is_rejected
            and request.job_class in non_idempotent
            and (attempts[0].started_ms or 0.0) <= (request.answered_ms or math.inf)
        ):
            result.violations.append(f"{job_id}: ran, and its client was told that a retry does no harm")


def check_simultaneous_attempts(record: RunRecord, result: AuditResult) -> None:
    """Check that no more attempts of a job are open at once than the settings allow.

    An attempt is over once its executor has ended it, received its cancellation or died. If the schedule
    reset the connection of an attempt, it is over for its node, though the executor may still run it.
    """
    max_simultaneous = 2 if record.plan.may_hedge else 1
    for attempt, open_attempts in find_simultaneous(record.attempts, max_simultaneous):
        if any(
            _may_be_reset(record, each, attempt.received_ms) for each in open_attempts if each is not attempt
        ):
            result.excuse(Excuse.LINK_RESET)
            continue
        if (
            sum(not _has_died(record, each, attempt.received_ms) for each in open_attempts)
            <= max_simultaneous
        ):
            result.excuse(Excuse.EXECUTOR_KILLED)
            continue
        listed = ", ".join(
            f"{each.executor} from {each.received_ms - record.start_ms:.0f} ms" for each in open_attempts
        )
        result.violations.append(
            f"{attempt.id}: {len(open_attempts)} attempts out at once, {max_simultaneous} allowed: {listed}"
        )


def _has_died(record: RunRecord, attempt: AttemptRecord, until_ms: float) -> bool:
    """Return whether the attempt's executor was killed between its arrival and `until_ms`.

    A killed executor that hung records no end of its attempts.
    """
    return any(
        interval.kind is FaultKind.EXECUTOR_KILL
        and interval.subject == attempt.executor
        and attempt.received_ms <= interval.end_ms
        and interval.start_ms <= until_ms
        for interval in record.fault_intervals
    )


def _may_be_reset(record: RunRecord, attempt: AttemptRecord, until_ms: float) -> bool:
    """Return whether the schedule may have reset an attempt's connection from arrival to `until_ms`."""
    schedule = record.plan.schedule
    link = _link_to_executor(record, int(attempt.node), attempt.executor)
    since_seconds = (attempt.received_ms - record.start_ms) / 1000.0
    until_seconds = (until_ms - record.start_ms) / 1000.0
    for fault in schedule.faults:
        if fault.kind is not FaultKind.LINK_RESET or fault.start > until_seconds or fault.end < since_seconds:
            continue
        active = active_executor_link_faults(
            schedule, fault.start, record.node_population(), record.executor_population()
        )
        if any(each.kind is FaultKind.LINK_RESET and each.affects(link) for each in active):
            return True
    return False


def _link_to_executor(record: RunRecord, node: int, executor: str) -> DirectedLink:
    return DirectedLink(node, record.executor_names().index(executor), LinkDirection.FORWARD)


def check_drains(record: RunRecord, result: AuditResult) -> None:
    """Check that no job reaches a draining executor once its node has had time to react to the notification.

    This holds whichever way the node was notified. A link that was cut or stalled is no excuse: nodes must
    withdraw the jobs that it has not delivered.
    """
    notifications: dict[tuple[int, str], list[Notification]] = defaultdict(list)
    for notification in record.notifications:
        notifications[parse_node_name(notification.node), notification.endpoint].append(notification)
    paused = NodeFaultHistory(record, FaultKind.NODE_PAUSE)
    for attempt in record.attempts:
        node = int(attempt.node)
        received_ms = attempt.received_ms
        link_notifications = notifications.get((node, attempt.executor), [])
        earlier_count = bisect.bisect_right(link_notifications, received_ms, key=lambda each: each.at_ms)
        if not earlier_count or link_notifications[earlier_count - 1].health is EndpointHealth.ACTIVE:
            continue
        late_ms = received_ms - link_notifications[earlier_count - 1].at_ms
        if late_ms <= DRAIN_GRACE_MS + TRANSIT_ALLOWANCE_MS:
            continue
        if paused.overlaps(node, received_ms, received_ms, RESUME_ALLOWANCE_MS):
            result.excuse(Excuse.NODE_PAUSED)
        elif is_link_faulty(record, node, attempt.executor, received_ms):
            result.excuse(Excuse.LINK_SLOW)
        else:
            result.violations.append(
                f"{attempt.id}: received {late_ms:.0f} ms after {node_name(node)} was notified that "
                f"{attempt.executor} drains"
            )


def is_link_faulty(
    record: RunRecord, node: int, executor: str, at_ms: float, *, includes_blocking: bool = False
) -> bool:
    """Return whether a fault of the schedule slows this link down, or did so until recently.

    With `includes_blocking`, also whether one lets nothing pass.
    """
    schedule = record.plan.schedule
    at_seconds = (at_ms - record.start_ms) / 1000.0
    just_ended = [fault for fault in schedule.faults if 0.0 <= at_seconds - fault.end < LINK_RECOVERY_SECONDS]
    moments = [at_seconds, *(fault.end - _JUST_BEFORE_SECONDS for fault in just_ended)]
    nodes = record.node_population()
    executors = record.executor_population()
    link = _link_to_executor(record, node, executor)
    return any(
        (includes_blocking or link_fault.kind not in BLOCKING_FAULTS) and link_fault.affects(link)
        for moment in moments
        for link_fault in active_executor_link_faults(schedule, moment, nodes, executors)
    )
