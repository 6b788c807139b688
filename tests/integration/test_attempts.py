"""Attempts over sockets: the executor's response, and how attempts are retried, cancelled and timed out."""

from __future__ import annotations

from functools import partial

import pytest
import trio

from burlmoor.types.outcome import Outcome
from burlmoor.upstream.errors import BrokenResponseError, ConnectError
from burlmoor.upstream.pool import REUSE_DELAY_SECONDS
from tests.support.node_harness import NodeHarness, open_node_harness


def is_last_job(harness: NodeHarness, request_id: str) -> bool:
    """Return whether this job is the last one that the executors have received."""
    return bool(harness.jobs) and harness.jobs[-1][1].headers["request-id"] == request_id


@pytest.mark.parametrize(
    ("job_class", "action", "status", "attempts"),
    [
        ("once", "take", 200, 1),
        ("once", "early", 200, 1),
        ("once", "full", 200, 2),
        ("once", "late", 200, 2),
        ("once", "503", 502, 1),
        ("once", "504", 502, 1),
        ("once", "500", 502, 1),
        ("once", "reset", 502, 1),
        ("lookup", "reset", 200, 2),
        ("lookup", "503", 200, 2),
    ],
)
async def test_the_response_of_an_executor_decides_whether_its_job_is_retried(
    job_class: str, action: str, status: int, attempts: int
) -> None:
    async with open_node_harness(action) as harness:
        client = await harness.submit_job(job_class)
        await harness.wait_until(lambda: len(harness.jobs) == attempts)
        if status == 200 and action != "early":
            assert await harness.send_callback("done", "result") in (200, 204)
        answer = await harness.read_response(client)
        assert len(harness.jobs) == attempts
    assert answer.status == status
    if status == 200:
        assert answer.body == (b"early" if action == "early" else b"result")


@pytest.mark.parametrize(
    ("state", "status", "attempts"), [("failed", 502, 1), ("lost", 502, 1), ("returned", 200, 2)]
)
async def test_call_backs_end_attempts_as_responses_do(state: str, status: int, attempts: int) -> None:
    async with open_node_harness() as harness:
        client = await harness.submit_job("once")
        await harness.wait_until(lambda: len(harness.jobs) == 1)
        for _ in range(2):  # executors may repeat call-backs
            assert await harness.send_callback("started", job=0) == 204
            assert await harness.send_callback(state, job=0) == 204
        if attempts == 2:
            await harness.wait_until(lambda: len(harness.jobs) == 2)
            await harness.send_callback("done", "second")
        assert (await harness.read_response(client)).status == status
        assert len(harness.jobs) == attempts


async def test_a_request_is_forwarded_unchanged_and_connections_are_reused() -> None:
    async with open_node_harness() as harness:
        client = await harness.connect_client()
        for request_id in ("a1", "a2", "a3", "a4", "a5"):
            await harness.send_job(client, request_id=request_id)
            await harness.wait_until(partial(is_last_job, harness, request_id))
            await harness.send_callback("done", request_id)
            assert (await harness.read_response(client)).body == request_id.encode()
            await trio.sleep(2.0 * REUSE_DELAY_SECONDS)  # the pool reuses no connection earlier
        _, job = harness.jobs[0]
        assert (job.start_line, job.body) == ("POST /lookup/0f HTTP/1.1", b"work")
        assert 0 < int(job.headers["request-timeout-ms"]) <= 3000
        assert harness.executor_connection_count <= 2


async def test_an_idempotency_key_is_sent_with_each_attempt_of_its_job() -> None:
    async with open_node_harness("reset") as harness:
        client = await harness.submit_job("keyed")
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        await harness.send_callback("done", "second")
        assert (await harness.read_response(client)).body == b"second"
        assert [job.headers["idempotency-key"] for _, job in harness.jobs] == ["key-a1", "key-a1"]
        client = await harness.submit_job("lookup", "a2")
        await harness.wait_until(lambda: len(harness.jobs) == 3)
        assert "idempotency-key" not in harness.jobs[-1][1].headers
        await harness.send_callback("done")
        assert (await harness.read_response(client)).status == 200


async def test_a_job_whose_connection_was_refused_is_retried() -> None:
    async with open_node_harness() as harness:
        addresses = dict(harness.addresses)
        harness.addresses["e0"] = "127.0.0.1:9"  # where nothing listens
        await harness.publish(2, e0="active", e1="left")
        await harness.wait_until(lambda: len(harness.discovery_paths) > 1)
        client = await harness.submit_job("once")
        await trio.sleep(0.05)
        harness.addresses.update(addresses)
        await harness.publish(3, e0="left", e1="active")
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback("done")
        assert (await harness.read_response(client)).status == 200


async def test_a_job_on_a_silent_connection_is_retried_elsewhere_in_time() -> None:
    async with open_node_harness("hang") as harness:
        client = await harness.submit_job(timeout_ms=2000)
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        # The silent connection is closed, which cancels the attempt that it carried.
        await harness.wait_until(lambda: harness.closed_by_node_count)
        await harness.send_callback("done", "fine")
        answer = await harness.read_response(client)
        assert (answer.status, answer.body) == (200, b"fine")


async def test_an_attempt_at_a_silent_executor_times_out_by_the_deadline() -> None:
    async with open_node_harness("hang") as harness:
        client = await harness.submit_job("once", timeout_ms=600)
        started_at = trio.current_time()
        assert (await harness.read_response(client)).status == 502
        assert trio.current_time() - started_at < 5.0
        await harness.wait_until(lambda: harness.closed_by_node_count)


@pytest.mark.parametrize("action", ["take", "hang"])
async def test_the_attempt_of_a_client_that_disconnects_is_cancelled(action: str) -> None:
    async with open_node_harness(action) as harness:
        client = await harness.submit_job()
        await harness.wait_until(lambda: harness.jobs)
        if action == "take":
            await harness.wait_until(lambda: not harness.components.attempts.in_flight)
        await client.socket_stream.aclose()
        await harness.wait_until(
            lambda: harness.cancelled_attempts if action == "take" else harness.closed_by_node_count
        )
        if action == "take":
            assert harness.cancelled_attempts == [(harness.jobs[0][0], "/jobs/a1")]


@pytest.mark.parametrize(
    ("fault", "is_cancelled"), [("none", True), ("refused", False), ("timed out", False), ("broken", False)]
)
async def test_an_attempt_ends_only_when_its_endpoint_confirms_the_cancellation(
    monkeypatch: pytest.MonkeyPatch, fault: str, *, is_cancelled: bool
) -> None:
    # Until then the attempt may run, so a retry elsewhere would be a hedged request, which the settings may
    # forbid. A refused connection confirms nothing: an executor refuses it, too, if all others are in use.
    async with open_node_harness() as harness:
        harness.open_clients.append(await harness.submit_job())
        await harness.wait_until(lambda: harness.jobs)
        runner = harness.components.attempts
        attempt = next(iter(harness.components.core.jobs)).attempts[0]
        await harness.wait_until(lambda: not runner.in_flight)

        async def call(*_: object, **__: object) -> None:
            if fault == "broken":
                raise BrokenResponseError(reason="reset")
            raise ConnectError(address="127.0.0.1:1", reason=fault)

        if fault != "none":
            monkeypatch.setattr(harness.components.pool, "call", call)
        runner.cancel_attempt(attempt)
        await harness.wait_until(lambda: not runner.open_cancel_calls)
        assert attempt.has_ended is is_cancelled
        assert attempt.outcome is (Outcome.CANCELLED if is_cancelled else None)
