"""What operators are shown of the jobs that wait: counted from a snapshot, in pieces, beside the rest."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import trio

from burlmoor.deferred.queue import DeferredJobQueue

_PIECE = 2000  # entries between two chances for others to run


async def show(ward: DeferredJobQueue, clock: Callable[[], float]) -> dict[str, Any]:
    """Counts, the oldest, by class and reason; all of one moment. Times in ms."""
    seen, now, size, bounds = ward.seen, clock(), ward.bytes, ward.bounds
    by_class: Counter[str] = Counter()
    by_reason: Counter[str] = Counter()
    oldest: dict[str, float] = {}
    for number, each in enumerate(seen.values(), 1):
        by_class[each.job_class] += 1
        by_reason[each.reason] += 1
        oldest[each.job_class] = min(each.since, oldest.get(each.job_class, each.since))
        if number % _PIECE == 0:
            await trio.lowlevel.checkpoint()
    return {
        "waiting": len(seen),
        "most": bounds.jobs,
        "bytes": size,
        "oldest_ms": round(now - min(oldest.values(), default=now), 1),
        "by_class": {
            name: {"waiting": count, "oldest_ms": round(now - oldest[name], 1)}
            for name, count in sorted(by_class.items())
        },
        "by_reason": dict(sorted(by_reason.items())),
        "released": ward.released,
        "turned_away": ward.turned,
    }
