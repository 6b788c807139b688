"""The status of the deferred jobs as JSON, computed from a snapshot without blocking the event loop."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.deferred.queue import DeferredJobQueue

_ENTRIES_PER_BATCH = 2000  # between checkpoints, at which other tasks can run


async def build_status(queue: DeferredJobQueue, clock: Callable[[], float]) -> dict[str, Any]:
    """Return consistent counts by class and reason, and the age of the oldest deferral in ms."""
    statuses = queue.status_by_id
    now = clock()
    body_bytes = queue.body_bytes
    max_jobs = queue.limits.max_jobs
    by_class: Counter[str] = Counter()
    by_reason: Counter[str] = Counter()
    oldest_deferred_at: dict[str, float] = {}
    for number, status in enumerate(statuses.values(), 1):
        by_class[status.job_class] += 1
        by_reason[status.reason] += 1
        oldest_deferred_at[status.job_class] = min(
            status.deferred_at, oldest_deferred_at.get(status.job_class, status.deferred_at)
        )
        if number % _ENTRIES_PER_BATCH == 0:
            await trio.lowlevel.checkpoint()
    return {
        "waiting": len(statuses),
        "most": max_jobs,
        "bytes": body_bytes,
        "oldest_ms": round(now - min(oldest_deferred_at.values(), default=now), 1),
        "by_class": {
            name: {"waiting": count, "oldest_ms": round(now - oldest_deferred_at[name], 1)}
            for name, count in sorted(by_class.items())
        },
        "by_reason": dict(sorted(by_reason.items())),
        "released": queue.released_count,
        "turned_away": queue.ended_count,
    }
