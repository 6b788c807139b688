"""The status of the deferred jobs, as the admin server reports it."""

from __future__ import annotations

from typing import Any

import trio

from burlmoor.deferred.status import build_status
from tests.support.deferral_harness import START_UNIX_MS, DeferralHarness


async def test_the_status_is_consistent_while_the_queue_changes() -> None:
    harness = DeferralHarness(max_jobs=100_000, max_dependents=100_000)
    harness.submit(request_id="p", job_class="once")
    for number in range(5000):
        harness.submit_deferred(f"c{number}", "p", size_bytes=7)
    harness.submit_deferred("t", not_before_unix_ms=START_UNIX_MS + harness.now + 10_000.0, job_class="once")
    harness.submit_deferred("u", "nobody", job_class="once")
    harness.advance(10.0)
    harness.engine.step()

    seen: dict[str, Any] = {}
    began = trio.Event()

    def clock() -> float:
        began.set()
        return harness.now

    async def fetch_status() -> None:
        seen.update(await build_status(harness.queue, clock))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(fetch_status)
        await began.wait()
        harness.core.lifecycle.on_client_disconnected(harness.find_job("c7"))  # during the computation
        harness.engine.step()
    assert seen["waiting"] == 5002
    assert seen["by_class"]["lookup"]["waiting"] == 5000
    assert seen["by_reason"] == {"jobs": 5000, "time": 1, "unknown": 1}
    assert seen["bytes"] == 5000 * 7 + 20
    assert len(harness.queue.status_by_id) == 5001
