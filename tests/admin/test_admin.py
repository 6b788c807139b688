"""The admin server and service over sockets: overrides of executors, drains, silent clients, restarts."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import pytest
import trio

from burlmoor.downstream.drain import DrainController, ServiceState
from burlmoor.testbed.http_stream import HttpStream
from burlmoor.types.endpoint_list import EndpointState, ListKind
from burlmoor.types.events import EndpointListUpdate
from tests.support.admin_client import call_admin, get_readiness_status, submit_and_finish_job
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from pathlib import Path


async def test_a_disabled_executor_gets_no_job_even_if_it_is_listed_again() -> None:
    async with open_node_harness() as harness:
        assert (await call_admin(harness, "/executors/disable", "nobody"))[0] == 404
        assert (await call_admin(harness, "/executors/enable", "nobody"))[0] == 404
        for _ in range(2):  # disabled twice, but enabled by a single request
            assert await call_admin(harness, "/executors/disable", "e0") == (
                200, {"ready": True, "state": "open", "drained": False, "out": ["e0"]},
            )  # fmt: skip
        listed: list[dict[str, Any]] = [{"e0": "active", "e1": "active"}, {"e1": "active"}]
        for seq, hosts in enumerate((*listed, listed[0]), start=2):
            await harness.publish(seq, **hosts)
            await harness.wait_until(lambda seq=seq: harness.components.directory.version == seq)  # type: ignore[misc]
            assert {await submit_and_finish_job(harness, f"{seq}-{number}") for number in range(4)} == {"e1"}
        assert (await call_admin(harness, "/executors/enable", "e0"))[1]["out"] == []
        assert harness.components.directory.find_live("e0") is not None


async def test_an_enabled_executor_counts_as_newly_started_even_if_the_list_is_stale() -> None:
    # It may have been restarted while it was disabled, and would fail under full load without slow start.
    async with open_node_harness() as harness:
        await harness.wait_ready()  # no endpoint is live before
        updates: list[EndpointListUpdate] = []
        on_endpoint_list = harness.components.core.policy.on_endpoint_list

        def record(kind: ListKind, entries: Any) -> None:
            updates.append(EndpointListUpdate(kind, list(entries)))
            on_endpoint_list(kind, updates[-1].entries)

        harness.components.core.policy.on_endpoint_list = record  # type: ignore[method-assign]
        before = harness.components.core.clock()
        await call_admin(harness, "/executors/disable", "e0")
        await call_admin(harness, "/executors/enable", "e0")
        disabled, enabled = (update.entries[0] for update in updates)
        assert (disabled.endpoint, disabled.state, disabled.started_at) == ("e0", EndpointState.DRAINING, 0.0)
        assert (enabled.endpoint, enabled.state) == ("e0", EndpointState.LIVE)
        assert enabled.started_at >= before
        await harness.publish(2, e0="active", e1="active")  # with the old start time
        await harness.wait_until(lambda: harness.components.directory.version == 2)
        assert updates[-1].entries[0].started_at == enabled.started_at


async def test_an_attempt_that_is_still_connecting_does_not_reach_a_disabled_executor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_node_harness() as harness:
        acquire = harness.components.pool.acquire
        disabled: list[str] = []

        async def disable_while_connecting(address: str) -> Any:
            connection = await acquire(address)
            if not disabled:
                disabled.append(next(name for name, dial in harness.addresses.items() if dial == address))
                assert (await call_admin(harness, "/executors/disable", disabled[0]))[0] == 200
            return connection

        monkeypatch.setattr(harness.components.pool, "acquire", disable_while_connecting)
        assert await submit_and_finish_job(harness, "a1") != disabled[0]


async def test_silent_and_incomplete_requests_do_not_delay_others() -> None:
    async with open_node_harness() as harness:
        assert harness.components.admin_server is not None
        await harness.wait_ready()
        silent = [
            HttpStream(await trio.open_tcp_stream(*harness.components.admin_server.address))
            for _ in range(40)
        ]
        for connection in silent[::2]:
            await connection.socket_stream.send_all(b"POST /executors/disable HTTP/1.1\r\nContent-Le")
        began = trio.current_time()
        assert (await call_admin(harness, "/ready", method="GET"))[0] == 200
        assert trio.current_time() - began < 1.0
        for connection in silent:
            await connection.read()  # closed, or answered that the request timed out
        assert trio.current_time() - began < 3.0
        assert harness.components.directory.overrides.disabled_since == {}


async def test_an_exception_in_a_request_ends_only_that_request(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    async with open_node_harness(lines=lines) as harness:
        assert harness.components.admin_server is not None
        await harness.wait_ready()
        with monkeypatch.context() as patch:
            patch.setattr(harness.components.drain, "begin_drain", lambda: 1 / 0)
            connection = HttpStream(await trio.open_tcp_stream(*harness.components.admin_server.address))
            await connection.write("POST /drain HTTP/1.1", Host="node")
            assert await connection.read() is None
        assert (await call_admin(harness, "/ready", method="GET"))[0] == 200
    assert "admin-connection-failed" in lines[-1]


async def test_a_forwarded_override_is_applied_and_an_unknown_one_ignored() -> None:
    async with open_node_harness() as harness:
        await harness.wait_ready()
        harness.components.admin.apply_forwarded_override("/executors/disable", "e0")
        before = harness.components.admin.overrides
        assert list(before.endpoints.disabled_since) == ["e0"]
        harness.components.admin.apply_forwarded_override("/of/a/later/release", "e1")
        assert harness.components.admin.overrides == before
        assert harness.components.directory.find_live("e1") is not None


async def test_a_drain_rejects_new_jobs_within_four_seconds_and_ends_at_once() -> None:
    async with open_node_harness() as harness:
        open_job = await harness.submit_job("once", "a1", 5000)
        idle = await harness.submit_job("once", "a2")
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        ids = [job.headers["request-id"] for _, job in harness.jobs]
        number = ids.index("a2")
        await harness.send_callback("started", job=1 - number)  # it runs, so it is not overdue
        await harness.send_callback("done", "fine", job=number)
        assert "connection" not in (await harness.read_response(idle)).headers
        for _ in range(2):  # a repeated drain changes nothing
            assert (await call_admin(harness, "/drain"))[1]["drained"] is True
        assert await get_readiness_status(harness) == 503
        assert (await call_admin(harness, "/ready", method="GET"))[0] == 503
        await harness.send_job(idle, "once", "a3")  # idle connections are served for a while
        await harness.wait_until(lambda: len(harness.jobs) == 3)
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(idle)).status == 200
        began = trio.current_time()
        assert await idle.read() is None  # closed while idle
        assert trio.current_time() - began < 3.0
        await harness.wait_until(lambda: harness.components.drain.state is ServiceState.REJECTING)
        assert (await harness.read_response(await harness.submit_job("once", "a4"))).status == 503
        await harness.send_callback("done", "fine", job=1 - number)  # call-backs are accepted throughout
        answer = await harness.read_response(open_job)
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert (await call_admin(harness, "/undrain"))[0] == 200
        assert await get_readiness_status(harness) == 200
        connection = await harness.submit_job("once", "a5")
        await harness.wait_until(lambda: len(harness.jobs) == 4)
        await harness.send_callback("done", "fine")
        assert "connection" not in (await harness.read_response(connection)).headers


async def test_a_drain_and_a_shutdown_share_one_service_state(autojump_clock: trio.testing.MockClock) -> None:
    states: list[ServiceState] = []
    drain = DrainController()
    drain.begin_drain()
    states.append(drain.state)
    await trio.sleep(1.0)
    states.append(drain.state)
    drain.end_drain()
    states.append(drain.state)
    drain.begin_drain()
    drain.begin_shutdown()
    await trio.sleep(1.0)
    drain.end_drain()  # does not end the shutdown
    states.append(drain.state)
    drain.begin_shutdown()
    for _ in range(2):
        await trio.sleep(1.0)
        states.append(drain.state)
    assert states == [
        ServiceState.UNREADY,
        ServiceState.CLOSING,
        ServiceState.ACCEPTING,
        ServiceState.UNREADY,
        ServiceState.CLOSING,
        ServiceState.REJECTING,
    ]


@pytest.mark.parametrize("is_corrupt", [False, True])
async def test_overrides_survive_a_restart_unless_their_file_is_corrupt(
    is_corrupt: bool, tmp_path: Path
) -> None:
    async with open_node_harness(state_folder=tmp_path) as harness:
        await call_admin(harness, "/executors/disable", "e0")
        await call_admin(harness, "/drain")
    (file,) = tmp_path.iterdir()
    if is_corrupt:
        file.write_bytes(file.read_bytes()[:-9])
    lines: list[str] = []
    async with open_node_harness(state_folder=tmp_path, lines=lines) as harness:
        # No endpoint is live before discovery has answered.
        await harness.wait_until(harness.components.discovery.first_contact.is_set)
        assert (harness.components.directory.find_live("e0") is None) is not is_corrupt
        assert harness.components.drain.is_drain_requested is not is_corrupt
    assert ("override-load-failed" in "".join(lines)) is is_corrupt


async def test_a_node_accepts_from_a_passed_listening_socket() -> None:
    lines: list[str] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with open_node_harness(listener_fd=listener.dup().detach(), lines=lines) as harness:
            harness.address = listener.getsockname()
            assert await get_readiness_status(harness) == 200
    assert "handover-unavailable" in lines[-1]  # without a state folder there is no handover channel
