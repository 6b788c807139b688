"""Tests over sockets that a node that shuts down answers admitted jobs and does not cut off slow readers."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import trio

from burlmoor.downstream.drain import ServiceState
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from tests.support.node_harness import NodeHarness


async def begin_shutdown(harness: NodeHarness) -> None:
    harness.nursery.start_soon(harness.node.shut_down)
    await harness.wait_until(lambda: harness.components.drain.is_shutting_down)


async def test_a_stopping_node_finishes_admitted_jobs() -> None:
    async with open_node_harness() as harness:
        first = await harness.submit_job(request_id="a1", timeout_ms=5000)
        idle = await harness.connect_client()
        await harness.wait_until(lambda: harness.jobs)
        await begin_shutdown(harness)
        ready = await harness.connect_client()
        await ready.write("GET /health/ready HTTP/1.1", Host="node")
        assert (await harness.read_response(ready)).status == 503
        # Clients keep using their open connections for a while.
        await harness.send_job(idle, request_id="a2", timeout_ms=5000)
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        for job in (0, 1):
            await harness.send_callback("started", job=job)
        await harness.wait_until(lambda: harness.components.drain.state is ServiceState.REJECTING)
        late = await harness.submit_job(request_id="a3")
        assert (await harness.read_response(late)).status == 503
        for job, client in ((0, first), (1, idle)):
            # The node must not close the connection of a call-back whose first byte arrives late.
            await harness.send_callback("done", "fine", job=job, pause=0.1)
            answer = await harness.read_response(client)
            assert (answer.status, answer.headers["connection"]) == (200, "close")
        await harness.wait_until(lambda: harness.has_node_ended)


async def test_a_stopping_node_serves_until_its_clients_have_left() -> None:
    started_at = trio.current_time()
    async with open_node_harness() as harness:
        client = await harness.submit_job("once", "a1")
        await begin_shutdown(harness)
        await harness.wait_until(lambda: harness.components.core.deadlines.max_deadline < math.inf)
        for number in range(3):  # all on one connection
            await harness.wait_until(lambda jobs=number + 1: len(harness.jobs) == jobs)  # type: ignore[misc]
            await harness.send_callback("done", "fine")
            answer = await harness.read_response(client)
            assert (answer.status, answer.headers.get("connection")) == (200, None)
            await harness.send_job(client, "once", f"b{number}", 5000)
        # The last job never completes; it is answered before the platform may kill the node.
        assert (await harness.read_response(client)).status == 502
        await harness.wait_until(lambda: harness.has_node_ended)
    assert trio.current_time() - started_at < 4.5


async def test_a_stopping_node_does_not_cut_off_a_slow_reader() -> None:
    async with open_node_harness() as harness:
        harness.components.server._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client = await harness.connect_client(receive_buffer=4096)
        await harness.send_job(client)
        await harness.wait_until(lambda: harness.jobs)
        await begin_shutdown(harness)
        await harness.send_callback("done", "x" * 60_000)
        assert harness.components.server.connections.has_unsent_output
        with trio.move_on_after(1.0):
            await harness.wait_until(lambda: harness.has_node_ended)
        assert len((await harness.read_response(client)).body) == 60_000
        await harness.wait_until(lambda: harness.has_node_ended)
