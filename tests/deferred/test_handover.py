"""Handover from a process that holds deferred jobs to a new one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.support.deferral_over_sockets import submit_deferred, wait_until_sent
from tests.support.handover_harness import open_handover_harness

if TYPE_CHECKING:
    from pathlib import Path


async def test_deferred_jobs_stay_with_their_process_and_are_answered_in_time(tmp_path: Path) -> None:
    with trio.fail_after(60.0):
        async with open_handover_harness(tmp_path) as harness:
            options = tmp_path / "options.ini"
            options.write_text("[waiting]\nunknown = 300 ms\n")
            harness.environment["BURLMOOR_OPTIONS"] = str(options)
            old = await harness.start_process()
            await old.wait_ready()
            parent, child = await submit_deferred(harness, "p1"), await submit_deferred(harness, "c1", "p1")
            await wait_until_sent(harness, "p1")
            second_parent, second_child = (
                await submit_deferred(harness, "p2"),
                await submit_deferred(harness, "c2", "p2"),
            )
            await wait_until_sent(harness, "p1", "p2")
            new = await harness.start_process()
            await new.wait_ready()
            # The parent is in the old process, so the new process rejects the job.
            assert (await harness.read_response(await submit_deferred(harness, "c3", "p1"))).status == 503
            assert await harness.send_callback("started", job=0) == 204
            assert await harness.send_callback("done", "parent", job=0) == 204
            assert (await harness.read_response(parent)).body == b"parent"
            await wait_until_sent(harness, "p1", "p2", "c1")
            assert await harness.send_callback("done", "child") == 204
            assert (await harness.read_response(child)).body == b"child"
            await harness.send_callback("started", job=1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(old.stop)
                assert (await harness.read_response(second_child)).status in (424, 503)
                assert (await harness.read_response(second_parent)).status == 502
            await new.stop()
