"""Changes of the endpoint list, the discovery address and the configuration, over real sockets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import trio

from tests.support.configuration import write_config
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.upstream.connection import PooledConnection


async def test_no_job_is_sent_to_a_draining_endpoint() -> None:
    async with open_node_harness() as harness:
        await harness.publish(2, is_complete=False, e0="leaving")
        last = "/registry/instances?after=2&wait_ms=1000"
        await harness.wait_until(lambda: harness.discovery_paths[-1] == last)
        # The first call waits only 100 ms, since the node accepts no clients before its answer.
        assert harness.discovery_paths[0] == "/registry/instances?after=1&wait_ms=100"
        assert set(harness.discovery_paths[1:-1]) <= {"/registry/instances?after=1&wait_ms=1000"}
        clients = [await harness.submit_job("once", f"a{number}") for number in range(3)]
        await harness.wait_until(lambda: len(harness.jobs) == len(clients))
        assert {name for name, _ in harness.jobs} == {"e1"}


async def test_a_rejection_is_sent_at_once_with_retry_after() -> None:
    async with open_node_harness() as harness:
        await harness.publish(2, is_complete=False, e0="leaving", e1="leaving")
        await harness.wait_until(lambda: len(harness.discovery_paths) > 1)
        rejection = await harness.read_response(await harness.submit_job(timeout_ms=300))
        assert rejection.status == 503
        assert 0.0 < float(rejection.headers["retry-after"]) <= 1.0  # the maximum in the settings
        assert not harness.jobs


async def test_a_drain_during_the_connect_prevents_the_send(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_node_harness() as harness:
        acquire = harness.components.pool.acquire
        drained_addresses: list[str] = []

        async def drain_while_connecting(address: str) -> PooledConnection:
            connection = await acquire(address)
            if address in harness.addresses.values() and not drained_addresses:
                drained_addresses.append(address)
                name = next(name for name, listed in harness.addresses.items() if listed == address)
                calls = len(harness.discovery_paths)
                await harness.publish(2, is_complete=False, **{name: "leaving"})
                await harness.wait_until(lambda: len(harness.discovery_paths) > calls)
            return connection

        monkeypatch.setattr(harness.components.pool, "acquire", drain_while_connecting)
        client = await harness.submit_job("once")
        await harness.wait_until(lambda: harness.jobs)
        assert harness.addresses[harness.jobs[0][0]] != drained_addresses[0]
        await harness.send_callback("done")
        assert (await harness.read_response(client)).status == 200


async def test_discovery_is_called_again_after_each_failure() -> None:
    lines: list[str] = []
    async with open_node_harness(lines=lines) as harness:
        await harness.wait_until(lambda: harness.open_watches)
        await harness.open_watches.pop().socket_stream.aclose()
        await harness.wait_until(lambda: harness.open_watches)
        await harness.open_watches.pop().write("HTTP/1.1 503 Busy")
        await harness.wait_until(lambda: harness.open_watches)
        await harness.open_watches.pop().write("HTTP/1.1 200 OK", b"[]")
        await harness.publish(9, e1="active")
        await harness.wait_until(lambda: harness.components.directory.version == 9)
        assert harness.components.directory.find_live("e0") is None
    assert sum("discovery-failed" in line for line in lines) == 3


@pytest.mark.parametrize("phase", ["during a watch", "after failures"])
async def test_an_address_change_fetches_the_full_list_at_once(phase: str, tmp_path: Path) -> None:
    async with open_node_harness() as harness:
        await harness.publish(5, is_complete=False, e0="leaving")
        client = await harness.submit_job()
        await harness.wait_until(lambda: harness.jobs and harness.open_watches)
        if phase == "after failures":
            harness.components.discovery._schedule.failures = 9
            await harness.open_watches.pop().write("HTTP/1.1 503 Busy")
            await harness.wait_until(lambda: harness.components.discovery._schedule.failures == 10)
        old_watches = harness.open_watches
        harness.discovery_paths = []
        harness.open_watches = []
        new_address = await harness.start_discovery()
        cached = harness.endpoint_list(1, e0="active")  # older than the list that the node has
        moved = write_config(tmp_path, discovery=new_address, known=cached)
        for _ in range(2):  # the second reload has no effect
            harness.node.reload({**moved, "RELAY_DISCOVERY": "127.0.0.1:9"})
        started_at = trio.current_time()
        await harness.wait_until(lambda: harness.discovery_paths)
        assert harness.discovery_paths == ["/registry/instances"]
        assert trio.current_time() - started_at < 0.9  # the backoff after ten failures would be at least 1 s
        await harness.wait_until(lambda: set(old_watches) <= set(harness.closed_discovery_connections))
        # The new discovery may have lower versions, but a draining process must not become live again.
        await harness.publish(3, e0="active", e1="active")
        await harness.wait_until(lambda: len(harness.discovery_paths) > 1)
        assert harness.discovery_paths[1] == "/registry/instances?after=3&wait_ms=1000"
        assert harness.components.directory.find_live("e0") is None
        assert harness.components.directory.find_live("e1") is not None
        await harness.send_callback("done", "kept")
        assert (await harness.read_response(client)).body == b"kept"


@pytest.mark.parametrize("text", ["", "{", '{"settings": {}, "discovery": 7}', "[" * 100_000])
async def test_an_invalid_configuration_changes_nothing(text: str, tmp_path: Path) -> None:
    lines: list[str] = []
    async with open_node_harness(lines=lines) as harness:
        await harness.wait_until(lambda: lines)  # it has started
        invalid = tmp_path / "bad.json"
        invalid.write_text(text)
        harness.node.reload({"RELAY_CONFIG": str(invalid)})
        await harness.publish(9, e1="active")  # the watch continues
        await harness.wait_until(lambda: harness.components.directory.version == 9)
    assert [json.loads(line)["event"] for line in lines] == ["started", "reload-failed", "endpoints-draining"]
