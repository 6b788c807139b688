"""Idle connections and whole nodes that are closed while requests arrive: rows of `docs/races.md`."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import pytest
import trio

from burlmoor.transport.stream import SocketStream
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import NodeHarness, run_scenario


def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_not_admitted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Read and dropped, it would have had no answer; and what is written after a close is lost.
    admitted: list[str] = []
    receive_now = SocketStream.receive_now

    async def scenario(harness: NodeHarness) -> None:
        client = await harness.submit_job("once", "a1")
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(client)).body == b"fine"
        admit = harness.components.engine.admit

        def record_and_admit(*arguments: Any) -> Any:
            admitted.append(arguments[1])
            return admit(*arguments)

        monkeypatch.setattr(harness.components.engine, "admit", record_and_admit)

        def close_idle_and_receive(stream: SocketStream) -> bool | None:
            # The socket is readable and its task about to read when the sweep closes idle connections.
            monkeypatch.setattr(SocketStream, "receive_now", receive_now)
            harness.components.server.close_idle()
            return receive_now(stream)

        monkeypatch.setattr(SocketStream, "receive_now", close_idle_and_receive)
        await harness.send_job(client, "once", "a2")
        with suppress(trio.BrokenResourceError):
            assert await client.read() is None
        again = await harness.submit_job("once", "a2")  # as the protocol has clients do
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        await harness.send_callback("done", "again")
        assert (await harness.read_response(again)).body == b"again"
        assert admitted == ["a2"]

    run_scenario(scenario)


def settings_with_deadline(deadline_ms: float) -> dict[str, Any]:
    """The usual settings, with this deadline for all classes."""
    return {
        **SETTINGS_OBJECT,
        "RequestClasses": [{**each, "HardLimit": deadline_ms} for each in SETTINGS_OBJECT["RequestClasses"]],
    }


@pytest.mark.parametrize("deadline_ms", [400.0, 1000.0, 2000.0, 5000.0])
def test_jobs_admitted_late_in_a_shutdown_are_answered_before_sigkill_may_come(deadline_ms: float) -> None:
    # SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; 3.7 s where that is longer.
    killed_after_seconds = min(deadline_ms / 1000.0, 3.0) + 0.7
    late_answers: list[float] = []  # seconds after SIGTERM, to what was asked late

    async def scenario(harness: NodeHarness) -> None:
        began = trio.current_time()

        async def submit_repeatedly(number: int) -> None:
            """Submit job after job on one connection for as long as that stays open."""
            client = await harness.connect_client()
            for again in range(1000):
                asked = trio.current_time() - began
                if asked >= killed_after_seconds:
                    return
                try:
                    await harness.send_job(client, "once", f"c{number}-{again}", int(deadline_ms))
                    answer = await client.read()
                except trio.BrokenResourceError:
                    answer = None
                if answer is not None and asked > 0.7:
                    late_answers.append(trio.current_time() - began)
                if answer is None or answer.headers.get("connection") == "close":
                    if trio.current_time() - began > 0.4:
                        return
                    client = await harness.connect_client()
                await trio.sleep(0.02)

        harness.nursery.start_soon(harness.node.shut_down)
        with trio.move_on_after(killed_after_seconds):
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(submit_repeatedly, number)
        # A client that still waits has submitted its job within 0.7 s of SIGTERM, or not at all.
        assert not harness.components.core.jobs.count_open()
        assert not harness.components.server.has_unsent

    run_scenario(scenario, given_settings=settings_with_deadline(deadline_ms))
    assert all(at < killed_after_seconds for at in late_answers)
