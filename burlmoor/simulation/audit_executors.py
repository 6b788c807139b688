"""Checks what executors of a simulated cluster receive: drains, slow start, disconnected clients."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.simulation.records import TOLERANCE_MS, AttemptRecord, EndpointNotification
from burlmoor.testbed.executor_model import max_work_by_chance
from burlmoor.types.endpoint_list import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.simulation.cluster import SimulatedCluster

DISCONNECT_GRACE_MS = 100.0  # how long attempts may still be sent after their client disconnected
MAX_LATE_SENDS = 2  # number of attempts in a run that may be sent after the grace period


class _ExecutorProcess(NamedTuple):
    """One process of an executor, identified by its start time."""

    executor: str
    started_at: float


class _Overload(NamedTuple):
    """The work sent to an executor within a window, and the executor's budget for that window."""

    work_ms: float
    budget_ms: float


def check_draining(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that no node sent to an executor after it was notified that the executor drains or is gone."""
    notifications: dict[tuple[int, str], list[EndpointNotification]] = defaultdict(list)
    for notification in cluster.notifications:
        notifications[notification.node_index, notification.executor].append(notification)
    grace_ms = cluster.spec.settings.rules.drain_grace_ms + TOLERANCE_MS
    for attempt in cluster.attempt_records:
        received = notifications[attempt.node_index, attempt.executor]
        if attempt.sent_at > _unavailable_since(received, attempt.sent_at) + grace_ms:
            yield (
                f"{attempt.request_id}: sent to {attempt.executor} more than {grace_ms:.0f} ms after "
                f"node {attempt.node_index} was notified that it drains or is gone"
            )


def _unavailable_since(notifications: list[EndpointNotification], now: float) -> float:
    """Return since when a node has known, at `now`, that an executor is not live; infinity if it is live."""
    since = math.inf
    for notification in notifications:
        if notification.at > now:
            break
        since = math.inf if notification.state is EndpointState.LIVE else min(since, notification.at)
    return since


def check_overload(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that nodes that knew of an executor's start did not exceed its budget while it warmed up."""
    mean_work_ms = sum(client.work_ms for client in cluster.client_records.values()) / max(
        1, len(cluster.client_records)
    )
    for process, attempts in _attempts_while_warming(cluster).items():
        overload = _first_overload(cluster, process.started_at, attempts, mean_work_ms)
        if overload is not None:
            work = (
                f"{overload.work_ms:.0f} ms of work in a window with a budget of {overload.budget_ms:.0f} ms"
            )
            yield f"{process.executor}: {work}"


def _attempts_while_warming(cluster: SimulatedCluster) -> dict[_ExecutorProcess, list[AttemptRecord]]:
    """Return the attempts sent to warming executors by nodes that knew of their start, by process."""
    first_known_at = {
        (notification.node_index, notification.executor, notification.executor_started_at): notification.at
        for notification in reversed(cluster.notifications)
        if notification.executor_started_at > 0.0
    }
    slow_start_ms = cluster.spec.executor_spec.slow_start_ms
    attempts: dict[_ExecutorProcess, list[AttemptRecord]] = defaultdict(list)
    for attempt in cluster.attempt_records:
        started_at = attempt.executor_started_at
        known_at = first_known_at.get((attempt.node_index, attempt.executor, started_at), math.inf)
        if started_at > 0.0 and known_at <= attempt.sent_at < started_at + slow_start_ms:
            attempts[_ExecutorProcess(attempt.executor, started_at)].append(attempt)
    return attempts


def _first_overload(
    cluster: SimulatedCluster, started_at: float, attempts: list[AttemptRecord], mean_work_ms: float
) -> _Overload | None:
    """Return the first window in which an executor got more work than its budget, if there is one."""
    rules = cluster.spec.settings.rules
    spec = cluster.spec.executor_spec
    for first, attempt in enumerate(attempts):
        window_end = attempt.sent_at + rules.overload_window_ms
        work_ms = sum(each.work_ms for each in attempts[first:] if each.sent_at <= window_end)
        factor = spec.slow_start_factor(window_end - started_at)
        budget_ms = rules.overload_multiple * spec.capacity * factor * rules.overload_window_ms
        if work_ms > max_work_by_chance(budget_ms, mean_work_ms):
            return _Overload(work_ms, budget_ms)
    return None


def check_disconnected(cluster: SimulatedCluster) -> list[str]:
    """Check that almost no attempt was sent after its client had disconnected."""
    late = [
        attempt
        for attempt in cluster.attempt_records
        if attempt.sent_at > cluster.client_records[attempt.request_id].disconnected_at + DISCONNECT_GRACE_MS
    ]
    if len(late) <= MAX_LATE_SENDS:
        return []
    return [f"{attempt.request_id}: sent after its client had disconnected" for attempt in late]
