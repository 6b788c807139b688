"""The verdict of the drill of deferred jobs, from what clients and executors observed."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from burlmoor.testbed.deferred_schedule import PLAIN_PREFIX
from burlmoor.testbed.drill import Claim, Verdict
from burlmoor.testbed.event_record import AttemptOutcome
from burlmoor.testbed.job_classes import JOB_CLASSES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.testbed.event_record import EventRecord, RequestRecord

_LATE_TOLERANCE_MS = 50.0
_CLOCK_TOLERANCE_MS = 1.0  # by which a job may seem to start before its time
_END_LAG_BOUND_MS = 50.0
_MIN_SERVED_RATIO = 0.9
_WINDOW_MS = 10_000.0  # released and plain jobs of one class are compared by such windows
_MIN_JOBS = 12  # of either kind, below which a window does not count
_NON_IDEMPOTENT = {job_class.name for job_class in JOB_CLASSES if job_class.is_non_idempotent}


@dataclass(frozen=True, slots=True)
class _Times:
    """When each job was first received, completed by an executor, and over for its client; in ms."""

    received: dict[str, float]
    completed: dict[str, float]
    ended: dict[str, float]


class _ClassWindow(NamedTuple):
    """A class of jobs in one window of the run."""

    job_class: str
    number: int


class _ServedGroup(NamedTuple):
    """Released jobs of one class and window, beside the plain ones."""

    relative_ratio: float  # the released jobs' served ratio over the plain jobs'
    plain_ratio: float
    released: list[RequestRecord]


def judge(record: EventRecord, seed: int, seconds: float, statuses: Sequence[int]) -> Verdict:
    """Return the verdict on a run; `statuses` are the exit statuses of restarted nodes."""
    times = _collect_times(record)
    lags_ms = _parent_end_lags_ms(record, times)
    released = [
        request for request in record.requests.values() if _release_time_ms(request, record) is not None
    ]
    claims = {
        **_answer_claims(record),
        **_order_claims(record, times),
        "parent's end to child's end, p99 ms": Claim(_percentile(lags_ms, 99.0), _END_LAG_BOUND_MS),
        "worst-served tenth against plain": Claim(
            _worst_tenth_ratio(released, record), _MIN_SERVED_RATIO, is_lower_bound=True
        ),
        "bad exits": Claim(sum(status != 0 for status in statuses) + (not statuses), 0),
    }
    return Verdict("waiting", seed, seconds, claims, _figures(record, released, lags_ms))


def _collect_times(record: EventRecord) -> _Times:
    received: dict[str, float] = {}
    completed: dict[str, float] = {}
    for attempt in record.attempts:
        received[attempt.id] = min(attempt.received_ms, received.get(attempt.id, math.inf))
        if attempt.outcome == AttemptOutcome.DONE and attempt.ended_ms is not None:
            completed[attempt.id] = attempt.ended_ms
    ended: dict[str, float] = {}
    for request_id, request in record.requests.items():
        ended_ms = request.answered_ms if request.answered_ms is not None else request.disconnected_ms
        if ended_ms is not None:
            ended[request_id] = ended_ms
    return _Times(received, completed, ended)


def _answer_claims(record: EventRecord) -> dict[str, Claim]:
    """Return the claims that hold for plain and deferred jobs alike."""
    answered_twice = sum(request.answer_count > 1 for request in record.requests.values())
    return {
        "unanswered": Claim(len(record.find_unanswered()), 0),
        "late": Claim(len(record.find_late(_LATE_TOLERANCE_MS)), 0),
        "answered twice": Claim(answered_twice + len(record.find_misdelivered()), 0),
        "ran twice": Claim(len(record.find_repeated(_NON_IDEMPOTENT)), 0),
        "invented": Claim(len(record.find_fabricated()), 0),
    }


def _order_claims(record: EventRecord, times: _Times) -> dict[str, Claim]:
    """Return the claims on run conditions."""
    before_parent = 0
    after_failed_parent = 0
    before_time = 0
    for request in record.requests.values():
        received_ms = times.received.get(request.id)
        if received_ms is None:
            continue
        for parent_id in request.run_after:
            before_parent += times.completed.get(parent_id, math.inf) > received_ms
            after_failed_parent += parent_id not in times.completed
        if request.not_before_unix_ms:
            received_unix_ms = received_ms + record.unix_offset_ms
            before_time += received_unix_ms < request.not_before_unix_ms - _CLOCK_TOLERANCE_MS
    return {
        "ran before what it names": Claim(before_parent, 0),
        "ran though its parent was not done": Claim(after_failed_parent, 0),
        "ran before its time": Claim(before_time, 0),
    }


def _parent_end_lags_ms(record: EventRecord, times: _Times) -> list[float]:
    """Return the time from the end of each parent that was not served to the answer of its child."""
    lags_ms = []
    for request in record.requests.values():
        for parent_id in request.run_after:
            parent = record.requests.get(parent_id)
            ended_ms = times.ended.get(parent_id)
            if parent is None or parent.is_served or ended_ms is None or request.answered_ms is None:
                continue
            lags_ms.append(request.answered_ms - max(ended_ms, request.sent_ms))
    return lags_ms


def _figures(
    record: EventRecord, released: Sequence[RequestRecord], lags_ms: Sequence[float]
) -> dict[str, float]:
    requests = record.requests.values()
    plain = [request for request in requests if request.id.startswith(PLAIN_PREFIX)]
    return {
        "jobs": len(requests),
        "waited": sum(_has_run_conditions(request) for request in requests),
        "released": len(released),
        "ended with a parent": len(lags_ms),
        "served of released": _served_ratio(released),
        "served of plain": _served_ratio(plain),
        "parent's end to child's end, p50 ms": _percentile(lags_ms, 50.0),
        "parent's end to child's end, max ms": max(lags_ms, default=0.0),
        "strange requests": len(record.protocol_violations),
    }


def _has_run_conditions(request: RequestRecord) -> bool:
    return bool(request.run_after or request.not_before_unix_ms)


def _served_ratio(requests: Sequence[RequestRecord]) -> float:
    return sum(request.is_served for request in requests) / max(1, len(requests))


def _percentile(values: Sequence[float], percent: float) -> float:
    return float(np.percentile(values, percent)) if values else math.inf


def _release_time_ms(request: RequestRecord, record: EventRecord) -> float | None:
    """Return when a deferred job was free to run.

    None where it never was, and where its client had disconnected or its node had ended by then.
    """
    if not _has_run_conditions(request) or record.is_rejected_by_stopping_node(request):
        return None
    if request.disconnected_ms is not None and not request.answer_count:
        return None
    times_ms = [request.sent_ms]
    for parent_id in request.run_after:
        parent = record.requests.get(parent_id)
        if parent is None or not parent.is_served:
            return None
        if parent.answered_ms is not None:
            times_ms.append(parent.answered_ms)
    if request.not_before_unix_ms:
        times_ms.append(request.not_before_unix_ms - record.unix_offset_ms)
    release_ms = max(times_ms)
    was_answered_before = request.answered_ms is not None and request.answered_ms < release_ms
    return None if was_answered_before else release_ms


def _worst_tenth_ratio(released: Sequence[RequestRecord], record: EventRecord) -> float:
    """Return the served ratio of the worst-served tenth of released jobs over that of plain jobs.

    Plain jobs count by the class and window of the released ones. NaN where no window has enough jobs.
    """
    groups = _served_groups(released, record)
    groups.sort(key=lambda group: group.relative_ratio)
    tenth = sum(len(group.released) for group in groups) / 10.0
    jobs = 0
    served = 0.0
    expected = 0.0
    for group in groups:
        if jobs >= tenth:
            break
        jobs += len(group.released)
        served += sum(request.is_served for request in group.released)
        expected += group.plain_ratio * len(group.released)
    return served / expected if expected else math.nan


def _served_groups(released: Sequence[RequestRecord], record: EventRecord) -> list[_ServedGroup]:
    begin_ms = min((request.sent_ms for request in record.requests.values()), default=0.0)

    def find_window(request: RequestRecord, at_ms: float) -> _ClassWindow:
        return _ClassWindow(request.job_class, int((at_ms - begin_ms) // _WINDOW_MS))

    released_by_window: dict[_ClassWindow, list[RequestRecord]] = defaultdict(list)
    plain_by_window: dict[_ClassWindow, list[RequestRecord]] = defaultdict(list)
    for request in released:
        release_ms = _release_time_ms(request, record)
        assert release_ms is not None
        released_by_window[find_window(request, release_ms)].append(request)
    for request in record.requests.values():
        if request.id.startswith(PLAIN_PREFIX):
            plain_by_window[find_window(request, request.sent_ms)].append(request)
    groups = []
    for window, members in released_by_window.items():
        plain = plain_by_window[window]
        plain_ratio = _served_ratio(plain)
        if len(members) >= _MIN_JOBS and len(plain) >= _MIN_JOBS and plain_ratio > 0.0:
            groups.append(_ServedGroup(_served_ratio(members) / plain_ratio, plain_ratio, members))
    return groups
