"""Reuse of pooled connections to executors, over sockets."""

from __future__ import annotations

import json
from functools import partial
from typing import TYPE_CHECKING

import trio

from tests.support.node_harness import NodeHarness, open_node_harness

if TYPE_CHECKING:
    import pytest


def is_last_job(harness: NodeHarness, request_id: str) -> bool:
    """Return whether this job is the last one that the executors have received."""
    return bool(harness.jobs) and harness.jobs[-1][1].headers["request-id"] == request_id


async def test_idle_connection_closed_by_its_peer_is_not_reused() -> None:
    async with open_node_harness() as harness:
        for request_id in ("a1", "a2", "a3"):
            client = await harness.submit_job("once", request_id)
            await harness.wait_until(partial(is_last_job, harness, request_id))
            await harness.send_callback("done", "fine")
            assert (await harness.read_response(client)).status == 200
            for connection in harness.executor_connections:
                await connection.socket_stream.aclose()


async def test_break_of_a_reused_connection_reduces_the_idle_limit() -> None:
    # Otherwise each further connection that its peer has silently dropped loses the job written to it.
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
        assert not pool.had_recent_stale_connection
        pool.on_connection_broken(reused)
        assert pool.had_recent_stale_connection
        assert await pool.acquire(address) is not first


async def test_cancellation_is_resent_after_a_stale_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The peer closes the idle connection while the DELETE is in transit, after `is_open_and_idle` was called.
    monkeypatch.setattr("burlmoor.transport.stream.SocketStream.is_open_and_idle", lambda _self: True)

    async with open_node_harness() as harness:
        client = await harness.submit_job()
        await harness.wait_until(lambda: harness.jobs and not harness.components.attempts.in_flight)
        for connection in harness.executor_connections:
            await connection.socket_stream.aclose()
        await client.socket_stream.aclose()
        await harness.wait_until(lambda: harness.cancelled_attempts)


async def test_the_log_tells_how_many_connections_are_open_and_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("burlmoor.lifecycle.node._COUNTS_INTERVAL_SECONDS", 0.05)
    lines: list[str] = []
    async with open_node_harness("take", "hang", sockets=64, lines=lines) as harness:
        client = await harness.submit_job("once", "a1")
        await harness.wait_until(partial(is_last_job, harness, "a1"))
        harness.open_clients.append(await harness.submit_job("once", "a2"))
        await harness.wait_until(partial(is_last_job, harness, "a2"))
        await harness.send_callback("done", "fine", job=0)
        assert (await harness.read_response(client)).status == 200
        await harness.wait_until(lambda: any('"jobs"' in line for line in lines))
    counts = next(json.loads(line) for line in lines if '"jobs"' in line)
    assert counts["endpoint-connections"] == {"open": 2, "idle": 1, "limit": 9}
