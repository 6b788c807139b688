"""Checks the four rules on what clients and executors of a simulated cluster observed.

What nodes say of themselves is not evidence, except that they must log no fault.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.engine.answers import Rejected, Served
from burlmoor.simulation.executors import expected_result, shares_deduplication
from burlmoor.simulation.records import DEDUPLICATED_RESULT, ClientRecord, ExecutorRecord
from burlmoor.testbed.executor_model import max_calls_by_chance
from burlmoor.types.endpoint_list import EndpointState
from burlmoor.types.settings import DeduplicationScope, Idempotency, JobClass, Limits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.simulation.cluster import SimulatedCluster

DISCONNECT_GRACE_MS = 100.0  # in which an attempt may still be sent once its client has disconnected
MAX_LATE_SENDS = 2  # attempts in all that may be sent later than that
TOLERANCE_MS = 50.0  # beyond each limit, as on sockets
CHANCE_FACTOR = 1.15  # how far chance may push the work sent to a warming executor over its budget


def audit(cluster: SimulatedCluster) -> list[str]:
    """Describe every violation in a line; empty where all rules hold.

    The cluster has to have run until every job is answered.
    """
    attempts_by_job: dict[str, list[ExecutorRecord]] = defaultdict(list)
    for attempt in cluster.executor_records:
        attempts_by_job[attempt.request_id].append(attempt)
    job_classes = {job_class.name: job_class for job_class in cluster.spec.settings.classes}
    violations = [f"a node failed: {fault}" for fault in cluster.node_faults]
    for client in cluster.client_records.values():
        attempts = attempts_by_job[client.request_id]
        job_class = job_classes[client.job_class]
        violations += _check_answer(cluster, client, attempts)
        violations += _check_attempts(cluster.spec.settings.limits, job_class, client, attempts)
        violations += _check_rejection(job_class, client, attempts)
    violations += _check_draining(cluster)
    violations += _check_overload(cluster)
    violations += _check_disconnected(cluster)
    return violations


def _check_answer(
    cluster: SimulatedCluster, client: ClientRecord, attempts: list[ExecutorRecord]
) -> Iterator[str]:
    """Check that a job got one final answer, in time, and a result that an executor made."""
    if client.has_node_crashed or client.disconnected_at < math.inf:
        return
    if len(client.answers) != 1:
        yield f"{client.request_id}: {len(client.answers)} answers"
        return
    answered_at, answer = client.answers[0]
    slack_ms = cluster.spec.settings.rules.response_slack_ms
    if answered_at > client.sent_at + client.deadline_ms + slack_ms + TOLERANCE_MS:
        late_ms = answered_at - client.sent_at - client.deadline_ms
        yield f"{client.request_id}: answered {late_ms:.0f} ms late"
    if isinstance(answer, Served):
        results = {expected_result(attempt) for attempt in attempts if attempt.began_at is not None}
        is_deduplicated = answer.body == DEDUPLICATED_RESULT and bool(results)
        if answer.body not in results and not is_deduplicated:
            yield f"{client.request_id}: served with a result that no executor made: {answer.body!r}"


def _may_have_run(attempts: list[ExecutorRecord], now: float) -> list[ExecutorRecord]:
    """Select the attempts that were not proved by then to have never run."""
    return [
        attempt
        for attempt in attempts
        if attempt.outcome_known_at > now or not (attempt.outcome and attempt.outcome.proves_not_started)
    ]


def _check_attempts(
    limits: Limits, job_class: JobClass, client: ClientRecord, attempts: list[ExecutorRecord]
) -> Iterator[str]:
    """Check that a job was sent as often as its class and the limits allow, and no oftener."""
    request_id = client.request_id
    if len(attempts) > limits.max_attempts:
        yield f"{request_id}: {len(attempts)} attempts"
    for number, attempt in enumerate(attempts):
        earlier = attempts[:number]
        open_count = sum(each.outcome_known_at > attempt.sent_at for each in earlier)
        if open_count > limits.may_hedge:
            yield f"{request_id}: {open_count + 1} attempts open at once"
        at_risk = _may_have_run(earlier, attempt.sent_at)
        if not at_risk or job_class.idempotency is Idempotency.IDEMPOTENT:
            continue
        if job_class.idempotency is Idempotency.NON_IDEMPOTENT:
            yield f"{request_id}: sent again though it may have run"
        elif not _is_deduplicated(job_class, at_risk[0], attempt):
            yield f"{request_id}: a job with a key was sent again out of its group or its window"
    runs = sum(attempt.began_at is not None for attempt in attempts)
    if job_class.idempotency is Idempotency.NON_IDEMPOTENT and runs > 1:
        yield f"{request_id}: ran {runs} times"


def _is_deduplicated(job_class: JobClass, first: ExecutorRecord, repeat: ExecutorRecord) -> bool:
    """Whether executors recognize a repeat of an attempt by its key."""
    is_within_window = repeat.sent_at <= first.sent_at + job_class.deduplication_window_ms
    return is_within_window and shares_deduplication(job_class, first, repeat)


def _check_rejection(
    job_class: JobClass, client: ClientRecord, attempts: list[ExecutorRecord]
) -> Iterator[str]:
    """Check that a job was not rejected though it may have run, unless a repeat would do no harm."""
    is_repeatable_anywhere = job_class.idempotency is Idempotency.IDEMPOTENT or (
        job_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and job_class.deduplication_scope is DeduplicationScope.ALL
    )
    rejected_at = [at for at, answer in client.answers if isinstance(answer, Rejected)]
    if rejected_at and not is_repeatable_anywhere and _may_have_run(attempts, rejected_at[0]):
        yield f"{client.request_id}: rejected though it may have run"


def _check_draining(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that no node sent to an executor after it was told that the executor drains or is gone."""
    notifications: dict[tuple[int, str], list[tuple[float, EndpointState]]] = defaultdict(list)
    for notification in cluster.notifications:
        key = (notification.node_index, notification.executor)
        notifications[key].append((notification.at, notification.state))
    grace_ms = cluster.spec.settings.rules.drain_grace_ms + TOLERANCE_MS
    for attempt in cluster.executor_records:
        told = notifications[attempt.node_index, attempt.executor]
        if attempt.sent_at > _unavailable_since(told, attempt.sent_at) + grace_ms:
            yield (
                f"{attempt.request_id}: sent to {attempt.executor}, "
                f"which node {attempt.node_index} knew had left"
            )


def _unavailable_since(notifications: list[tuple[float, EndpointState]], now: float) -> float:
    """Return since when a node knew at a moment that an executor is not live; infinite if it was live."""
    since = math.inf
    for at, state in notifications:
        if at > now:
            break
        since = math.inf if state is EndpointState.LIVE else min(since, at)
    return since


def _check_overload(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that no warming executor got more than it bears in some window from nodes that knew its start."""
    mean_work_ms = sum(client.work_ms for client in cluster.client_records.values()) / max(
        1, len(cluster.client_records)
    )
    for (name, started_at), attempts in _attempts_while_warming(cluster).items():
        overload = _first_overload(cluster, started_at, attempts, mean_work_ms)
        if overload is not None:
            load_ms, capacity_ms = overload
            yield f"{name}: {load_ms:.0f} ms of work in a window where it bears {capacity_ms:.0f}"


def _attempts_while_warming(cluster: SimulatedCluster) -> dict[tuple[str, float], list[ExecutorRecord]]:
    """Group by executor process the attempts sent while it warmed up, by nodes that knew of its start."""
    first_known_at = {
        (notification.node_index, notification.executor, notification.executor_started_at): notification.at
        for notification in reversed(cluster.notifications)
        if notification.executor_started_at > 0.0
    }
    slow_start_ms = cluster.spec.executor_spec.slow_start_ms
    attempts: dict[tuple[str, float], list[ExecutorRecord]] = defaultdict(list)
    for attempt in cluster.executor_records:
        started_at = attempt.executor_started_at
        known_at = first_known_at.get((attempt.node_index, attempt.executor, started_at), math.inf)
        if started_at > 0.0 and known_at <= attempt.sent_at < started_at + slow_start_ms:
            attempts[attempt.executor, started_at].append(attempt)
    return attempts


def _first_overload(
    cluster: SimulatedCluster, started_at: float, attempts: list[ExecutorRecord], mean_work_ms: float
) -> tuple[float, float] | None:
    """Find the first window with too much work; returns that work and what the executor bears, in ms."""
    rules = cluster.spec.settings.rules
    spec = cluster.spec.executor_spec
    for first, attempt in enumerate(attempts):
        window_end = attempt.sent_at + rules.overload_window_ms
        load_ms = sum(each.work_ms for each in attempts[first:] if each.sent_at <= window_end)
        factor = spec.slow_start_factor(window_end - started_at)
        capacity_ms = rules.overload_multiple * spec.capacity * factor * rules.overload_window_ms
        chance_limit_ms = mean_work_ms * max_calls_by_chance(capacity_ms / mean_work_ms)
        if load_ms > min(CHANCE_FACTOR * capacity_ms, chance_limit_ms):
            return load_ms, capacity_ms
    return None


def _check_disconnected(cluster: SimulatedCluster) -> list[str]:
    """Check that hardly any attempt was sent after its client had disconnected."""
    late = [
        attempt
        for attempt in cluster.executor_records
        if attempt.sent_at > cluster.client_records[attempt.request_id].disconnected_at + DISCONNECT_GRACE_MS
    ]
    if len(late) <= MAX_LATE_SENDS:
        return []
    return [f"{attempt.request_id}: sent after its client had disconnected" for attempt in late]
