"""Stories over loopback sockets: a node between scripted executors, discovery and clients."""

from __future__ import annotations

import json
import socket
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
import trio

from burlmoor.downstream.drain import ServiceState
from burlmoor.testbed.http_stream import HttpMessage
from burlmoor.types.outcome import Outcome
from burlmoor.upstream.errors import BrokenResponseError, ConnectError
from burlmoor.upstream.pool import REUSE_DELAY_SECONDS
from tests.support.configuration import write_config
from tests.support.node_harness import NodeHarness, run_scenario


@pytest.mark.parametrize(
    ("name", "act", "status", "forwards"),
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
def test_what_an_executor_answers_decides_what_is_sent_again(
    name: str, act: str, status: int, forwards: int
) -> None:
    async def story(made: NodeHarness) -> HttpMessage:
        wire = await made.submit_job(name)
        await made.wait_until(lambda: len(made.jobs) == forwards)
        if status == 200 and act != "early":
            assert await made.send_callback("done", "result") in (200, 204)
        answer = await made.read_response(wire)
        assert len(made.jobs) == forwards
        return answer

    answer = run_scenario(story, act)
    assert answer.status == status
    if status == 200:
        assert answer.body == (b"early" if act == "early" else b"result")


@pytest.mark.parametrize(
    ("state", "status", "forwards"), [("failed", 502, 1), ("lost", 502, 1), ("returned", 200, 2)]
)
def test_call_backs_end_forwards_as_answers_do(state: str, status: int, forwards: int) -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job("once")
        await made.wait_until(lambda: len(made.jobs) == 1)
        for _ in range(2):  # each may come twice
            assert await made.send_callback("started", job=0) == 204
            assert await made.send_callback(state, job=0) == 204
        if forwards == 2:
            await made.wait_until(lambda: len(made.jobs) == 2)
            await made.send_callback("done", "second")
        assert (await made.read_response(wire)).status == status
        assert len(made.jobs) == forwards

    run_scenario(story)


def test_a_request_is_passed_on_unchanged_and_connections_are_reused() -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.connect_client()
        for ref in ("a1", "a2", "a3", "a4", "a5"):
            await made.send_job(wire, ref=ref)
            await made.wait_until(lambda ref=ref: made.jobs and made.jobs[-1][1].headers["request-id"] == ref)  # type: ignore[misc]
            await made.send_callback("done", ref)
            assert (await made.read_response(wire)).body == ref.encode()
            await trio.sleep(2.0 * REUSE_DELAY_SECONDS)  # a connection is not used again before
        _, job = made.jobs[0]
        assert (job.start_line, job.body) == ("POST /lookup/0f HTTP/1.1", b"work")
        assert 0 < int(job.headers["request-timeout-ms"]) <= 3000
        assert made.executor_connection_count <= 2

    run_scenario(story)


def test_a_key_goes_out_with_every_forward_of_its_job() -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job("keyed")
        await made.wait_until(lambda: len(made.jobs) == 2)
        await made.send_callback("done", "second")
        assert (await made.read_response(wire)).body == b"second"
        assert [job.headers["idempotency-key"] for _, job in made.jobs] == ["key-a1", "key-a1"]
        wire = await made.submit_job("lookup", "a2")
        await made.wait_until(lambda: len(made.jobs) == 3)
        assert "idempotency-key" not in made.jobs[-1][1].headers
        await made.send_callback("done")
        assert (await made.read_response(wire)).status == 200

    run_scenario(story, "reset")


def test_a_refused_connect_never_ran() -> None:
    async def story(made: NodeHarness) -> None:
        dials, made.addresses["e0"] = dict(made.addresses), "127.0.0.1:9"
        await made.publish(2, e0="active", e1="left")
        await made.wait_until(lambda: len(made.discovery_paths) > 1)
        wire = await made.submit_job("once")
        await trio.sleep(0.05)
        made.addresses.update(dials)
        await made.publish(3, e0="left", e1="active")
        await made.wait_until(lambda: made.jobs)
        await made.send_callback("done")
        assert (await made.read_response(wire)).status == 200

    run_scenario(story)


def test_an_idle_connection_that_its_peer_closed_is_not_written_to() -> None:
    async def story(made: NodeHarness) -> None:
        for ref in ("a1", "a2", "a3"):
            wire = await made.submit_job("once", ref)
            await made.wait_until(lambda ref=ref: made.jobs and made.jobs[-1][1].headers["request-id"] == ref)  # type: ignore[misc]
            await made.send_callback("done", "fine")
            assert (await made.read_response(wire)).status == 200
            for each in made.executor_connections:
                await each.socket_stream.aclose()

    run_scenario(story)


@pytest.mark.parametrize("act", ["take", "hang"])
def test_a_client_that_leaves_has_its_forward_given_up(act: str) -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job()
        await made.wait_until(lambda: made.jobs)
        if act == "take":
            await made.wait_until(lambda: not made.node.attempts.in_flight)
        await wire.socket_stream.aclose()
        await made.wait_until(
            lambda: made.cancelled_attempts if act == "take" else made.unanswered_connection_count
        )
        if act == "take":
            assert made.cancelled_attempts == [(made.jobs[0][0], "/jobs/a1")]

    run_scenario(story, act)


def test_a_kept_connection_that_broke_makes_others_be_kept_for_less_time() -> None:
    # Guards against peers that drop kept connections early and unseen: each lost the job written to it.
    async def story(made: NodeHarness) -> None:
        pool, dial = made.node.pool, made.addresses["e0"]
        first, second = await pool.acquire(dial), await pool.acquire(dial)
        for link in (first, second):
            pool.return_connection(link)
        await trio.sleep(0.05)
        again = await pool.acquire(dial)
        assert again is second
        assert not pool.is_reuse_risky
        pool.on_connection_broken(again)
        assert pool.is_reuse_risky
        assert await pool.acquire(dial) is not first

    run_scenario(story)


def test_a_job_on_a_connection_that_fell_silent_goes_elsewhere_in_time() -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job(ms=2000)
        await made.wait_until(lambda: len(made.jobs) == 2)
        await made.wait_until(
            lambda: made.unanswered_connection_count
        )  # the silent connection is closed, which gives up what it carried
        await made.send_callback("done", "fine")
        answer = await made.read_response(wire)
        assert (answer.status, answer.body) == (200, b"fine")

    run_scenario(story, "hang")


def test_a_silent_executor_is_given_up_by_the_deadline() -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job("once", ms=600)
        began = trio.current_time()
        assert (await made.read_response(wire)).status == 502
        assert trio.current_time() - began < 5.0
        await made.wait_until(lambda: made.unanswered_connection_count)

    run_scenario(story, "hang")


def test_nothing_goes_to_an_executor_that_drains() -> None:
    async def story(made: NodeHarness) -> None:
        await made.publish(2, False, e0="leaving")
        await made.wait_until(lambda: len(made.discovery_paths) > 1)
        assert made.discovery_paths[:2] == [f"/registry/instances?after={seq}&wait_ms=1000" for seq in (1, 2)]
        wires = [await made.submit_job("once", f"a{ref}") for ref in range(3)]
        await made.wait_until(lambda: len(made.jobs) == len(wires))
        assert {name for name, _ in made.jobs} == {"e1"}

    run_scenario(story)


def test_a_refusal_comes_at_once_and_says_when_to_come_back() -> None:
    async def story(made: NodeHarness) -> None:
        await made.publish(2, False, e0="leaving", e1="leaving")
        await made.wait_until(lambda: len(made.discovery_paths) > 1)
        refused = await made.read_response(await made.submit_job(ms=300))
        assert refused.status == 503
        assert 0.0 < float(refused.headers["retry-after"]) <= 1.0  # the most that the settings allow
        assert not made.jobs

    run_scenario(story)


def test_a_drain_told_while_connecting_stops_the_first_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(made: NodeHarness) -> None:
        take = made.node.pool.acquire
        told: list[str] = []

        async def slow(dial: str) -> Any:
            link = await take(dial)
            if dial in made.addresses.values() and not told:
                told.append(dial)
                name = next(name for name, at in made.addresses.items() if at == dial)
                asked = len(made.discovery_paths)
                await made.publish(2, False, **{name: "leaving"})
                await made.wait_until(lambda: len(made.discovery_paths) > asked)
            return link

        monkeypatch.setattr(made.node.pool, "acquire", slow)
        wire = await made.submit_job("once")
        await made.wait_until(lambda: made.jobs)
        assert made.addresses[made.jobs[0][0]] != told[0]
        await made.send_callback("done")
        assert (await made.read_response(wire)).status == 200

    run_scenario(story)


@pytest.mark.parametrize(
    ("fault", "given_up"), [("none", True), ("refused", True), ("timed out", False), ("broken", False)]
)
def test_a_forward_is_given_up_once_its_target_has_heard_or_is_gone(
    fault: str, given_up: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Elsewhere the job would be a second copy, where the settings bar those.
    async def story(made: NodeHarness) -> None:
        made.open_clients.append(await made.submit_job())
        await made.wait_until(lambda: made.jobs)
        core, forwards = made.node.engine, made.node.attempts
        forward = next(iter(core.jobs)).attempts[0]
        await made.wait_until(lambda: not forwards.in_flight)

        async def call(*_: object) -> None:
            if fault == "broken":
                raise BrokenResponseError("reset")
            raise ConnectError("127.0.0.1:1", fault, fault == "refused")

        if fault != "none":
            monkeypatch.setattr(made.node.pool, "call", call)
        forwards.cancel_attempt(forward)
        await made.wait_until(lambda: not forwards.pending_cancels)
        assert forward.is_over is given_up
        assert forward.outcome is (Outcome.CANCELLED if given_up else None)

    run_scenario(story)


def test_discovery_that_breaks_is_asked_again() -> None:
    async def story(made: NodeHarness) -> None:
        await made.wait_until(lambda: made.open_watches)
        await made.open_watches.pop().socket_stream.aclose()
        await made.wait_until(lambda: made.open_watches)
        await made.open_watches.pop().write("HTTP/1.1 503 Busy")
        await made.wait_until(lambda: made.open_watches)
        await made.open_watches.pop().write("HTTP/1.1 200 OK", b"[]")
        await made.publish(9, e1="active")
        await made.wait_until(lambda: made.node.directory.version == 9)
        assert made.node.directory.find_live("e0") is None

    lines: list[str] = []
    run_scenario(story, lines=lines)
    assert sum("discovery-failed" in line for line in lines) == 3


@pytest.mark.parametrize("waiting", ["for an answer", "after failures"])
def test_discovery_that_moves_is_asked_for_the_whole_list_at_once(waiting: str, tmp_path: Path) -> None:
    async def story(made: NodeHarness) -> None:
        await made.publish(5, False, e0="leaving")
        wire = await made.submit_job()
        await made.wait_until(lambda: made.jobs and made.open_watches)
        if waiting == "after failures":
            made.node.discovery._schedule.failures = 9
            await made.open_watches.pop().write("HTTP/1.1 503 Busy")
            await made.wait_until(lambda: made.node.discovery._schedule.failures == 10)
        old, made.discovery_paths, made.open_watches = made.open_watches, [], []
        told = await made.start_discovery()
        known = made.endpoint_list(1, e0="active")  # older than what has been told since
        moved = write_config(tmp_path, discovery=told, known=known)
        for _ in range(2):  # twice changes nothing
            made.node.reload({**moved, "RELAY_DISCOVERY": "127.0.0.1:9"})
        began = trio.current_time()
        await made.wait_until(lambda: made.discovery_paths)
        assert made.discovery_paths == ["/registry/instances"]
        assert trio.current_time() - began < 0.9  # a back-off after ten failures is a second at least
        await made.wait_until(lambda: set(old) <= set(made.closed_discovery_connections))
        # Its versions may be lower, but what drains does not come back without a new start.
        await made.publish(3, e0="active", e1="active")
        await made.wait_until(lambda: len(made.discovery_paths) > 1)
        assert made.discovery_paths[1] == "/registry/instances?after=3&wait_ms=1000"
        assert made.node.directory.find_live("e0") is None
        assert made.node.directory.find_live("e1") is not None
        await made.send_callback("done", "kept")
        assert (await made.read_response(wire)).body == b"kept"

    run_scenario(story)


@pytest.mark.parametrize("text", ["", "{", '{"settings": {}, "discovery": 7}', "[" * 100_000])
def test_a_configuration_that_cannot_be_meant_leaves_the_old_one(text: str, tmp_path: Path) -> None:
    async def story(made: NodeHarness) -> None:
        await made.wait_until(lambda: made.discovery_paths)
        bad = tmp_path / "bad.json"
        bad.write_text(text)
        made.node.reload({"RELAY_CONFIG": str(bad)})
        await made.publish(9, e1="active")  # the old watch goes on
        await made.wait_until(lambda: made.node.directory.version == 9)

    lines: list[str] = []
    run_scenario(story, lines=lines)
    assert [json.loads(line)["event"] for line in lines] == ["started", "reload-failed", "endpoints-draining"]


LONG = b"POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n"


def test_bad_bytes_end_their_own_connection_only() -> None:
    async def story(made: NodeHarness) -> None:
        good = await made.submit_job()
        for data in (b"\x00\r\n\r\n", LONG + b"x" * 4_000_000):
            wire = await made.connect_client()
            await wire.socket_stream.send_all(data)
            assert (await made.read_response(wire)).status in (400, 413)
            assert await wire.read() is None
        assert await made.send_callback_body(b"{") == 400
        await made.wait_until(lambda: made.jobs)
        await made.send_callback("done", "fine")
        assert (await made.read_response(good)).body == b"fine"

    run_scenario(story)


HEAD = LONG.replace(b"70000", b"60000000")


@pytest.mark.parametrize(
    ("said", "status"),
    [(b"", 0), (b"POST /lookup/0f HTT", 0), (LONG.replace(b"70000", b"9") + b"half", 0), (HEAD, 413)],
)
def test_bad_clients_get_an_error_or_a_close_in_time(said: bytes, status: int) -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.connect_client()
        began = trio.current_time()
        await wire.socket_stream.send_all(said)
        if status:
            # Its client reads only once all is written: nothing may be lost in a reset.
            for _ in range(60):
                await wire.socket_stream.send_all(b"x" * 1_000_000)
            assert (await made.read_response(wire)).status == status
        assert await wire.read() is None
        assert trio.current_time() - began < (6.0 if status else 3.0)

    run_scenario(story)


def test_a_health_check_or_a_bad_request_costs_its_connection() -> None:
    async def story(made: NodeHarness) -> None:
        for path, status in (("/health/ready", 200), ("/unknown", 404)):
            wire = await made.connect_client()
            await wire.write(f"GET {path} HTTP/1.1", Host="node")
            assert (await made.read_response(wire)).status == status
            assert await wire.read() is None

    run_scenario(story)


def test_a_silent_crowd_does_not_cost_usual_clients_their_connections() -> None:
    async def story(made: NodeHarness) -> None:
        usual = [await made.submit_job("once", f"a{number}") for number in range(3)]
        await made.wait_until(lambda: len(made.jobs) == 3)
        for job in range(3):
            await made.send_callback("done", "fine", job=job)
        for wire in usual:
            assert (await made.read_response(wire)).status == 200
        crowd = [await made.connect_client() for _ in range(100)]
        await made.wait_until(lambda: len(made.node.server.connections) > 40)
        for number, wire in enumerate(usual):
            await made.send_job(wire, "once", f"b{number}")
        await made.wait_until(lambda: len(made.jobs) == 6)
        assert len(crowd) == 100

    run_scenario(story, sockets=128)


def test_clients_that_leave_connections_lying_lose_the_oldest() -> None:
    async def story(made: NodeHarness) -> None:
        wires = []
        for number in range(30):
            wires.append(await made.submit_job("once", f"a{number}"))
            await made.wait_until(lambda jobs=number + 1: len(made.jobs) == jobs)  # type: ignore[misc]
            await made.send_callback("done", "fine")
            assert (await made.read_response(wires[-1])).status == 200
        await made.wait_until(lambda: len(made.node.server.connections) < 20)
        assert await wires[0].read() is None
        await made.send_job(wires[-1], "once", "b")
        await made.wait_until(lambda: len(made.jobs) == 31)

    run_scenario(story, sockets=128)


def test_more_connections_than_sockets_wait_their_turn() -> None:
    async def story(made: NodeHarness) -> None:
        idle = [await made.connect_client() for _ in range(80)]
        wire = await made.submit_job()
        await made.wait_until(lambda: made.jobs)
        await made.send_callback("done", "fine")
        assert (await made.read_response(wire)).body == b"fine"
        assert len(idle) == 80

    run_scenario(story, sockets=128)


def test_a_stopping_node_finishes_what_it_took() -> None:
    async def story(made: NodeHarness) -> None:
        first = await made.submit_job(ref="a1", ms=5000)
        idle = await made.connect_client()
        await made.wait_until(lambda: made.jobs)
        made.nursery.start_soon(made.node.shut_down)
        await made.wait_until(lambda: made.node.drain.is_shutting_down)
        ready = await made.connect_client()
        await ready.write("GET /health/ready HTTP/1.1", Host="node")
        assert (await made.read_response(ready)).status == 503
        await made.send_job(idle, ref="a2", ms=5000)  # clients keep the connections they have for a while
        await made.wait_until(lambda: len(made.jobs) == 2)
        for job in (0, 1):
            await made.send_callback("started", job=job)
        await made.wait_until(lambda: made.node.drain.state is ServiceState.REJECTING)
        late = await made.submit_job(ref="a3")
        assert (await made.read_response(late)).status == 503
        for job, wire in ((0, first), (1, idle)):
            # Guards against a call-back being closed on that is slow to write its first byte.
            await made.send_callback("done", "fine", job=job, pause=0.1)
            answer = await made.read_response(wire)
            assert (answer.status, answer.headers["connection"]) == (200, "close")
        await made.wait_until(lambda: made.has_node_ended)

    run_scenario(story)


def test_a_stopping_node_serves_on_until_its_clients_have_gone_elsewhere() -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job("once", "a1")
        made.nursery.start_soon(made.node.shut_down)
        await made.wait_until(lambda: made.node.engine.answer_by < float("inf"))
        for number in range(3):  # one connection carries them all
            await made.wait_until(lambda jobs=number + 1: len(made.jobs) == jobs)  # type: ignore[misc]
            await made.send_callback("done", "fine")
            answer = await made.read_response(wire)
            assert (answer.status, answer.headers.get("connection")) == (200, None)
            await made.send_job(wire, "once", f"b{number}", 5000)
        # The last one is never done: it is answered before the node may be killed.
        assert (await made.read_response(wire)).status == 502
        await made.wait_until(lambda: made.has_node_ended)

    began = time.monotonic()
    run_scenario(story)
    assert time.monotonic() - began < 4.5


def test_clients_that_wait_leave_room_for_call_backs() -> None:
    async def story(made: NodeHarness) -> None:
        wires = [await made.submit_job("once", f"a{number}", 900) for number in range(60)]
        answers = []

        async def collect(wire: Any) -> None:
            answers.append((await made.read_response(wire)).status)

        async with trio.open_nursery() as nursery:
            for wire in wires:
                nursery.start_soon(collect, wire)
            await made.wait_until(lambda: made.jobs)
            assert await made.send_callback("done", "fine") == 204
        assert answers.count(200) == 1
        assert len(answers) == len(wires)

    run_scenario(story, sockets=128)


def test_a_client_that_drips_its_request_makes_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("burlmoor.downstream.eviction._STALLED_EVICTION_SECONDS", 0.2)

    async def story(made: NodeHarness) -> None:
        slow = [await made.connect_client() for _ in range(44)]
        for wire in slow:
            await wire.socket_stream.send_all(b"POST /lookup/")
        served = await made.submit_job()
        await made.wait_until(lambda: made.jobs)
        assert await made.send_callback("done", "fine") == 204
        assert (await made.read_response(served)).status == 200

    run_scenario(story, sockets=128)


def test_a_slow_writer_among_a_crowd_that_never_ends_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against taking slow for silent: true clients take up to 2 s to write what they ask.
    monkeypatch.setattr("burlmoor.downstream.eviction._STALLED_EVICTION_SECONDS", 0.2)

    async def story(made: NodeHarness) -> None:
        stalled = [await made.connect_client() for _ in range(40)]
        for wire in stalled:
            await wire.socket_stream.send_all(b"POST /lookup/")
        slow = await made.connect_client()
        request = (
            b"POST /once/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: a1\r\n"
            b"Request-Timeout-Ms: 3000\r\nContent-Length: 4\r\n\r\nwork"
        )
        step = len(request) // 20 + 1
        crowd = []
        for start in range(0, len(request), step):
            await slow.socket_stream.send_all(request[start : start + step])
            await trio.sleep(0.11)
            crowd += [await made.connect_client() for _ in range(8)]
            for wire in crowd[-4:]:
                await wire.socket_stream.send_all(b"POST /lookup/")
        await made.wait_until(lambda: made.jobs)
        assert await made.send_callback("done", "fine") == 204
        assert (await made.read_response(slow)).body == b"fine"

    run_scenario(story, sockets=128)


def test_a_give_up_goes_out_again_where_its_connection_had_gone_stale(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The peer closes an idle connection while the DELETE is on its way: what it finds cannot tell.
    monkeypatch.setattr("burlmoor.transport.stream.SocketStream.is_idle_open", lambda _self: True)

    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job()
        await made.wait_until(lambda: made.jobs and not made.node.attempts.in_flight)
        for each in made.executor_connections:
            await each.socket_stream.aclose()
        await wire.socket_stream.aclose()
        await made.wait_until(lambda: made.cancelled_attempts)

    run_scenario(story)


def test_a_stopping_node_does_not_cut_off_a_slow_reader() -> None:
    async def story(made: NodeHarness) -> None:
        made.node.server._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        wire = await made.connect_client(receive_buffer=4096)
        await made.send_job(wire)
        await made.wait_until(lambda: made.jobs)
        made.nursery.start_soon(made.node.shut_down)
        await made.wait_until(lambda: made.node.drain.is_shutting_down)
        await made.send_callback("done", "x" * 60_000)
        assert made.node.server.has_unsent
        with trio.move_on_after(1.0):
            await made.wait_until(lambda: made.has_node_ended)
        assert len((await made.read_response(wire)).body) == 60_000
        await made.wait_until(lambda: made.has_node_ended)

    run_scenario(story)


@pytest.mark.parametrize(
    "place", ["callbacks.handle_callback", "server.DownstreamConnection.serve_without_task"]
)
def test_a_fault_on_one_connection_ends_only_that(place: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(made: NodeHarness) -> None:
        wire = await made.submit_job("once")
        await made.wait_until(lambda: made.jobs)
        with monkeypatch.context() as patch:
            patch.setattr(f"burlmoor.downstream.{place}", lambda *_: 1 / 0)
            broken = await made.connect_client()
            with suppress(trio.BrokenResourceError):
                await broken.write("POST /v1/job-events HTTP/1.1", b"{}", Host="node")
            assert await broken.read() is None
        await made.send_callback("done", "fine")
        assert (await made.read_response(wire)).body == b"fine"

    run_scenario(story)
