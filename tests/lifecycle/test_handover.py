"""A new process takes over from an old one under load: real processes of one node."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from tests.support.admin_client import get_readiness_status, serve_job
from tests.support.handover_harness import open_handover_harness

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.http_stream import HttpStream
    from tests.support.node_harness import NodeHarness
    from tests.support.service_process import ServiceProcess

PATIENT_MS = 20_000  # a client's timeout that the start of a process does not exhaust


async def assert_overrides_apply_at_both(old: ServiceProcess, new: ServiceProcess) -> None:
    """Assert that an override at either process applies at both; e0 was disabled before the handover."""
    assert (await new.call("/executors/disable", "e1")).status == 200
    assert (await old.call("/executors/enable", "e1")).status == 200
    assert msgspec.json.decode((await new.call("/ready")).body)["out"] == ["e0"]


async def assert_served(harness: NodeHarness, client: HttpStream, request_id: str) -> None:
    """Assert that a job that is sent on an open connection is answered."""
    job_count = len(harness.jobs)
    await harness.send_job(client, "once", request_id)
    await harness.wait_until(lambda: len(harness.jobs) == job_count + 1)
    await harness.send_callback("done", "fine")
    assert (await harness.read_response(client)).body == b"fine"


class YoungConnections(NamedTuple):
    """Connections that the old process has accepted, less than a second before the new one is ready."""

    partial: HttpStream  # with part of a request
    silent: HttpStream  # without any


async def open_young_connections(harness: NodeHarness, new: ServiceProcess) -> YoungConnections:
    """Wait until the new process is ready, and return the connections that were opened shortly before.

    A request has 2.6 s to arrive; on a busy machine the start of a process takes longer.
    """
    opened: list[YoungConnections] = []

    async def open_repeatedly() -> None:
        while True:
            partial, silent = await harness.connect_client(), await harness.connect_client()
            await partial.socket_stream.send_all(b"POST /once/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: a3\r\n")
            opened.append(YoungConnections(partial, silent))
            await trio.sleep(0.2)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(open_repeatedly)
        await new.wait_ready()
        nursery.cancel_scope.cancel()
    return opened[-2]  # the last ones may be the new process's


async def test_a_new_process_takes_over_without_a_client_noticing(tmp_path: Path) -> None:
    async with open_handover_harness(tmp_path) as harness:
        old = await harness.start_process()
        await old.wait_ready()
        used = await harness.submit_job("once", "a1")
        await harness.wait_until(lambda: harness.jobs)
        assert await harness.send_callback("done", "one") == 204
        assert (await harness.read_response(used)).body == b"one"
        waiting = await harness.submit_job("once", "a2", PATIENT_MS)
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        assert (await old.call("/executors/disable", "e0")).status == 200

        new = await harness.start_process()
        partial, silent = await open_young_connections(harness, new)
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
        rest = b"Request-Timeout-Ms: %d\r\nContent-Length: 0\r\n\r\n" % PATIENT_MS
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


async def test_a_drained_node_is_upgraded_twice_while_the_first_process_still_has_a_job(
    tmp_path: Path,
) -> None:
    async with open_handover_harness(tmp_path) as harness:
        first = await harness.start_process()
        await first.wait_ready()
        client = await harness.submit_job("once", "a1", PATIENT_MS)
        await harness.wait_until(lambda: harness.jobs)
        second = await harness.start_process()
        await second.wait_ready()
        assert (await second.call("/drain")).status == 200
        third = await harness.start_process()
        # This process is ready, and its predecessor may end; the node is still drained.
        await third.wait_ready()
        assert await get_readiness_status(harness) == 503
        # The result arrives at the third process, for a job of the first.
        assert await harness.send_callback("done", "far") == 204
        assert (await harness.read_response(client)).body == b"far"
        assert (await third.call("/undrain")).status == 200
        assert await get_readiness_status(harness) == 200
        for process in (first, second, third):
            await process.stop()


async def test_a_new_process_that_fails_changes_nothing(tmp_path: Path) -> None:
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
        assert await serve_job(harness, "a1") in ("e0", "e1")
        await old.stop()


async def test_a_new_process_sends_nothing_on_a_list_that_its_predecessor_may_not_use_any_more(
    tmp_path: Path,
) -> None:
    """Discovery is silent for longer than 6 s, before and after the handover."""
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
