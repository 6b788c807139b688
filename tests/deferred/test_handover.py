"""A new process takes over from one where jobs wait."""

from __future__ import annotations

from pathlib import Path

import trio

from tests.deferred.test_over_sockets import ask, sent
from tests.lifecycle.test_handover import HandoverHarness, open_handover_harness


def test_what_waits_stays_with_its_process_and_is_answered_in_time(tmp_path: Path) -> None:
    async def story(made: HandoverHarness) -> None:
        old = await made.start_process()
        await old.ready()
        parent, child = await ask(made, "p1"), await ask(made, "c1", "p1")
        await sent(made, "p1")
        lasting, stays = await ask(made, "p2"), await ask(made, "c2", "p2")
        await sent(made, "p1", "p2")
        new = await made.start_process()
        await new.ready()
        # Its parent is at the old process: it gets a defined end, soon.
        assert (await made.read_response(await ask(made, "c3", "p1"))).status == 503
        assert await made.send_callback("started", job=0) == 204
        assert await made.send_callback("done", "parent", job=0) == 204
        assert (await made.read_response(parent)).body == b"parent"
        await sent(made, "p1", "p2", "c1")
        assert await made.send_callback("done", "child") == 204
        assert (await made.read_response(child)).body == b"child"
        await made.send_callback("started", job=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(old.stop)
            assert (await made.read_response(stays)).status in (424, 503)
            assert (await made.read_response(lasting)).status == 502
        await new.stop()

    async def run() -> None:
        with trio.fail_after(60.0):
            async with open_handover_harness(tmp_path) as made:
                options = tmp_path / "options.ini"
                options.write_text("[waiting]\nunknown = 300 ms\n")
                made.environment["BURLMOOR_OPTIONS"] = str(options)
                await story(made)

    trio.run(run)
