"""Connections of attempts whose outcome a call-back reports although their 202 never arrives."""

from __future__ import annotations

from functools import partial
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import trio

from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from tests.support.node_harness import NodeHarness

JOB_CLASSES = ("lookup", "keyed", "once")
LOST_RESPONSE_COUNT = 10_000
CLIENT_COUNT = 16
INVALID_RESPONSE = b"HTTP/1.1 no status\r\n\r\n"


async def submit_job_without_response(harness: NodeHarness, job_class: str, request_id: str) -> None:
    """Submit a job whose executor reports its result by a call-back, but does not answer the attempt."""
    client = await harness.submit_job(job_class, request_id)
    await harness.wait_until(lambda: harness.find_attempts(request_id))
    assert await harness.send_callback("done", "fine") == 204
    assert (await harness.read_response(client)).status == 200


# Guards against connections that stay counted as open for good, until the node rejects every job.
@pytest.mark.parametrize(
    ("job_class", "response"),
    [("lookup", None), ("keyed", None), ("lookup", b""), ("once", b""), ("once", INVALID_RESPONSE)],
    ids=["silent", "silent with key", "closed", "closed, non-idempotent", "invalid, non-idempotent"],
)
async def test_a_connection_that_breaks_after_the_call_back_is_closed(
    job_class: str, response: bytes | None
) -> None:
    async with open_node_harness("hang") as harness:
        await submit_job_without_response(harness, job_class, "a1")
        stream = harness.executor_connections[-1].socket_stream
        if response is not None:
            await (stream.send_all(response) if response else stream.aclose())
        await harness.wait_until(lambda: not harness.components.attempts.in_flight)
        assert harness.components.pool.open_count == 0


async def test_jobs_are_served_after_more_lost_responses_than_the_node_may_have_connections() -> None:
    max_connections = 9  # to executors, with 64 descriptors
    script = ["hang"] * (max_connections + 1)
    async with open_node_harness(*script, sockets=64) as harness:
        assert harness.components.pool.max_connections == max_connections
        for number in range(max_connections + 1):
            await submit_job_without_response(harness, "lookup", f"a{number}")
            await harness.wait_until(lambda: not harness.components.attempts.in_flight)
        client = await harness.submit_job("lookup", "last")
        await harness.wait_until(lambda: harness.find_attempts("last"))
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(client)).status == 200


# Guards against tasks and connections of non-idempotent jobs that wait for their 202 without end.
@pytest.mark.parametrize("state", ["done", "failed", "returned", "lost"])
@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
async def test_a_call_back_ends_the_wait_for_the_response(job_class: str, state: str) -> None:
    async with open_node_harness("hang") as harness:
        harness.open_clients.append(await harness.submit_job(job_class))
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback(state, job=0)
        with trio.fail_after(0.3):  # before the time limit of the response
            await harness.wait_until(lambda: harness.closed_by_node_count)


async def test_a_connection_is_reused_if_its_response_follows_the_call_back() -> None:
    async with open_node_harness("early") as harness:
        client = await harness.submit_job("once")
        assert (await harness.read_response(client)).status == 200
        await harness.wait_until(lambda: not harness.components.attempts.in_flight)
        await trio.sleep(0.2)
        assert harness.closed_by_node_count == 0
        assert harness.components.pool.open_count == 1


# Guards against attempts that stay open for good: nothing reports their outcome, nor may they be cancelled.
@pytest.mark.parametrize(("response", "connections"), [("hang", 0), ("take", 1)])
@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
async def test_an_attempt_ends_at_its_deadline_after_its_client_has_disconnected(
    job_class: str, response: str, connections: int
) -> None:
    limits = {**SETTINGS_OBJECT["Limits"], "Cancel": False}
    async with open_node_harness(response, given_settings={**SETTINGS_OBJECT, "Limits": limits}) as harness:
        core = harness.components.core
        client = await harness.submit_job(job_class, timeout_ms=1000)
        await harness.wait_until(lambda: harness.jobs)
        await client.socket_stream.aclose()
        await harness.wait_until(lambda: not core.jobs.count_open())
        await trio.sleep(1.2)
        assert core.jobs.ids() == []
        assert not harness.components.attempts.in_flight
        assert harness.components.pool.open_count == connections
        assert core.dispatcher._load.slots_in_flight == 0.0


def has_jobs(harness: NodeHarness, job_count: int) -> bool:
    """Return whether the executors have received this many jobs."""
    return len(harness.jobs) >= job_count


async def report_results(harness: NodeHarness) -> None:
    """Report the result of each job as soon as an executor has received it, until cancelled."""
    for number in count():
        await harness.wait_until(partial(has_jobs, harness, number + 1))
        harness.nursery.start_soon(harness.send_callback, "done", "fine", number)


async def submit_until_responses_are_lost(harness: NodeHarness, client_number: int) -> None:
    """Submit jobs on one connection, one at a time, until enough of them have reached an executor."""
    client = await harness.connect_client()
    for number in count(client_number, CLIENT_COUNT):
        await harness.send_job(client, JOB_CLASSES[number % len(JOB_CLASSES)], f"a{number}")
        await harness.read_response(client)
        if has_jobs(harness, LOST_RESPONSE_COUNT):
            break
    await client.socket_stream.aclose()


def count_descriptors() -> int:
    """Return how many descriptors this process has open."""
    return len(list(Path("/proc/self/fd").iterdir()))


# Guards against any remainder of a lost response: a connection, a descriptor, a task, a job or a slot.
async def test_ten_thousand_lost_responses_leave_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tests.support.node_harness._MAX_TEST_SECONDS", 300.0)
    # Each client may have some attempts more than the last one that is waited for.
    script = ["hang"] * (LOST_RESPONSE_COUNT + 10 * CLIENT_COUNT)
    async with open_node_harness(*script, sockets=512) as harness:
        await harness.wait_ready()
        components = harness.components
        descriptor_count = count_descriptors()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_results, harness)
            async with trio.open_nursery() as client_nursery:
                for client_number in range(CLIENT_COUNT):
                    client_nursery.start_soon(submit_until_responses_are_lost, harness, client_number)
            nursery.cancel_scope.cancel()
        await harness.wait_until(lambda: not (components.attempts.in_flight or components.core.jobs.ids()))
        assert components.pool.open_count == 0
        assert components.core.dispatcher._load.slots_in_flight == 0.0
        await harness.wait_until(lambda: count_descriptors() <= descriptor_count)
