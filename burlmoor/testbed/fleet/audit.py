"""The rules that must hold over all nodes together, checked against what clients and executors observed.

What a node logs excuses nothing. Excused is only what the fault schedule itself caused: jobs at a node that
was killed, answers that a stopped node could not give, bytes that a link fault held back. Each excuse is
counted.
"""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import ExecutorSpec, max_calls_by_chance
from burlmoor.testbed.fleet.link_faults import active_executor_link_faults
from burlmoor.testbed.fleet.record import FaultInterval, Notification, RunRecord
from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings

NOTIFICATION_DEADLINE_MS = 250.0  # from when a node was notified of a drain until nothing new arrives
TRANSIT_ALLOWANCE_MS = 150.0  # that an attempt may take to reach its executor on a loaded machine
LATE_ANSWER_ALLOWANCE_MS = 500.0  # beyond a client's timeout, on a loaded machine
RESUME_ALLOWANCE_MS = 1000.0  # that a stopped node may take to read its input once it continues
LINK_RECOVERY_SECONDS = 1.0  # that bytes may still be held back after a link fault has ended
_JUST_BEFORE_SECONDS = 1e-3  # within the fault, whose interval is half-open
_WITHDRAWABLE = ("cut", "stall")  # link faults that deliver nothing of what its sender has withdrawn
WORK_DEVIATION_FACTOR = 1.15  # how far the random sizes of jobs may take the work over a budget


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


def audit(record: RunRecord) -> Audit:
    """Check every rule for every request and attempt of a run."""
    result = Audit()
    result.violations += [f"{name} ended with {status}" for name, status in record.unexpected_exits.items()]
    _check_answers(record, result)
    _check_non_idempotent_jobs(record, result)
    _check_drains(record, result)
    _check_slow_starts(record, result)
    return result


class _NodeFaults:
    """The intervals of one kind of fault, by the number of the node."""

    def __init__(self, record: RunRecord, kind: str) -> None:
        self._intervals: dict[int, list[FaultInterval]] = defaultdict(list)
        numbers = {name: number for number, name in enumerate(record.node_names())}
        for interval in record.fault_intervals:
            if interval.kind == kind and interval.subject in numbers:
                self._intervals[numbers[interval.subject]].append(interval)

    def overlap(self, node: int, start_ms: float, end_ms: float, allowance_ms: float = 0.0) -> bool:
        """Whether the node had the fault, or had it until `allowance_ms` before, within the period."""
        return any(
            interval.start <= end_ms and start_ms <= interval.end + allowance_ms
            for interval in self._intervals[node]
        )


def _check_answers(record: RunRecord, result: Audit) -> None:
    """Check that each client got an answer in time, and a result only of its own job."""
    terminated = _NodeFaults(record, "term")
    killed = _NodeFaults(record, "kill")
    stopped = _NodeFaults(record, "stop")
    done_ids = {attempt.id for attempt in record.attempts if attempt.outcome == "done"}
    received_ids = {attempt.id for attempt in record.attempts}
    for request in record.requests:
        deadline_ms = request.sent_ms + request.timeout_ms
        if request.is_unsent:
            result.excuse("no node took a connection", request.id)
        elif request.answered_ms is None:
            is_received = request.id in received_ids
            _check_missing_answer(request, is_received, killed, stopped, terminated, result)
        elif request.answered_ms > deadline_ms + LATE_ANSWER_ALLOWANCE_MS:
            if stopped.overlap(request.node, request.sent_ms, deadline_ms, RESUME_ALLOWANCE_MS):
                result.excuse("answered late by a stopped node", request.id)
            else:
                late_ms = request.answered_ms - deadline_ms
                result.violations.append(f"{request.id}: answered {late_ms:.0f} ms late")
        if request.is_served and (request.id not in done_ids or _result_owner(request) != request.id):
            result.violations.append(f"{request.id}: served with a result that no executor made")


def _check_missing_answer(
    request: RequestRecord,
    is_received: bool,
    killed: _NodeFaults,
    stopped: _NodeFaults,
    terminated: _NodeFaults,
    result: Audit,
) -> None:
    """Check that the node of a request without an answer was killed, stopped or terminated."""
    node = request.node
    sent_ms = request.sent_ms
    deadline_ms = sent_ms + request.timeout_ms
    if killed.overlap(node, sent_ms, deadline_ms):
        result.excuse("its node was killed", request.id)
    elif stopped.overlap(node, sent_ms, deadline_ms):
        result.excuse("its node was stopped", request.id)
    elif not is_received and terminated.overlap(node, sent_ms, sent_ms):
        # Written to an idle connection at the moment at which a terminating node closed it.
        result.excuse("never taken by a node that stopped", request.id)
    else:
        result.violations.append(f"{request.id}: no answer from n{node:03d}")


def _result_owner(request: RequestRecord) -> str:
    """Return the id of the job whose result the answer carries."""
    return request.body.partition(b"@")[0].decode(errors="replace")


def _check_non_idempotent_jobs(record: RunRecord, result: Audit) -> None:
    """Check that no non-idempotent job starts twice, or once its client was told that a retry does no harm.

    Nor may a job of any class start that no client sent.
    """
    non_idempotent = {job_class.name for job_class in JOB_CLASSES if job_class.is_non_idempotent}
    started: dict[str, list[float]] = defaultdict(list)
    classes: dict[str, str] = {}
    for attempt in record.attempts:
        if attempt.started_ms is not None:
            started[attempt.id].append(attempt.started_ms)
            classes.setdefault(attempt.id, attempt.job_class)
    result.violations += [
        f"{job_id}: a non-idempotent job started {len(times)} times"
        for job_id, times in started.items()
        if len(times) > 1 and classes[job_id] in non_idempotent
    ]
    requests = {request.id: request for request in record.requests}
    for job_id, times in started.items():
        request = requests.get(job_id)
        if request is None:
            result.violations.append(f"{job_id}: ran, and no client sent it")
        elif (
            request.is_rejected
            and request.job_class in non_idempotent
            and times[0] <= (request.answered_ms or math.inf)
        ):
            result.violations.append(f"{job_id}: ran, and its client was told that a retry does no harm")


def _check_drains(record: RunRecord, result: Audit) -> None:
    """Check that no job reaches an executor that drains after the deadline, however its node was notified.

    A link that was cut or stalled is no excuse: what it has held back has to be withdrawn.
    """
    notifications: dict[tuple[int, str], list[Notification]] = defaultdict(list)
    for notification in record.notifications:
        notifications[int(notification.node[1:]), notification.endpoint].append(notification)
    stopped = _NodeFaults(record, "stop")
    for attempt in record.attempts:
        node = int(attempt.node)
        received_ms = attempt.received_ms
        earlier = notifications.get((node, attempt.executor), [])
        count = bisect.bisect_right(earlier, received_ms, key=lambda each: each.at)
        if not count or earlier[count - 1].health == "active":
            continue
        late_ms = received_ms - earlier[count - 1].at
        if late_ms <= NOTIFICATION_DEADLINE_MS + TRANSIT_ALLOWANCE_MS:
            continue
        if stopped.overlap(node, received_ms, received_ms, RESUME_ALLOWANCE_MS):
            result.excuse("its node was stopped")
        elif _is_link_faulty(record, node, attempt.executor, received_ms):
            result.excuse("a troubled link held it back")
        else:
            result.violations.append(
                f"{attempt.id}: received {late_ms:.0f} ms after n{node:03d} was notified that "
                f"{attempt.executor} drains"
            )


def _is_link_faulty(record: RunRecord, node: int, executor: str, at_ms: float) -> bool:
    """Whether the schedule slows the bytes on this link down, or did so until a moment before."""
    schedule = record.plan.schedule
    at_seconds = (at_ms - record.start_ms) / 1000.0
    just_ended = [fault for fault in schedule.faults if 0.0 <= at_seconds - fault.end < LINK_RECOVERY_SECONDS]
    moments = [at_seconds, *(fault.end - _JUST_BEFORE_SECONDS for fault in just_ended)]
    nodes = record.node_population()
    executors = record.executor_population()
    number = record.executor_names().index(executor)
    return any(
        link_fault.kind not in _WITHDRAWABLE and link_fault.affects(node, number, forward=True)
        for moment in moments
        for link_fault in active_executor_link_faults(schedule, moment, nodes, executors)
    )


def _check_slow_starts(record: RunRecord, result: Audit) -> None:
    """Check that the work that reaches a starting executor within a window does not overload it."""
    started: dict[str, list[float]] = defaultdict(list)
    for interval in record.fault_intervals:
        if interval.kind in ("die", "drain"):
            started[interval.subject].append(interval.end)
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
    """Yield by how much the work exceeds the budget, for each window of the slow start in which it does."""
    rules = platform_settings(JOB_CLASSES, node_count)["Rules"]
    window_ms = rules["OverloadFor"]
    attempts = [each for each in received if start_ms <= each.received_ms < start_ms + spec.slow_start_ms]
    for number, first in enumerate(attempts):
        age_ms = first.received_ms - start_ms
        budget = rules["FallMultiple"] * spec.slow_start_factor(age_ms) * spec.capacity * window_ms
        window_end_ms = first.received_ms + window_ms
        work = sum(_total_work(each) for each in attempts[number:] if each.received_ms < window_end_ms)
        if work > min(WORK_DEVIATION_FACTOR * budget, mean_work * max_calls_by_chance(budget / mean_work)):
            yield work / budget


def _total_work(attempt: AttemptRecord) -> float:
    """Core-ms over all slots of the job."""
    return attempt.work_ms * attempt.slots
