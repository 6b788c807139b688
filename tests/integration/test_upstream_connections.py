"""Pooled connections to executors over sockets: idle, stale and broken ones."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from tests.support.node_harness import NodeHarness, open_node_harness

if TYPE_CHECKING:
    import pytest


def is_last_job(harness: NodeHarness, request_id: str) -> bool:
    """Whether the last job that executors have received is this one."""
    return bool(harness.jobs) and harness.jobs[-1][1].headers["request-id"] == request_id


async def test_an_idle_connection_that_its_peer_closed_is_not_written_to() -> None:
    async with open_node_harness() as harness:
        for request_id in ("a1", "a2", "a3"):
            client = await harness.submit_job("once", request_id)
            await harness.wait_until(partial(is_last_job, harness, request_id))
            await harness.send_callback("done", "fine")
            assert (await harness.read_response(client)).status == 200
            for connection in harness.executor_connections:
                await connection.socket_stream.aclose()


async def test_a_reused_connection_that_broke_shortens_the_idle_time_of_others() -> None:
    # Without this, each connection that its peer had dropped unnoticed would lose the job written to it.
    async with open_node_harness() as harness:
        pool = harness.components.pool
        address = harness.addresses["e0"]
        first = await pool.acquire(address)
        second = await pool.acquire(address)
        for connection in (first, second):
            pool.return_connection(connection)
        await trio.sleep(0.05)
        reused = await pool.acquire(address)
        assert reused is second
        assert not pool.is_reuse_risky
        pool.on_connection_broken(reused)
        assert pool.is_reuse_risky
        assert await pool.acquire(address) is not first


async def test_a_cancellation_is_sent_again_after_a_stale_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The peer closes an idle connection while the DELETE is in transit, which the check before cannot detect.
    monkeypatch.setattr("burlmoor.transport.stream.SocketStream.is_idle_open", lambda _self: True)

    async with open_node_harness() as harness:
        client = await harness.submit_job()
        await harness.wait_until(lambda: harness.jobs and not harness.components.attempts.in_flight)
        for connection in harness.executor_connections:
            await connection.socket_stream.aclose()
        await client.socket_stream.aclose()
        await harness.wait_until(lambda: harness.cancelled_attempts)
