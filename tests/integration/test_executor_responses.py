"""Late, invalid, repeated and missing responses of executors; see `docs/races.md`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.transport.sockets import connect
from burlmoor.upstream.pool import REUSE_DELAY_SECONDS
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from burlmoor.transport.stream import SocketStream


async def test_late_second_response_is_not_attributed_to_the_next_job() -> None:
    # The second response claims that the job never ran. Attributed to the next job, which is non-idempotent,
    # it would cause that job to be sent again.
    async with open_node_harness("stray") as harness:
        harness.components.pool._reuse_delay_seconds = 10.0  # longer than the test
        await harness.publish(2, is_complete=False, e1="leaving")
        await harness.wait_until(lambda: harness.components.directory.find_live("e1") is None)
        for number, request_id in enumerate(("a1", "a2")):
            harness.open_clients.append(await harness.submit_job("once", request_id))
            await harness.wait_until(lambda jobs=number + 1: len(harness.jobs) == jobs)  # type: ignore[misc]
            await harness.wait_until(lambda: not harness.components.attempts.in_flight)
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(harness.open_clients[-1])).body == b"fine"
        assert harness.find_attempts("a2") == [1]


async def test_an_idle_connection_with_a_second_response_is_not_reused() -> None:
    async with open_node_harness() as harness:
        pool, address = harness.components.pool, harness.addresses["e0"]
        connection = await pool.acquire(address)
        pool.return_connection(connection)
        assert await pool.acquire(address) is not connection
        await harness.wait_until(lambda: trio.current_time() > connection.idle_since + REUSE_DELAY_SECONDS)
        await harness.executor_connections[0].write("HTTP/1.1 202 Accepted")
        await harness.wait_until(lambda: not connection.is_reusable())
        assert await pool.acquire(address) is not connection


PARTIAL_STATUS_LINE = "HTTP/1.1 202 Acc"
INVALID_RESPONSES = [
    "HTTP/1.1 2x2 Accepted\r\nContent-Length: 0\r\n\r\n",
    "\x00\x01\x02\r\n\r\n",
    "HTTP/1.1 202 Accepted\r\nContent-Length: -4\r\n\r\n",
    "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    PARTIAL_STATUS_LINE + "|end",
    "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nfour|end",
    "|end",
    "HTTP/1.1 202 Accepted\r\nX: " + 300_000 * "x",
    "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" + 300_000 * "x",
]


@pytest.mark.parametrize("response", INVALID_RESPONSES, ids=range(len(INVALID_RESPONSES)))
@pytest.mark.parametrize(
    ("job_class", "status", "attempt_count"), [("once", 502, 1), ("lookup", 200, 2), ("keyed", 200, 2)]
)
async def test_an_invalid_response_ends_its_attempt_as_possibly_executed(
    job_class: str, status: int, attempt_count: int, response: str
) -> None:
    async with open_node_harness(f"bytes:{response}") as harness:
        client = await harness.submit_job(job_class)
        await harness.wait_until(lambda: len(harness.jobs) == attempt_count)
        if attempt_count == 2:
            await harness.send_callback("done", "second")
        answer = await harness.read_response(client)
        assert (answer.status, answer.body == b"second") == (status, attempt_count == 2)
        assert len(harness.jobs) == attempt_count
        assert not harness.components.attempts.in_flight


@pytest.mark.parametrize(("job_class", "attempt_count"), [("lookup", 2), ("keyed", 2), ("once", 1)])
@pytest.mark.parametrize("response", [PARTIAL_STATUS_LINE, ""])
async def test_a_response_that_never_ends_delays_only_non_idempotent_jobs(
    job_class: str, attempt_count: int, response: str
) -> None:
    async with open_node_harness(f"bytes:{response}|") as harness:
        client = await harness.submit_job(job_class, timeout_ms=1500)
        await harness.wait_until(lambda: len(harness.jobs) == attempt_count)
        if attempt_count == 2:
            await harness.send_callback("done", "second")
        answer = await harness.read_response(client)
        assert (answer.status, len(harness.jobs)) == ((200, 2) if attempt_count == 2 else (502, 1))
        await harness.wait_until(lambda: harness.closed_by_node_count)  # the connection is closed


@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
async def test_late_result_of_a_cancelled_attempt_is_accepted_without_effect(job_class: str) -> None:
    async with open_node_harness() as harness:
        client = await harness.submit_job(job_class, timeout_ms=400)
        await harness.wait_until(lambda: harness.jobs)
        answer = await harness.read_response(client)  # at its deadline, when the attempt is cancelled
        assert answer.status in (502, 503)
        await harness.wait_until(lambda: harness.cancelled_attempts)
        assert await harness.send_callback("done", "late", job=0) == 204
        assert await harness.send_callback("done", "late", job=0) == 204  # executors repeat their call-backs
        other = await harness.submit_job(job_class, "b1")  # on another connection, with its own response
        await harness.wait_until(lambda: harness.find_attempts("b1"))
        await harness.send_callback("done", "fine", job=harness.find_attempts("b1")[0])
        assert (await harness.read_response(other)).body == b"fine"


async def test_connection_established_after_cancellation_is_closed_unused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_node_harness() as harness:
        established = trio.Event()
        released = trio.Event()

        async def connect_later(address: str, limit: int) -> SocketStream:
            stream = await connect(address, limit)
            established.set()
            await released.wait()
            return stream

        monkeypatch.setattr("burlmoor.upstream.pool.connect", connect_later)
        client = await harness.submit_job()
        await established.wait()
        await client.socket_stream.aclose()
        await harness.wait_until(lambda: not harness.components.core.jobs.count_open())
        released.set()
        await harness.wait_until(
            lambda: not harness.components.attempts.in_flight and not harness.components.pool.open_count
        )
        assert not harness.jobs


async def test_client_is_answered_when_the_task_of_an_attempt_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    async with open_node_harness(lines=lines) as harness:
        monkeypatch.setattr(harness.components.pool, "acquire", lambda _address: 1 // 0)
        answer = await harness.read_response(await harness.submit_job("once", timeout_ms=800))
        assert answer.status == 502  # whether it was executed is not known
    assert any("attempt-error" in line for line in lines)
