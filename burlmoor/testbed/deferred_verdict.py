"""The verdict of the deferred-job drill, based on what clients and executors observed."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from burlmoor.testbed.deferred_schedule import PLAIN_ID_PREFIX
from burlmoor.testbed.drill import Claim, Verdict
from burlmoor.testbed.event_record import AttemptOutcome
from burlmoor.testbed.job_classes import JOB_CLASSES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.testbed.event_record import EventRecord, RequestRecord

_LATE_TOLERANCE_MS = 50.0
_CLOCK_TOLERANCE_MS = 1.0  # by which a job may appear to be received before its earliest start time
_MAX_END_LAG_P99_MS = 50.0
_MIN_SERVED_RATIO = 0.9  # of the worst-served released jobs, relative to plain jobs
_WINDOW_MS = 10_000.0  # released and plain jobs of one class are compared within each window
_MIN_JOBS_PER_WINDOW = 12  # of each kind, released and plain; windows with fewer are not compared
_NON_IDEMPOTENT_CLASSES = {job_class.name for job_class in JOB_CLASSES if job_class.is_non_idempotent}


@dataclass(frozen=True, slots=True)
class _JobTimes:
    """Times by job ID, in ms: first receipt and completion by an executor, and the end for its client."""

    received: dict[str, float]
    completed: dict[str, float]
    ended: dict[str, float]


class _ClassWindow(NamedTuple):
    """A job class in one window of the run."""

    job_class: str
    number: int


class _ServedGroup(NamedTuple):
    """The released jobs of one class and window, and how they were served relative to plain jobs."""

    relative_ratio: float  # the released jobs' served ratio over the plain jobs'
    plain_ratio: float
    released: list[RequestRecord]


def judge(record: EventRecord, seed: int, seconds: float, exit_statuses: Sequence[int]) -> Verdict:
    """Return the verdict on a run; `exit_statuses` is empty if the restarted node did not exit in time."""
    times = _collect_times(record)
    lags_ms = _parent_end_lags_ms(record, times)
    released = [
        request for request in record.requests.values() if _release_time_ms(request, record) is not None
    ]
    claims = {
        **_answer_claims(record),
        **_order_claims(record, times),
        "parent's end to child's end, p99 ms": Claim(_percentile(lags_ms, 99.0), _MAX_END_LAG_P99_MS),
        "worst-served tenth against plain": Claim(
            _worst_tenth_ratio(released, record), _MIN_SERVED_RATIO, is_lower_bound=True
        ),
        # A restarted node that did not exit in time counts as a bad exit.
        "bad exits": Claim(sum(status != 0 for status in exit_statuses) + (not exit_statuses), 0),
    }
    return Verdict("waiting", seed, seconds, claims, _figures(record, released, lags_ms))


def _collect_times(record: EventRecord) -> _JobTimes:
    received: dict[str, float] = {}
    completed: dict[str, float] = {}
    for attempt in record.attempts:
        received[attempt.id] = min(attempt.received_ms, received.get(attempt.id, math.inf))
        if attempt.outcome == AttemptOutcome.DONE and attempt.ended_ms is not None:
            completed[attempt.id] = attempt.ended_ms
    ended: dict[str, float] = {}
    for request_id, request in record.requests.items():
        ended_ms = request.answered_ms if request.answered_ms is not None else request.disconnect_at_ms
        if ended_ms is not None:
            ended[request_id] = ended_ms
    return _JobTimes(received, completed, ended)


def _answer_claims(record: EventRecord) -> dict[str, Claim]:
    """Return the claims that apply to plain and deferred jobs alike."""
    answered_twice = sum(request.answer_count > 1 for request in record.requests.values())
    return {
        "unanswered": Claim(len(record.find_unanswered()), 0),
        "late": Claim(len(record.find_late(_LATE_TOLERANCE_MS)), 0),
        "answered twice": Claim(answered_twice + len(record.find_misdelivered()), 0),
        "ran twice": Claim(len(record.find_repeated(_NON_IDEMPOTENT_CLASSES)), 0),
        "invented": Claim(len(record.find_fabricated()), 0),
    }


def _order_claims(record: EventRecord, times: _JobTimes) -> dict[str, Claim]:
    """Return the claims about run conditions."""
    before_parent = 0
    after_failed_parent = 0
    before_earliest_start = 0
    for request in record.requests.values():
        received_ms = times.received.get(request.id)
        if received_ms is None:
            continue
        for parent_id in request.run_after:
            before_parent += times.completed.get(parent_id, math.inf) > received_ms
            after_failed_parent += parent_id not in times.completed
        if request.not_before_unix_ms:
            received_unix_ms = received_ms + record.unix_offset_ms
            before_earliest_start += received_unix_ms < request.not_before_unix_ms - _CLOCK_TOLERANCE_MS
    return {
        "ran before what it names": Claim(before_parent, 0),
        "ran though its parent was not done": Claim(after_failed_parent, 0),
        "ran before its time": Claim(before_earliest_start, 0),
    }


def _parent_end_lags_ms(record: EventRecord, times: _JobTimes) -> list[float]:
    """Return the times from the end of each parent that was not served to the answers of its children.

    For a child that was sent after its parent ended, the time counts from the sending.
    """
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
    plain = [request for request in requests if request.id.startswith(PLAIN_ID_PREFIX)]
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
    """Return a percentile, or infinity if there are no values, so that a claim on it fails."""
    return float(np.percentile(values, percent)) if values else math.inf


def _release_time_ms(request: RequestRecord, record: EventRecord) -> float | None:
    """Return when the run conditions of a deferred job were met.

    Returns None in each of these cases: they never were met, the job was answered before they were, a
    stopping node rejected it, or its client disconnected without an answer.
    """
    if not _has_run_conditions(request) or record.is_rejected_by_stopping_node(request):
        return None
    if request.disconnect_at_ms is not None and not request.answer_count:
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
    """Return the served ratio of the worst-served tenth of released jobs, relative to that of plain jobs.

    Released jobs are compared with the plain jobs of their class and window. Returns NaN if no window has
    enough jobs.
    """
    groups = _served_groups(released, record)
    groups.sort(key=lambda group: group.relative_ratio)
    tenth = sum(len(group.released) for group in groups) / 10.0
    job_count = 0
    served = 0.0
    expected_served = 0.0
    for group in groups:
        if job_count >= tenth:
            break
        job_count += len(group.released)
        served += sum(request.is_served for request in group.released)
        expected_served += group.plain_ratio * len(group.released)
    return served / expected_served if expected_served else math.nan


def _served_groups(released: Sequence[RequestRecord], record: EventRecord) -> list[_ServedGroup]:
    start_ms = min((request.sent_ms for request in record.requests.values()), default=0.0)

    def find_window(request: RequestRecord, at_ms: float) -> _ClassWindow:
        return _ClassWindow(request.job_class, int((at_ms - start_ms) // _WINDOW_MS))

    released_by_window: dict[_ClassWindow, list[RequestRecord]] = defaultdict(list)
    plain_by_window: dict[_ClassWindow, list[RequestRecord]] = defaultdict(list)
    for request in released:
        release_ms = _release_time_ms(request, record)
        assert release_ms is not None
        released_by_window[find_window(request, release_ms)].append(request)
    for request in record.requests.values():
        if request.id.startswith(PLAIN_ID_PREFIX):
            plain_by_window[find_window(request, request.sent_ms)].append(request)
    groups = []
    for window, members in released_by_window.items():
        plain = plain_by_window[window]
        plain_ratio = _served_ratio(plain)
        if len(members) >= _MIN_JOBS_PER_WINDOW and len(plain) >= _MIN_JOBS_PER_WINDOW and plain_ratio > 0.0:
            groups.append(_ServedGroup(_served_ratio(members) / plain_ratio, plain_ratio, members))
    return groups
