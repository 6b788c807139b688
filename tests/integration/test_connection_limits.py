"""Which connections are closed and which clients are served when a node reaches its connection limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    import pytest

    from burlmoor.testbed.http_stream import HttpStream
    from tests.support.node_harness import NodeHarness


class AnswerCollector:
    """Collects the statuses of clients' answers."""

    def __init__(self, harness: NodeHarness) -> None:
        self._harness = harness
        self.statuses: list[int] = []

    async def read_from(self, client: HttpStream) -> None:
        self.statuses.append((await self._harness.read_response(client)).status)


async def test_silent_connections_do_not_displace_active_clients() -> None:
    async with open_node_harness(sockets=128) as harness:
        active = [await harness.submit_job("once", f"a{number}") for number in range(3)]
        await harness.wait_until(lambda: len(harness.jobs) == 3)
        for job in range(3):
            await harness.send_callback("done", "fine", job=job)
        for client in active:
            assert (await harness.read_response(client)).status == 200
        silent = [await harness.connect_client() for _ in range(100)]
        await harness.wait_until(lambda: len(harness.components.server.connections) > 40)
        for number, client in enumerate(active):
            await harness.send_job(client, "once", f"b{number}")
        await harness.wait_until(lambda: len(harness.jobs) == 6)
        assert len(silent) == 100


async def test_the_oldest_idle_connections_are_closed_at_the_limit() -> None:
    async with open_node_harness(sockets=128) as harness:
        clients = []
        for number in range(30):
            clients.append(await harness.submit_job("once", f"a{number}"))
            await harness.wait_until(lambda jobs=number + 1: len(harness.jobs) == jobs)  # type: ignore[misc]
            await harness.send_callback("done", "fine")
            assert (await harness.read_response(clients[-1])).status == 200
        await harness.wait_until(lambda: len(harness.components.server.connections) < 20)
        assert await clients[0].read() is None
        await harness.send_job(clients[-1], "once", "b")
        await harness.wait_until(lambda: len(harness.jobs) == 31)


async def test_a_client_is_served_while_idle_connections_exceed_the_limit() -> None:
    async with open_node_harness(sockets=128) as harness:
        idle = [await harness.connect_client() for _ in range(80)]
        client = await harness.submit_job()
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(client)).body == b"fine"
        assert len(idle) == 80


async def test_connections_are_reserved_for_callbacks_while_clients_wait() -> None:
    async with open_node_harness(sockets=128) as harness:
        clients = [await harness.submit_job("once", f"a{number}", 900) for number in range(60)]
        answers = AnswerCollector(harness)
        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(answers.read_from, client)
            await harness.wait_until(lambda: harness.jobs)
            assert await harness.send_callback("done", "fine") == 204
        assert answers.statuses.count(200) == 1
        assert len(answers.statuses) == len(clients)


async def test_connections_that_stall_within_a_request_are_closed_at_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("burlmoor.downstream.eviction._STALLED_EVICTION_SECONDS", 0.2)

    async with open_node_harness(sockets=128) as harness:
        slow = [await harness.connect_client() for _ in range(44)]
        for client in slow:
            await client.socket_stream.send_all(b"POST /lookup/")
        active = await harness.submit_job()
        await harness.wait_until(lambda: harness.jobs)
        assert await harness.send_callback("done", "fine") == 204
        assert (await harness.read_response(active)).status == 200


async def test_a_slow_client_among_stalled_ones_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    # Clients may take up to 2 s to write a request; a slow client must not be treated as a stalled one.
    monkeypatch.setattr("burlmoor.downstream.eviction._STALLED_EVICTION_SECONDS", 0.2)

    async with open_node_harness(sockets=128) as harness:
        stalled = [await harness.connect_client() for _ in range(40)]
        for client in stalled:
            await client.socket_stream.send_all(b"POST /lookup/")
        slow = await harness.connect_client()
        request = (
            b"POST /once/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: a1\r\n"
            b"Request-Timeout-Ms: 3000\r\nContent-Length: 4\r\n\r\nwork"
        )
        step = len(request) // 20 + 1
        for start in range(0, len(request), step):
            await slow.socket_stream.send_all(request[start : start + step])
            await trio.sleep(0.11)
            stalled += [await harness.connect_client() for _ in range(8)]
            for client in stalled[-4:]:
                await client.socket_stream.send_all(b"POST /lookup/")
        await harness.wait_until(lambda: harness.jobs)
        assert await harness.send_callback("done", "fine") == 204
        assert (await harness.read_response(slow)).body == b"fine"
