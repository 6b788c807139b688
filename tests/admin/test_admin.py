"""The operators' address: calls, silent callers, executors out by hand, and drains."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import pytest
import trio

from burlmoor.admin.server import AdminConnection, AdminRequest, AdminResponse
from burlmoor.downstream.drain import DrainController, ServiceState
from burlmoor.testbed.http_wire import Wire
from burlmoor.types.endpoint_list import EndpointState, ListKind
from burlmoor.types.events import EndpointListUpdate
from tests.support.node_harness import NodeHarness, run_scenario


@pytest.mark.parametrize(
    ("said", "got"),
    [
        (b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", AdminRequest("/ready")),
        (b"POST /drain HTTP/1.1\r\nHost: a\r\n\r\n", AdminRequest("/drain")),
        (b"GET /drain HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"POST /ready HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"\x00\r\n\r\n", 400),
        (b"POST /drain HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000, 413),
        (b"GET /" + b"x" * 9000, 431),
        (b"GET /ready HTTP/1.1\r\nHo", None),
    ],
)
def test_what_a_call_asks_for(said: bytes, got: AdminRequest | int | None) -> None:
    for size in (1, 50, len(said)):
        http, asked = AdminConnection(), None
        for start in range(0, len(said), size):
            asked = http.receive(said[start : start + size])
            if asked is not None:
                break
        assert (asked.status if isinstance(asked, AdminResponse) else asked) == got
        if isinstance(asked, AdminResponse):
            assert f"HTTP/1.1 {got} ".encode() in http.encode_response(asked)


@pytest.mark.parametrize(
    ("body", "name"),
    [
        (b'{"name":"e0"}', "e0"),
        (b'{"name":"e0","why":1}', "e0"),
        (b"", None),
        (b"{", None),
        (b'{"name":7}', None),
        (b'{"id":"e0"}', None),
        (b'{"name":"\xff"}', None),
        (b"[" * 3000, None),
    ],
)
def test_an_executor_is_named_by_a_json_object(body: bytes, name: str | None) -> None:
    head = b"POST /executors/disable HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body)
    asked = AdminConnection().receive(head + body)
    if name is None:
        assert isinstance(asked, AdminResponse)
        assert asked.status == 400
    else:
        assert asked == AdminRequest("/executors/disable", name)


async def call(
    made: NodeHarness, path: str, name: str = "", method: str = "POST"
) -> tuple[int, dict[str, Any]]:
    assert made.node.admin_server is not None
    wire = Wire(await trio.open_tcp_stream(*made.node.admin_server.address))
    body = json.dumps({"name": name}).encode() if name else b""
    await wire.write(f"{method} {path} HTTP/1.1", body, Host="node")
    answer = await made.read_response(wire)
    assert await wire.read() is None
    return answer.status, json.loads(answer.body)


async def serve(made: NodeHarness, ref: str, name: str = "once") -> str:
    """Have one job served; the executor that it went to."""
    jobs = len(made.jobs)
    wire = await made.submit_job(name, ref)
    await made.wait_until(lambda: len(made.jobs) > jobs)
    await made.send_callback("done", "fine")
    assert (await made.read_response(wire)).status == 200
    return made.jobs[-1][0]


def test_an_executor_out_by_hand_gets_nothing_whatever_is_listed() -> None:
    async def story(made: NodeHarness) -> None:
        assert (await call(made, "/executors/disable", "nobody"))[0] == 404
        assert (await call(made, "/executors/enable", "nobody"))[0] == 404
        for _ in range(2):  # two calls out need one call back
            assert await call(made, "/executors/disable", "e0") == (
                200, {"ready": True, "state": "open", "drained": False, "out": ["e0"]},
            )  # fmt: skip
        seq = 1
        listed: list[dict[str, Any]] = [{"e0": "active", "e1": "active"}, {"e1": "active"}]
        for hosts in (*listed, listed[0]):
            seq += 1
            await made.publish(seq, **hosts)
            await made.wait_until(lambda seq=seq: made.node.directory.version == seq)  # type: ignore[misc]
            assert {await serve(made, f"{seq}-{ref}") for ref in range(4)} == {"e1"}
        assert (await call(made, "/executors/enable", "e0"))[1]["out"] == []
        assert made.node.directory.find_live("e0") is not None

    run_scenario(story)


def test_an_executor_put_back_counts_as_newly_started_even_where_the_list_lags() -> None:
    # Guards rule 4: it was restarted while it was out, and full load would push it over.
    async def story(made: NodeHarness) -> None:
        told: list[EndpointListUpdate] = []
        listed = made.node.engine.on_endpoint_list

        def listen(form: ListKind, entries: Any) -> None:
            told.append(EndpointListUpdate(form, list(entries)))
            listed(form, told[-1].entries)

        made.node.engine.on_endpoint_list = listen  # type: ignore[method-assign]
        before = made.node.engine.clock()
        await call(made, "/executors/disable", "e0")
        await call(made, "/executors/enable", "e0")
        out, back = (each.entries[0] for each in told)
        assert (out.endpoint, out.state, out.started_at) == ("e0", EndpointState.DRAINING, 0.0)
        assert (back.endpoint, back.state) == ("e0", EndpointState.LIVE)
        assert back.started_at >= before
        await made.publish(2, e0="active", e1="active")  # with the old start
        await made.wait_until(lambda: made.node.directory.version == 2)
        assert told[-1].entries[0].started_at == back.started_at

    run_scenario(story)


def test_a_forward_that_is_still_connecting_does_not_reach_an_executor_taken_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(made: NodeHarness) -> None:
        take = made.node.pool.acquire
        out: list[str] = []

        async def slow(dial: str) -> Any:
            link = await take(dial)
            if not out:
                out.append(next(name for name, at in made.addresses.items() if at == dial))
                assert (await call(made, "/executors/disable", out[0]))[0] == 200
            return link

        monkeypatch.setattr(made.node.pool, "acquire", slow)
        assert await serve(made, "a1") != out[0]

    run_scenario(story)


def test_callers_that_say_nothing_or_half_a_call_hold_up_nobody() -> None:
    async def story(made: NodeHarness) -> None:
        assert made.node.admin_server is not None
        silent = [Wire(await trio.open_tcp_stream(*made.node.admin_server.address)) for _ in range(40)]
        for wire in silent[::2]:
            await wire.stream.send_all(b"POST /executors/disable HTTP/1.1\r\nContent-Le")
        began = trio.current_time()
        assert (await call(made, "/ready", method="GET"))[0] == 200
        assert trio.current_time() - began < 1.0
        for wire in silent:
            await wire.read()  # ended, or told that the call did not come in time
        assert trio.current_time() - began < 3.0
        assert made.node.directory.overrides.disabled_since == {}

    run_scenario(story)


def test_a_fault_in_a_call_ends_only_that(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(made: NodeHarness) -> None:
        assert made.node.admin_server is not None
        with monkeypatch.context() as patch:
            patch.setattr(made.node.drain, "begin_drain", lambda: 1 / 0)
            wire = Wire(await trio.open_tcp_stream(*made.node.admin_server.address))
            await wire.write("POST /drain HTTP/1.1", Host="node")
            assert await wire.read() is None
        assert (await call(made, "/ready", method="GET"))[0] == 200

    lines: list[str] = []
    run_scenario(story, lines=lines)
    assert "admin-connection-failed" in lines[-1]


async def ready(made: NodeHarness) -> int:
    wire = await made.connect_client()
    await wire.write("GET /health/ready HTTP/1.1", Host="node")
    return (await made.read_response(wire)).status


def test_a_drain_sends_clients_away_within_four_seconds_and_ends_at_once() -> None:
    async def story(made: NodeHarness) -> None:
        kept = await made.submit_job("once", "a1", 5000)
        idle = await made.submit_job("once", "a2")
        await made.wait_until(lambda: len(made.jobs) == 2)
        number = next(n for n, (_, job) in enumerate(made.jobs) if job.headers["request-id"] == "a2")
        await made.send_callback("started", job=1 - number)  # it runs; nothing is learnt of long waits
        await made.send_callback("done", "fine", job=number)
        assert "connection" not in (await made.read_response(idle)).headers
        for _ in range(2):  # twice changes nothing
            assert (await call(made, "/drain"))[1]["drained"] is True
        assert await ready(made) == 503
        assert (await call(made, "/ready", method="GET"))[0] == 503
        await made.send_job(idle, "once", "a3")  # kept connections are served for a while
        await made.wait_until(lambda: len(made.jobs) == 3)
        await made.send_callback("done", "fine")
        assert (await made.read_response(idle)).status == 200
        began = trio.current_time()
        assert await idle.read() is None  # ended while it lay idle
        assert trio.current_time() - began < 3.0
        await made.wait_until(lambda: made.node.drain.state is ServiceState.REJECTING)
        assert (await made.read_response(await made.submit_job("once", "a4"))).status == 503
        await made.send_callback("done", "fine", job=1 - number)  # it listens for call-backs all the while
        answer = await made.read_response(kept)
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert (await call(made, "/undrain"))[0] == 200
        assert await ready(made) == 200
        wire = await made.submit_job("once", "a5")
        await made.wait_until(lambda: len(made.jobs) == 4)
        await made.send_callback("done", "fine")
        assert "connection" not in (await made.read_response(wire)).headers

    run_scenario(story)


def test_a_drain_and_a_stop_move_one_state(autojump_clock: trio.testing.MockClock) -> None:
    async def story() -> None:
        service = DrainController()
        service.begin_drain()
        seen.append(service.state)
        await trio.sleep(1.0)
        seen.append(service.state)
        service.end_drain()
        seen.append(service.state)
        service.begin_drain()
        service.begin_shutdown()
        await trio.sleep(1.0)
        service.end_drain()  # a stop is not ended by it
        seen.append(service.state)
        service.begin_shutdown()
        for _ in range(2):
            await trio.sleep(1.0)
            seen.append(service.state)

    seen: list[ServiceState] = []
    trio.run(story, clock=autojump_clock)
    assert seen == [
        ServiceState.UNREADY,
        ServiceState.CLOSING,
        ServiceState.ACCEPTING,
        ServiceState.UNREADY,
        ServiceState.CLOSING,
        ServiceState.REJECTING,
    ]


@pytest.mark.parametrize("spoilt", [False, True])
def test_what_was_set_by_hand_outlives_the_process(spoilt: bool, tmp_path: Path) -> None:
    async def first(made: NodeHarness) -> None:
        await call(made, "/executors/disable", "e0")
        await call(made, "/drain")

    async def second(made: NodeHarness) -> None:
        assert (made.node.directory.find_live("e0") is None) is not spoilt
        assert made.node.drain.is_drained is not spoilt

    run_scenario(first, state_folder=tmp_path)
    (kept,) = tmp_path.iterdir()
    if spoilt:
        kept.write_bytes(kept.read_bytes()[:-9])
    lines: list[str] = []
    run_scenario(second, state_folder=tmp_path, lines=lines)
    assert ("override-load-failed" in "".join(lines)) is spoilt


def test_a_node_accepts_from_a_socket_that_was_passed_on() -> None:
    with socket.create_server(("127.0.0.1", 0)) as held:

        async def story(made: NodeHarness) -> None:
            made.address = held.getsockname()
            assert await ready(made) == 200

        lines: list[str] = []
        run_scenario(story, listener_fd=held.dup().detach(), lines=lines)
        assert "handover-unavailable" in lines[-1]  # there is no folder for a link
