"""Tests handovers between real processes of one node under load."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import pytest
import trio

from tests.support.admin_client import get_readiness_status, submit_and_finish_job
from tests.support.flooding_client import flooding
from tests.support.handover_harness import open_handover_harness

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.http_stream import HttpStream
    from tests.support.node_harness import NodeHarness
    from tests.support.service_process import ServiceProcess

GRACE_SECONDS = 3.0 + 0.7  # from SIGTERM to the earliest SIGKILL
LONG_TIMEOUT_MS = 20_000  # a client's timeout that outlasts the start of a process


async def assert_overrides_apply_at_both(old: ServiceProcess, new: ServiceProcess) -> None:
    """Assert that an override at either process applies at both; e0 was disabled before the handover."""
    assert (await new.call("/executors/disable", "e1")).status == 200
    assert (await old.call("/executors/enable", "e1")).status == 200
    assert msgspec.json.decode((await new.call("/ready")).body)["out"] == ["e0"]


async def assert_served(harness: NodeHarness, client: HttpStream, request_id: str) -> None:
    """Assert that a job sent on an open connection is answered."""
    job_count = len(harness.jobs)
    await harness.send_job(client, "once", request_id)
    await harness.wait_until(lambda: len(harness.jobs) == job_count + 1)
    await harness.send_callback("done", "fine")
    assert (await harness.read_response(client)).body == b"fine"


class RecentConnections(NamedTuple):
    """Connections that the old process accepted less than a second before the new one was ready."""

    partial: HttpStream  # has sent part of a request
    silent: HttpStream  # has sent nothing


async def open_recent_connections(harness: NodeHarness, new: ServiceProcess) -> RecentConnections:
    """Wait until the new process is ready, and return the connections that were opened shortly before.

    Connections are opened repeatedly because a request has 2.6 s to arrive, and a process takes longer to
    start on a busy machine.
    """
    opened: list[RecentConnections] = []

    async def open_repeatedly() -> None:
        while True:
            partial, silent = await harness.connect_client(), await harness.connect_client()
            await partial.socket_stream.send_all(b"POST /once/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: a3\r\n")
            opened.append(RecentConnections(partial, silent))
            await trio.sleep(0.2)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(open_repeatedly)
        await new.wait_ready()
        nursery.cancel_scope.cancel()
    return opened[-2]  # the new process may have accepted the last ones


async def test_handover_is_transparent_to_clients(tmp_path: Path) -> None:
    async with open_handover_harness(tmp_path) as harness:
        old = await harness.start_process()
        await old.wait_ready()
        used = await harness.submit_job("once", "a1")
        await harness.wait_until(lambda: harness.jobs)
        assert await harness.send_callback("done", "one") == 204
        assert (await harness.read_response(used)).body == b"one"
        waiting = await harness.submit_job("once", "a2", LONG_TIMEOUT_MS)
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        assert (await old.call("/executors/disable", "e0")).status == 200

        new = await harness.start_process()
        partial, silent = await open_recent_connections(harness, new)
        assert await get_readiness_status(harness) == 200
        assert (await old.call("/ready")).status == 503
        await assert_overrides_apply_at_both(old, new)

        # The job belongs to the old process; its call-back arrives at the new one.
        assert await harness.send_callback("started", job=1) == 204
        assert await harness.send_callback("done", "two", job=1) == 204
        answer = await harness.read_response(waiting)
        assert (answer.status, answer.body, answer.headers.get("connection")) == (200, b"two", None)
        later = await harness.submit_job("once", "a4")
        await harness.wait_until(lambda: len(harness.jobs) == 3)
        old.process.send_signal(signal.SIGTERM)
        rest = b"Request-Timeout-Ms: %d\r\nContent-Length: 0\r\n\r\n" % LONG_TIMEOUT_MS
        await partial.socket_stream.send_all(rest)
        await harness.wait_until(lambda: len(harness.jobs) == 4)
        assert {name for name, _ in harness.jobs[2:]} == {"e1"}
        for job in (2, 3):
            await harness.send_callback("done", "on", job=job)
        for client in (later, partial):
            assert (await harness.read_response(client)).body == b"on"
        with trio.fail_after(3.0):
            assert await old.process.wait() == 0
        # Every connection that was open is served by the new process.
        for number, client in enumerate((used, waiting, partial, silent, later)):
            await assert_served(harness, client, f"b{number}")
        await new.stop()


@pytest.mark.parametrize(("kind", "connection_count"), [("leaves", 60), ("fields", 700)])
async def test_a_handover_in_the_middle_of_a_flood_loses_no_job(
    tmp_path: Path, kind: str, connection_count: int
) -> None:
    # Guards against a process that parses the input of flooding clients in place of handing over.
    async with open_handover_harness(tmp_path) as harness:
        old = await harness.start_process()
        await old.wait_ready()
        async with flooding(harness, kind, connection_count):
            await trio.sleep(0.5)
            waiting = await harness.submit_job("once", "a1", LONG_TIMEOUT_MS)
            await harness.wait_until(lambda: harness.jobs)
            new = await harness.start_process()
            await new.wait_ready()
            old.process.send_signal(signal.SIGTERM)
            assert await harness.send_callback("done", "fine") == 204
            assert (await harness.read_response(waiting)).body == b"fine"
            later = await harness.submit_job("once", "a2", LONG_TIMEOUT_MS)
            await harness.wait_until(lambda: len(harness.jobs) == 2)
            assert await harness.send_callback("done", "later") == 204
            assert (await harness.read_response(later)).body == b"later"
            with trio.fail_after(GRACE_SECONDS):
                assert await old.process.wait() == 0


async def test_a_drained_node_keeps_its_open_job_across_two_handovers(
    tmp_path: Path,
) -> None:
    async with open_handover_harness(tmp_path) as harness:
        first = await harness.start_process()
        await first.wait_ready()
        client = await harness.submit_job("once", "a1", LONG_TIMEOUT_MS)
        await harness.wait_until(lambda: harness.jobs)
        second = await harness.start_process()
        await second.wait_ready()
        assert (await second.call("/drain")).status == 200
        third = await harness.start_process()
        # The third process is ready, so its predecessor may end; the node is still drained.
        await third.wait_ready()
        assert await get_readiness_status(harness) == 503
        # The result arrives at the third process, for a job of the first.
        assert await harness.send_callback("done", "far") == 204
        assert (await harness.read_response(client)).body == b"far"
        assert (await third.call("/undrain")).status == 200
        assert await get_readiness_status(harness) == 200
        for process in (first, second, third):
            await process.stop()


async def test_the_old_process_serves_after_its_successor_failed(tmp_path: Path) -> None:
    async with open_handover_harness(tmp_path) as harness:
        old = await harness.start_process()
        await old.wait_ready()
        broken = await harness.start_process(RELAY_LISTEN="nowhere")
        assert await broken.process.wait() == 2
        # The new process is killed after it took over: the old one accepts clients again.
        killed = await harness.start_process()
        await killed.wait_ready()
        killed.process.kill()
        await old.wait_ready()
        assert await submit_and_finish_job(harness, "a1") in ("e0", "e1")
        await old.stop()


async def test_a_successor_sends_no_jobs_on_an_expired_endpoint_list(
    tmp_path: Path,
) -> None:
    """Discovery stays silent for more than 6 s, before and after the handover, so the list expires."""
    async with open_handover_harness(tmp_path) as harness:
        old = await harness.start_process()
        await old.wait_ready()
        harness.is_discovery_silent = True
        await trio.sleep(8.0)
        new = await harness.start_process()
        await new.wait_ready()
        clients = [await harness.submit_job("once", f"a{number}", 1500) for number in range(5)]
        for client in clients:
            assert (await harness.read_response(client)).status == 503
        assert not harness.jobs
        await new.stop()


async def submit_and_leave(harness: NodeHarness, request_id: str) -> None:
    """Submit a job and disconnect once an executor has it."""
    client = await harness.submit_job("once", request_id)
    await harness.wait_until(lambda: harness.find_attempts(request_id))
    await client.socket_stream.aclose()


async def assert_id_refused(harness: NodeHarness, client: HttpStream, request_id: str) -> None:
    """Assert that a job with this id is answered with 400 and not sent."""
    attempts = harness.find_attempts(request_id)
    await harness.send_job(client, "once", request_id)
    assert (await harness.read_response(client)).status == 400
    assert harness.find_attempts(request_id) == attempts


async def test_an_id_is_sent_by_only_one_of_the_processes_of_a_handover(tmp_path: Path) -> None:
    # Guards against a second run of a job whose id comes again at the other process of an upgrade.
    async with open_handover_harness(tmp_path) as harness:
        old = await harness.start_process()
        await old.wait_ready()
        await submit_and_leave(harness, "before")
        harness.is_discovery_silent = True
        call_count = len(harness.discovery_paths)
        new = await harness.start_process()
        # It calls discovery once it has the old process's state; the old one serves until it is answered.
        await harness.wait_until(lambda: len(harness.discovery_paths) > call_count)
        await submit_and_leave(harness, "meanwhile")
        partial = await harness.connect_client()
        await partial.socket_stream.send_all(b"POST /once/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: a3\r\n")
        await harness.publish(4, e0="active", e1="active")
        await new.wait_ready()
        for request_id in ("before", "meanwhile"):
            await assert_id_refused(harness, await harness.connect_client(), request_id)
        # The job `a3`, whose request the old process has read in part, is admitted by the new one.
        await submit_and_leave(harness, "a3")
        await partial.socket_stream.send_all(b"Request-Timeout-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
        assert (await harness.read_response(partial)).status == 400
        assert len(harness.find_attempts("a3")) == 1
        await old.stop()
        await assert_id_refused(harness, await harness.connect_client(), "meanwhile")
        await new.stop()
