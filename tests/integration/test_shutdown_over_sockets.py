"""A node that stops, over sockets: admitted jobs are answered, and slow readers are not cut off."""

from __future__ import annotations

import socket
import time

import trio

from burlmoor.downstream.drain import ServiceState
from tests.support.node_harness import NodeHarness, run_scenario


def test_a_stopping_node_finishes_admitted_jobs() -> None:
    async def scenario(harness: NodeHarness) -> None:
        first = await harness.submit_job(request_id="a1", timeout_ms=5000)
        idle = await harness.connect_client()
        await harness.wait_until(lambda: harness.jobs)
        harness.nursery.start_soon(harness.node.shut_down)
        await harness.wait_until(lambda: harness.components.drain.is_shutting_down)
        ready = await harness.connect_client()
        await ready.write("GET /health/ready HTTP/1.1", Host="node")
        assert (await harness.read_response(ready)).status == 503
        await harness.send_job(
            idle, request_id="a2", timeout_ms=5000
        )  # clients keep the connections they have for a while
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        for job in (0, 1):
            await harness.send_callback("started", job=job)
        await harness.wait_until(lambda: harness.components.drain.state is ServiceState.REJECTING)
        late = await harness.submit_job(request_id="a3")
        assert (await harness.read_response(late)).status == 503
        for job, client in ((0, first), (1, idle)):
            # A call-back that is slow to write its first byte must not be closed either.
            await harness.send_callback("done", "fine", job=job, pause=0.1)
            answer = await harness.read_response(client)
            assert (answer.status, answer.headers["connection"]) == (200, "close")
        await harness.wait_until(lambda: harness.has_node_ended)

    run_scenario(scenario)


def test_a_stopping_node_serves_until_its_clients_have_left() -> None:
    async def scenario(harness: NodeHarness) -> None:
        client = await harness.submit_job("once", "a1")
        harness.nursery.start_soon(harness.node.shut_down)
        await harness.wait_until(lambda: harness.components.core.deadlines.answer_by < float("inf"))
        for number in range(3):  # one connection carries them all
            await harness.wait_until(lambda jobs=number + 1: len(harness.jobs) == jobs)  # type: ignore[misc]
            await harness.send_callback("done", "fine")
            answer = await harness.read_response(client)
            assert (answer.status, answer.headers.get("connection")) == (200, None)
            await harness.send_job(client, "once", f"b{number}", 5000)
        # The last one is never done: it is answered before the node may be killed.
        assert (await harness.read_response(client)).status == 502
        await harness.wait_until(lambda: harness.has_node_ended)

    started_at = time.monotonic()
    run_scenario(scenario)
    assert time.monotonic() - started_at < 4.5


def test_a_stopping_node_does_not_cut_off_a_slow_reader() -> None:
    async def scenario(harness: NodeHarness) -> None:
        harness.components.server._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client = await harness.connect_client(receive_buffer=4096)
        await harness.send_job(client)
        await harness.wait_until(lambda: harness.jobs)
        harness.nursery.start_soon(harness.node.shut_down)
        await harness.wait_until(lambda: harness.components.drain.is_shutting_down)
        await harness.send_callback("done", "x" * 60_000)
        assert harness.components.server.has_unsent
        with trio.move_on_after(1.0):
            await harness.wait_until(lambda: harness.has_node_ended)
        assert len((await harness.read_response(client)).body) == 60_000
        await harness.wait_until(lambda: harness.has_node_ended)

    run_scenario(scenario)
