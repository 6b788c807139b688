"""Measures the cost of deferral at several numbers of deferred jobs: CPU, memory, and the status report.

    python -m benchmarks.waiting

In one deferral, a job is admitted, deferred until its parent is served and a time has passed, and released.
Meanwhile `n` other jobs are deferred: a third each until a common parent is served, until a time, and
until an earlier deferred job is served. The time of a deferral is CPU time of this process, the best of
three rounds.
"""

from __future__ import annotations

import gc
import json
import math
import time
import tracemalloc

import trio

from burlmoor.config.options import DeferredOptions
from burlmoor.deferred import DeferredJobQueue
from burlmoor.deferred.status import build_status
from burlmoor.engine.answers import Served
from burlmoor.engine.deferral import ReleaseDecision, RunConditions
from burlmoor.types.events import JobRequest

_SIZES = (10, 1_000, 10_000, 100_000)
_ROUNDS = 3
_JOBS_PER_ROUND = 2000
_JOBS_PER_STEP = 100  # while the queue is filled
_NOW = 0.0
_UNIX_NOW_MS = 1_700_000_000_000.0
_NOT_BEFORE_DELAY_MS = 1e9
_REQUEST = JobRequest(0, "slot-search", 60_000.0, 100.0)
_BODY_BYTES = 200
_MAX_CONNECTIONS = 1 << 30
_UNREACHED_LIMIT = 10_000_000
_OPTIONS = DeferredOptions(
    max_jobs=_UNREACHED_LIMIT,
    max_dependents=_UNREACHED_LIMIT,
    release_rate=_UNREACHED_LIMIT,
    release_burst=1_000_000,
)


def _ignore_event(*_values: object, **_fields: object) -> None:
    """Ignore a log event."""


def _count_free_slots() -> float:
    return math.inf


def _make_conditions(number: int) -> RunConditions:
    """Return the run conditions of a job: in turn the common parent, a time, or an earlier job."""
    root_dependent_count = 4
    if number < root_dependent_count or number % 3 == 0:
        return RunConditions(("root",), 0.0, _BODY_BYTES)
    if number % 3 == 1:
        return RunConditions((), _UNIX_NOW_MS + _NOT_BEFORE_DELAY_MS, _BODY_BYTES)
    return RunConditions((f"other-{number - 2}",), 0.0, _BODY_BYTES)


def _make_filled_queue(count: int) -> DeferredJobQueue:
    """Return a queue in which `count` jobs are deferred and nothing is due."""
    queue = DeferredJobQueue(_OPTIONS, _MAX_CONNECTIONS, 1000.0, 1, _ignore_event, _NOW, lambda: _UNIX_NOW_MS)
    queue.on_job_admitted("root")
    for number in range(count):
        request_id = f"other-{number}"
        queue.on_job_admitted(request_id)
        queue.defer(request_id, _REQUEST, _make_conditions(number), 1e12, _NOW)
        if number % _JOBS_PER_STEP == 0:
            queue.step(_NOW, _count_free_slots)
    while queue.next_due(_NOW) <= _NOW:
        queue.step(_NOW, _count_free_slots)
    return queue


def _defer_and_release(queue: DeferredJobQueue, number: int) -> None:
    """Open a parent and its child, serve the parent, and check that the child is released."""
    parent = f"p{number}"
    child = f"c{number}"
    conditions = RunConditions((parent,), _UNIX_NOW_MS - 5.0, _BODY_BYTES)
    queue.on_job_admitted(parent)
    queue.on_job_admitted(child)
    queue.defer(child, _REQUEST, conditions, _NOW + 60_000.0, _NOW)
    queue.step(_NOW, _count_free_slots)
    queue.on_job_ended(parent, Served(b""), _NOW)
    decisions = queue.step(_NOW, _count_free_slots)
    assert [type(decision) for decision in decisions] == [ReleaseDecision], decisions
    queue.on_job_ended(child, Served(b""), _NOW)


def _measure(count: int) -> dict[str, float]:
    """Return the measurements with `count` jobs deferred."""
    gc.collect()
    tracemalloc.start()
    queue = _make_filled_queue(count)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    deferral_seconds = min(_time_round(queue, number) for number in range(_ROUNDS))
    begin = time.perf_counter()
    status = trio.run(build_status, queue, lambda: _NOW)
    status_seconds = time.perf_counter() - begin
    assert status["waiting"] == count
    return {
        "waiting": count,
        "us_a_wait": round(deferral_seconds * 1e6, 2),
        "bytes_a_waiting_job": round(traced_bytes / count),
        "view_ms": round(status_seconds * 1e3, 2),
    }


def _time_round(queue: DeferredJobQueue, number: int) -> float:
    """Return the mean CPU time of one deferral in a round, in seconds."""
    first = number * _JOBS_PER_ROUND
    begin = time.process_time()
    for job in range(first, first + _JOBS_PER_ROUND):
        _defer_and_release(queue, job)
    return (time.process_time() - begin) / _JOBS_PER_ROUND


def main() -> None:
    """Print a line of JSON for each size, and one that compares the growth in CPU time with log n."""
    rows = [_measure(count) for count in _SIZES]
    for row in rows:
        print(json.dumps(row))
    first, last = rows[0], rows[-1]
    growth = last["us_a_wait"] / first["us_a_wait"]
    log_growth = math.log2(last["waiting"]) / math.log2(first["waiting"])
    print(json.dumps({"grown": round(growth, 2), "log_n_would_allow": round(log_growth, 2)}))


if __name__ == "__main__":
    main()
