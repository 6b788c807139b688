"""Tests real processes at the machine's limits: exhausted descriptors, and many simultaneous starts."""

from __future__ import annotations

import sys
import time
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import pytest
import trio

from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.node_process import NodeProcess, send_http_request
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import NodeHarness, open_node_harness

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from burlmoor.testbed.http_stream import HttpStream

NOTIFICATION_DEADLINE_SECONDS = 6.0
GRACE_SECONDS = 0.25


class IdleClients:
    """Clients that connect, may write the start of a request, and then write nothing more."""

    def __init__(self, harness: NodeHarness) -> None:
        self._harness = harness
        self._connections: list[HttpStream] = []  # held open

    async def connect(self, begun: bytes = b"") -> None:
        """Connect one more client, which writes these bytes."""
        with suppress(OSError):
            client = await self._harness.connect_client()
            with suppress(trio.BrokenResourceError):
                await client.socket_stream.send_all(begun)
            self._connections.append(client)

    async def keep_connecting(self, scope: trio.CancelScope) -> None:
        """Connect repeatedly until the scope is cancelled: clients whose connections were closed retry."""
        with scope:
            while True:
                await self.connect()
                await trio.sleep(0.01)


@asynccontextmanager
async def open_peers(*script: str, executor_count: int, max_seconds: float) -> AsyncIterator[NodeHarness]:
    """Open the peers of node processes that the test starts, for `max_seconds` at most."""
    with trio.fail_after(max_seconds):
        async with trio.open_nursery() as nursery:
            harness = NodeHarness(list(script), nursery)
            for number in range(executor_count):
                await harness.start_executor(f"e{number}")
            yield harness
            nursery.cancel_scope.cancel()


async def assert_served_by(harness: NodeHarness, endpoint_name: str, request_id: str) -> None:
    """Check that a job is sent to this endpoint, and answered."""
    job_count = len(harness.jobs)
    client = await harness.submit_job("once", request_id, 4000)
    await harness.wait_until(lambda: len(harness.jobs) > job_count)
    assert harness.jobs[-1][0] == endpoint_name
    assert await harness.send_callback("done", request_id) == 204
    assert (await harness.read_response(client)).body == request_id.encode()


async def fill_descriptors(harness: NodeHarness, descriptors: int, hanging: int) -> IdleClients:
    """Submit `hanging` jobs to executors that hang, then connect two idle clients for each descriptor."""
    for number in range(hanging):
        harness.open_clients.append(await harness.submit_job("once", f"h{number}", 5000))
    if hanging:
        await harness.wait_until(lambda: len(harness.jobs) >= 8)
    clients = IdleClients(harness)
    for number in range(2 * descriptors):
        await clients.connect((b"", b"POST /loo")[number % 2])
    return clients


async def assert_drain_noticed(harness: NodeHarness, discovery: DiscoveryService) -> None:
    """Check that the node is notified in time of an endpoint that drains once discovery recovers."""
    discovery.set_entry("e0", health="leaving")
    discovery.is_down = False
    recovered_at = trio.current_time()
    await harness.wait_until(lambda: any(health == "leaving" for *_, health in discovery.notifications))
    assert trio.current_time() - recovered_at < NOTIFICATION_DEADLINE_SECONDS + GRACE_SECONDS


@pytest.mark.parametrize(("descriptors", "hanging"), [(64, 0), (96, 0), (160, 0), (64, 60), (160, 160)])
async def test_a_draining_endpoint_is_noticed_while_clients_fill_the_descriptors(
    descriptors: int, hanging: int, tmp_path: Path
) -> None:
    # Jobs at executors that hang hold a connection in each direction, and those can't be evicted.
    executor_count = 16 if hanging else 2
    async with open_peers(*["hang"] * hanging, executor_count=executor_count, max_seconds=60.0) as harness:
        discovery = DiscoveryService(harness.nursery)
        address = await discovery.listen_for_node("n0", harness.addresses)
        for name in harness.addresses:
            discovery.set_entry(name)
        node = NodeProcess("n0", tmp_path)
        harness.address = node.address
        limited = f'ulimit -n {descriptors}; exec "$0" -m burlmoor'
        node.command = ["/bin/sh", "-c", limited, sys.executable]
        try:
            await node.start(harness.nursery, SETTINGS_OBJECT, address, discovery.full_list("n0"))
            discovery.is_down = True  # not earlier: a new process sends nothing before discovery has answered
            clients = await fill_descriptors(harness, descriptors, hanging)
            connecting = trio.CancelScope()
            harness.nursery.start_soon(clients.keep_connecting, connecting)
            await trio.sleep(0.5)
            # Admin calls are answered.
            assert (await send_http_request(node.admin_address, "GET", "/state")).status < 500
            await assert_drain_noticed(harness, discovery)
            # Clients are served, by the other endpoint, unless all connections that they may hold hang.
            for request_id in () if hanging else ("a1", "a2", "a3"):
                await assert_served_by(harness, "e1", request_id)
            connecting.cancel()
            assert await node.stop() == 0
        finally:
            await node.kill()


@pytest.mark.parametrize("descriptors", [64, 80, 128, 200, 1024])
async def test_the_connection_limits_fit_into_the_descriptors(descriptors: int) -> None:
    # 12 for admin calls; 12 for the standard streams, the event loop, two listening sockets, and a connection
    # that is being accepted.
    other_descriptors = 12 + 12
    async with open_node_harness(sockets=descriptors) as harness:
        node = harness.components
        connections = (
            node.server.connections.max_connections
            + node.pool.max_connections
            + node.discovery_pool.max_connections
        )
        assert connections + other_descriptors <= descriptors


class FaultyDiscovery:
    """A discovery service that never sends a list, in one of several ways."""

    def __init__(self, fault: str) -> None:
        self._fault = fault

    async def start(self, harness: NodeHarness) -> str:
        """Start the service; return its address."""
        return "127.0.0.1:9" if self._fault == "refuses" else await harness.listen(self._serve)

    async def _serve(self, connection: HttpStream) -> None:
        while await connection.read() is not None:
            if self._fault == "answers with no list":
                await connection.write("HTTP/1.1 200 OK", b'{"seq": "x"}')
            elif self._fault == "never ends its answer":
                await connection.socket_stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")


async def assert_rejected_unsent(harness: NodeHarness) -> None:
    """Check that a new process rejects its first job: its cached list may be of any age."""
    client = await harness.submit_job("once")
    assert (await harness.read_response(client)).status == 503
    assert not harness.jobs


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("fault", ["refuses", "is silent", "answers with no list", "never ends its answer"])
async def test_a_node_becomes_ready_whatever_discovery_does(mode: str, fault: str, tmp_path: Path) -> None:
    async with open_peers(executor_count=1, max_seconds=40.0) as harness:
        address = await FaultyDiscovery(fault).start(harness)
        node = NodeProcess("n0", tmp_path)
        began_at = time.monotonic()
        try:
            settings = {**SETTINGS_OBJECT, "RegistryMode": mode}
            known = harness.endpoint_list(1, e0="active")
            await node.start(harness.nursery, settings, address, known)
            assert time.monotonic() - began_at < 10.0
            harness.address = node.address
            await assert_rejected_unsent(harness)
        finally:
            await node.kill()


async def measure_start(
    node: NodeProcess, harness: NodeHarness, discovery: DiscoveryService, settings: dict[str, Any]
) -> float:
    """Start a node; return after how many seconds it is ready."""
    address = await discovery.listen_for_node(node.name, harness.addresses)
    began_at = trio.current_time()
    await node.start(harness.nursery, settings, address, discovery.full_list(node.name))
    return trio.current_time() - began_at


async def test_nine_in_ten_of_thirty_nodes_started_simultaneously_are_ready_within_ten_seconds(
    tmp_path: Path,
) -> None:
    settings = {**SETTINGS_OBJECT, "Balancers": 30}
    async with open_peers(executor_count=1, max_seconds=60.0) as harness:
        discovery = DiscoveryService(harness.nursery)
        nodes = [NodeProcess(f"n{number}", tmp_path / f"n{number}") for number in range(30)]
        for number, node in enumerate(nodes):
            # Each has its own address: of 60 ports of one address, other processes may take some meanwhile.
            host = f"127.0.9.{number + 1}"
            node.address, node.admin_address = (host, node.address[1]), (host, node.admin_address[1])
        discovery.set_entry("e0")
        seconds_to_ready: list[float] = []

        async def start(node: NodeProcess) -> None:
            seconds_to_ready.append(await measure_start(node, harness, discovery, settings))

        try:
            async with trio.open_nursery() as starting:
                for node in nodes:
                    starting.start_soon(start, node)
        finally:
            for node in nodes:
                await node.kill()
        assert sorted(seconds_to_ready)[26] < 10.0
