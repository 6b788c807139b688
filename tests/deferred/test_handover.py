"""A new process takes over from one where jobs wait."""

from __future__ import annotations

from pathlib import Path

import trio

from tests.deferred.test_over_sockets import ask, sent
from tests.lifecycle.test_handover import House, house


def test_what_waits_stays_with_its_process_and_is_answered_in_time(tmp_path: Path) -> None:
    async def story(made: House) -> None:
        old = await made.start()
        await old.ready()
        parent, child = await ask(made, "p1"), await ask(made, "c1", "p1")
        await sent(made, "p1")
        lasting, stays = await ask(made, "p2"), await ask(made, "c2", "p2")
        await sent(made, "p1", "p2")
        new = await made.start()
        await new.ready()
        # Its parent is at the old process: it gets a defined end, soon.
        assert (await made.answer(await ask(made, "c3", "p1"))).status == 503
        assert await made.tell("started", job=0) == 204
        assert await made.tell("done", "parent", job=0) == 204
        assert (await made.answer(parent)).body == b"parent"
        await sent(made, "p1", "p2", "c1")
        assert await made.tell("done", "child") == 204
        assert (await made.answer(child)).body == b"child"
        await made.tell("started", job=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(old.stop)
            assert (await made.answer(stays)).status in (424, 503)
            assert (await made.answer(lasting)).status == 502
        await new.stop()

    async def run() -> None:
        with trio.fail_after(60.0):
            async with house(tmp_path) as made:
                options = tmp_path / "options.ini"
                options.write_text("[waiting]\nunknown = 300 ms\n")
                made.environment["BURLMOOR_OPTIONS"] = str(options)
                await story(made)

    trio.run(run)
