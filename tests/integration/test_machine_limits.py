"""Real processes at the machine's limits: descriptors that run out, and many that start at once."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.node_process import NodeProcess, send_http_request
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import NodeHarness, run_scenario

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from burlmoor.testbed.http_stream import HttpStream

NOTIFICATION_DEADLINE_SECONDS = 6.0
GRACE_SECONDS = 0.25


class IdleClients:
    """Clients that connect, perhaps begin a request, and then write nothing more."""

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

    async def keep_connecting(self) -> None:
        """Connect again and again: clients whose connections were closed come back."""
        while True:
            await self.connect()
            await trio.sleep(0.01)


async def assert_served_by(harness: NodeHarness, endpoint_name: str, request_id: str) -> None:
    """A job is sent to this endpoint, and answered."""
    job_count = len(harness.jobs)
    client = await harness.submit_job("once", request_id, 4000)
    await harness.wait_until(lambda: len(harness.jobs) > job_count)
    assert harness.jobs[-1][0] == endpoint_name
    assert await harness.send_callback("done", request_id) == 204
    assert (await harness.read_response(client)).body == request_id.encode()


@pytest.mark.parametrize(("descriptors", "hanging"), [(64, 0), (96, 0), (160, 0), (64, 60), (160, 160)])
def test_a_draining_endpoint_is_noticed_while_clients_fill_the_descriptors(
    descriptors: int, hanging: int, tmp_path: Path
) -> None:
    # Jobs at executors that hang hold a connection in each direction, and those can't be evicted.
    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            harness = NodeHarness(["hang"] * hanging, nursery)
            for name in [f"e{number}" for number in range(16 if hanging else 2)]:
                await harness.start_executor(name)
            discovery = DiscoveryService(nursery)
            address = await discovery.listen_for_node("n0", harness.addresses)
            for name in harness.addresses:
                discovery.set_entry(name)
            node = NodeProcess("n0", tmp_path)
            harness.address = node.address
            limited = f'ulimit -n {descriptors}; exec "$0" -m burlmoor'
            node.command = ["/bin/sh", "-c", limited, sys.executable]
            try:
                await node.start(nursery, SETTINGS_OBJECT, address, discovery.full_list("n0"))
                discovery.is_down = True  # only now: a new process sends nothing before discovery's answer
                for number in range(hanging):
                    harness.open_clients.append(await harness.submit_job("once", f"h{number}", 5000))
                if hanging:
                    await harness.wait_until(lambda: len(harness.jobs) >= 8)
                clients = IdleClients(harness)
                for number in range(2 * descriptors):
                    await clients.connect((b"", b"POST /loo")[number % 2])
                connecting = trio.CancelScope()

                async def keep_connecting() -> None:
                    with connecting:
                        await clients.keep_connecting()

                nursery.start_soon(keep_connecting)
                await trio.sleep(0.5)
                assert (
                    await send_http_request(node.admin_address, "GET", "/state")
                ).status < 500  # operators are answered
                discovery.set_entry("e0", health="leaving")
                discovery.is_down = False
                recovered_at = trio.current_time()
                await harness.wait_until(
                    lambda: any(health == "leaving" for *_, health in discovery.notifications)
                )
                assert trio.current_time() - recovered_at < NOTIFICATION_DEADLINE_SECONDS + GRACE_SECONDS
                # Clients are served, by the other endpoint, unless all connections that they may hold hang.
                for request_id in () if hanging else ("a1", "a2", "a3"):
                    await assert_served_by(harness, "e1", request_id)
                connecting.cancel()
                assert await node.stop() == 0
            finally:
                await node.kill()
            nursery.cancel_scope.cancel()

    run_within(scenario, 60.0)


@pytest.mark.parametrize("descriptors", [64, 80, 128, 200, 1024])
def test_the_connection_limits_fit_into_the_descriptors(descriptors: int) -> None:
    async def scenario(harness: NodeHarness) -> int:
        node = harness.components
        return node.server.max_connections + node.pool.max_connections + node.discovery_pool.max_connections

    # Operators' calls; standard streams, the event loop's own, two that listen, one being accepted.
    other_descriptors = 12 + 12
    assert run_scenario(scenario, sockets=descriptors) + other_descriptors <= descriptors


def run_within(scenario: Callable[[], Awaitable[None]], seconds: float) -> None:
    """Run a scenario that has to end within these seconds."""

    async def run() -> None:
        with trio.fail_after(seconds):
            await scenario()

    trio.run(run)


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("what", ["refuses", "is silent", "answers with no list", "never ends its answer"])
def test_a_node_becomes_ready_whatever_discovery_does(mode: str, what: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            harness = NodeHarness([], nursery)
            await harness.start_executor("e0")

            async def serve(connection: HttpStream) -> None:
                while await connection.read() is not None:
                    if what == "answers with no list":
                        await connection.write("HTTP/1.1 200 OK", b'{"seq": "x"}')
                    elif what == "never ends its answer":
                        await connection.socket_stream.send_all(
                            b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"
                        )

            address = "127.0.0.1:9" if what == "refuses" else await harness.listen(serve)
            node = NodeProcess("n0", tmp_path)
            began = time.monotonic()
            try:
                settings = {**SETTINGS_OBJECT, "RegistryMode": mode}
                await node.start(nursery, settings, address, harness.endpoint_list(1, e0="active"))
                assert time.monotonic() - began < 10.0
                harness.address = node.address
                client = await harness.submit_job("once")
                if mode == "ask":
                    # The list that the process was started with may be of any age, so nothing is sent on it.
                    assert (await harness.read_response(client)).status == 503
                    assert not harness.jobs
                else:
                    await harness.wait_until(lambda: harness.jobs)
                    await harness.send_callback("done", "served")
                    assert (await harness.read_response(client)).body == b"served"
            finally:
                await node.kill()
            nursery.cancel_scope.cancel()

    run_within(scenario, 40.0)


def test_nine_in_ten_of_thirty_nodes_started_at_once_are_ready_within_ten_seconds(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            harness = NodeHarness([], nursery)
            await harness.start_executor("e0")
            discovery = DiscoveryService(nursery)
            took: list[float] = []
            nodes = [NodeProcess(f"n{number}", tmp_path / f"n{number}") for number in range(30)]
            for number, node in enumerate(nodes):
                # Each at an address of its own: of 60 ports of one that were free, some are soon another's.
                here = f"127.0.9.{number + 1}"
                node.address, node.admin_address = (here, node.address[1]), (here, node.admin_address[1])

            async def start(node: NodeProcess) -> None:
                address = await discovery.listen_for_node(node.name, harness.addresses)
                began = trio.current_time()
                await node.start(
                    nursery, {**SETTINGS_OBJECT, "Balancers": 30}, address, discovery.full_list(node.name)
                )
                took.append(trio.current_time() - began)

            discovery.set_entry("e0")
            try:
                async with trio.open_nursery() as starting:
                    for node in nodes:
                        starting.start_soon(start, node)
            finally:
                for node in nodes:
                    await node.kill()
            assert sorted(took)[26] < 10.0
            nursery.cancel_scope.cancel()

    run_within(scenario, 60.0)
