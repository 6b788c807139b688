"""What a waiting job costs while many others wait: CPU of one whole wait, memory of each, and the view.

    python -m benchmarks.waiting

One wait is: taken, held for a parent and a time, its parent served, released. Beside it `n` others wait, a
third each for a parent, for a time and for a chain's link. Times are of this process's CPU, the best of three
rounds.
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
from burlmoor.engine.deferral import ReleasedJob, RunConditions
from burlmoor.types.events import JobRequest

SIZES = (10, 1_000, 10_000, 100_000)
_ROUND = 2000
_REQUEST = JobRequest(0, "slot-search", 60_000.0, 100.0)
_UNIX = 1_700_000_000_000.0


def make_filled_queue(count: int) -> tuple[DeferredJobQueue, float]:
    """A ward where `count` jobs wait, and its clock's time."""
    given = DeferredOptions(
        max_jobs=10_000_000, max_dependents=10_000_000, release_rate=10_000_000, release_burst=1_000_000
    )
    now = [0.0]
    queue = DeferredJobQueue(given, 1 << 30, 1000.0, 1, lambda *_a, **_k: None, 0.0, lambda: _UNIX + now[0])
    queue.on_job_opened("root")
    for number in range(count):
        ref = f"other-{number}"
        after = (("root",), (), (f"other-{number - 2}",))[number % 3] if number > 3 else ("root",)
        at = 0.0 if after else _UNIX + 1e9
        queue.on_job_opened(ref)
        queue.defer(ref, _REQUEST, RunConditions(after, at, 200), 1e12, 0.0)
        if number % 100 == 0:
            queue.step(0.0, lambda: math.inf)
    while queue.next_due(0.0) <= 0.0:
        queue.step(0.0, lambda: math.inf)
    return queue, 0.0


def defer_and_release(queue: DeferredJobQueue, number: int, now: float) -> None:
    """A parent and its child, from the child's arrival to its release and end."""
    parent, child = f"p{number}", f"c{number}"
    queue.on_job_opened(parent)
    queue.on_job_opened(child)
    queue.defer(child, _REQUEST, RunConditions((parent,), _UNIX - 5.0, 200), now + 60_000.0, now)
    queue.step(now, lambda: math.inf)
    queue.on_job_ended(parent, Served(b""), now)
    verdicts = queue.step(now, lambda: math.inf)
    assert [type(each) for each in verdicts] == [ReleasedJob], verdicts
    queue.on_job_ended(child, Served(b""), now)


def measure(count: int) -> dict[str, float]:
    """The figures with `count` jobs waiting."""
    gc.collect()
    tracemalloc.start()
    queue, now = make_filled_queue(count)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    best, number = math.inf, 0
    for _ in range(3):
        began = time.process_time()
        for _ in range(_ROUND):
            number += 1
            defer_and_release(queue, number, now)
        best = min(best, (time.process_time() - began) / _ROUND)
    began = time.perf_counter()
    seen = trio.run(build_status, queue, lambda: now)
    shown = time.perf_counter() - began
    assert seen["waiting"] == count
    return {
        "waiting": count,
        "us_a_wait": round(best * 1e6, 2),
        "bytes_a_waiting_job": round(held / count),
        "view_ms": round(shown * 1e3, 2),
    }


def main() -> None:
    """Print a line of JSON a size."""
    rows = [measure(count) for count in SIZES]
    for row in rows:
        print(json.dumps(row))
    first, last = rows[0], rows[-1]
    grown = last["us_a_wait"] / first["us_a_wait"]
    allowed = math.log2(last["waiting"]) / math.log2(first["waiting"])
    print(json.dumps({"grown": round(grown, 2), "log_n_would_allow": round(allowed, 2)}))


if __name__ == "__main__":
    main()
