"""Jobs that wait, over sockets: the headers, one connection's two requests, leaving, stops, caps, options."""

from __future__ import annotations

import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio

from burlmoor.config.options import DeferredOptions, Options
from burlmoor.testbed.http_stream import HttpStream
from burlmoor.testbed.node_process import send_http_request
from tests.support import node_harness
from tests.support.configuration import write_config
from tests.support.node_harness import NodeHarness


def play(story: Callable[[NodeHarness], Awaitable[Any]], sockets: int = 1024, **given: Any) -> Any:
    options = Options(waiting=DeferredOptions(**{"unknown_timeout_ms": 300.0, **given}))
    return node_harness.run_scenario(story, options=options, sockets=sockets)


async def ask(
    made: NodeHarness, ref: str, *after: str, wire: HttpStream | None = None, **head: str
) -> HttpStream:
    """Submit a job that is to run after others."""
    wire = wire or await made.connect_client()
    made.open_clients.append(wire)
    fields = {"Host": "svc", "Request_Id": ref, "Request_Timeout_Ms": "8000", "Work_Hint": "90000", **head}
    if after:
        fields["Run_After"] = ", ".join(after)
    await wire.write(f"POST /{head.pop('name', 'once')}/0f HTTP/1.1", b"work", **fields)
    return wire


async def sent(made: NodeHarness, *refs: str) -> None:
    """Wait until executors have got exactly these jobs."""
    await made.wait_until(lambda: len(made.jobs) >= len(refs))
    assert [message.headers["request-id"] for _, message in made.jobs] == list(refs)


async def shown(made: NodeHarness) -> dict[str, Any]:
    assert made.node.admin_server is not None
    answer = await send_http_request(made.node.admin_server.address, "GET", "/waiting")
    assert answer.status == 200
    told: dict[str, Any] = json.loads(answer.body)
    return told


async def held(made: NodeHarness, count: int) -> None:
    """Wait until so many jobs wait."""
    with trio.fail_after(10.0):
        while (await shown(made))["waiting"] != count:
            await trio.sleep(0.02)


def test_a_job_is_passed_on_after_its_parent_and_its_conditions_are_not() -> None:
    async def story(made: NodeHarness) -> None:
        parent, child = await ask(made, "p"), await ask(made, "c", "p")
        await sent(made, "p")
        await held(made, 1)
        told = await shown(made)
        assert (told["by_class"]["once"]["waiting"], told["by_reason"]) == (1, {"jobs": 1})
        await made.send_callback("done", "parent")
        assert (await made.read_response(parent)).body == b"parent"
        await sent(made, "p", "c")
        assert not {"run-after", "not-before"} & set(made.jobs[-1][1].headers)
        await made.send_callback("done", "child")
        assert (await made.read_response(child)).body == b"child"
        await held(made, 0)

    play(story)


def test_without_the_section_the_headers_are_as_any_others() -> None:
    async def story(made: NodeHarness) -> None:
        wire = await ask(made, "c", "p", Not_Before="never")
        await made.wait_until(lambda: made.jobs)
        await made.send_callback("done", "at once")
        assert (await made.read_response(wire)).body == b"at once"
        assert made.node.admin_server is not None
        assert (await send_http_request(made.node.admin_server.address, "GET", "/waiting")).status == 404

    node_harness.run_scenario(story)


@pytest.mark.parametrize("how", ["failed", "lost", "leaves"])
def test_a_parent_that_was_not_served_ends_its_children_at_once(how: str) -> None:
    async def story(made: NodeHarness) -> None:
        parent, child = await ask(made, "p"), await ask(made, "c", "p")
        grandchild = await ask(made, "g", "c")
        await held(made, 2)
        await sent(made, "p")
        if how == "leaves":
            await parent.socket_stream.aclose()
        else:
            await made.send_callback(how)
        for wire in (child, grandchild):
            answer = await made.read_response(wire)
            assert answer.status == 424
            assert b"not served" in answer.body
        late = await made.read_response(await ask(made, "late", "p"))
        assert late.status == 424
        await sent(made, "p")

    play(story)


def test_an_unknown_name_is_waited_for_and_then_refused() -> None:
    async def story(made: NodeHarness) -> None:
        refused = await made.read_response(await ask(made, "c", "nobody"))
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0.0
        assert not made.jobs

    play(story)


def test_parent_and_child_are_one_connections_two_requests() -> None:
    async def story(made: NodeHarness) -> None:
        wire = await ask(made, "p")
        await ask(made, "c", "p", wire=wire)  # written before the parent's answer
        await sent(made, "p")
        await made.send_callback("done", "one")
        assert (await made.read_response(wire)).body == b"one"
        await sent(made, "p", "c")
        await made.send_callback("done", "two")
        assert (await made.read_response(wire)).body == b"two"
        # The other way round the parent is not read before the child's answer: that must come to an end.
        await ask(made, "c2", "p2", wire=wire)
        await ask(made, "p2", wire=wire)
        assert (await made.read_response(wire)).status == 503
        await sent(made, "p", "c", "p2")

    play(story)


@pytest.mark.parametrize(
    "head", [{"Run_After": "c"}, {"Run_After": "a b"}, {"Run_After": ","}, {"Not_Before": "soon"}]
)
def test_conditions_that_cannot_be_meant_get_one_line(head: dict[str, str]) -> None:
    async def story(made: NodeHarness) -> None:
        answer = await made.read_response(await ask(made, "c", wire=None, **head))
        assert answer.status == 400
        assert next(iter(head)).replace("_", "-").encode() in answer.body
        assert len(answer.body.splitlines()) == 1
        assert not made.jobs

    play(story)


def test_a_client_that_leaves_and_an_id_that_waits() -> None:
    async def story(made: NodeHarness) -> None:
        await ask(made, "p")
        child = await ask(made, "c", "p")
        await held(made, 1)
        assert (await made.read_response(await ask(made, "c", "p"))).status == 400
        await child.socket_stream.aclose()
        await held(made, 0)
        await sent(made, "p")
        await made.send_callback("done")
        again = await ask(made, "c", "p")
        await sent(made, "p", "c")
        await made.send_callback("done", "again")
        assert (await made.read_response(again)).body == b"again"

    play(story)


def test_those_that_wait_leave_room_for_plain_jobs_and_call_backs() -> None:
    async def story(made: NodeHarness) -> None:
        await ask(made, "p")
        await sent(made, "p")
        size = made.node.server.max_connections
        wires = [await ask(made, f"c{number}", "p") for number in range(size // 2)]
        with trio.fail_after(10.0):
            while (await shown(made))["turned_away"] < size // 2 - size // 4:
                await trio.sleep(0.02)
        assert (await shown(made))["waiting"] == size // 4
        plain = await ask(made, "plain")
        await sent(made, "p", "plain")
        assert await made.send_callback("done", "plain") == 204
        assert (await made.read_response(plain)).body == b"plain"
        assert await made.send_callback("failed", job=0) == 204
        statuses = [(await made.read_response(wire)).status for wire in wires]
        assert sorted(set(statuses)) == [424, 503]

    play(story, sockets=256)


@pytest.mark.parametrize("how", ["drain", "stop"])
def test_what_waits_is_answered_when_clients_are_sent_away(how: str) -> None:
    async def story(made: NodeHarness) -> None:
        await ask(made, "p")
        child = await ask(made, "c", "p")
        await held(made, 1)
        await sent(made, "p")
        if how == "drain":
            made.node.drain.begin_drain()
        else:
            made.node._nursery.start_soon(made.node.shut_down)
        answer = await made.read_response(child)
        assert answer.status == 503
        assert answer.headers["connection"] == "close"
        if how == "stop":
            await made.send_callback("done")
            await made.wait_until(lambda: made.has_node_ended)

    play(story)


def test_other_options_hold_from_sighup_on_and_bad_ones_change_nothing(tmp_path: Path) -> None:
    lines: list[str] = []

    async def story(made: NodeHarness) -> None:
        path = tmp_path / "options.ini"
        given = {
            **write_config(tmp_path, discovery=made.node._config.discovery),
            "BURLMOOR_OPTIONS": str(path),
        }
        await ask(made, "p")
        first = await ask(made, "c1", "p")
        await held(made, 1)
        await sent(made, "p")
        path.write_text("[waiting]\njobs = none\n")
        made.node.reload(given)
        path.write_text("[waiting]\nfan-out = 1\n")
        made.node.reload(given)
        assert (await made.read_response(await ask(made, "c2", "p"))).status == 503
        path.write_text("")
        made.node.reload(given)  # off: what waits goes on, and the header means nothing any more
        plain = await ask(made, "c3", "p")
        await sent(made, "p", "c3")
        await made.send_callback("done", "plain")
        assert (await made.read_response(plain)).body == b"plain"
        await made.send_callback("done", "parent", job=0)
        await sent(made, "p", "c3", "c1")
        await made.send_callback("done", "waited")
        assert (await made.read_response(first)).body == b"waited"
        await made.wait_until(lambda: made.node.engine.deferral is None)
        path.write_text("[waiting]\n")
        made.node.reload(given)
        await ask(made, "p2")
        await ask(made, "c4", "p2")
        await held(made, 1)

    options = Options(waiting=DeferredOptions())
    node_harness.run_scenario(story, options=options, lines=lines)
    failed = [json.loads(line) for line in lines if "reload-failed" in line]
    assert len(failed) == 1
    assert "jobs" in failed[0]["error"]


def test_a_child_at_the_new_process_of_a_parent_at_the_old_one_has_a_defined_end() -> None:
    async def story(made: NodeHarness) -> None:
        made.node.engine.ids_in_other_process.add("p")  # as the old process has told
        answer = await made.read_response(await ask(made, "c", "p"))
        assert answer.status == 503

    play(story)


def test_signals_meet_a_node_that_holds_jobs(tmp_path: Path) -> None:
    from burlmoor.testbed.job_classes import JOB_CLASSES  # noqa: PLC0415
    from burlmoor.testbed.local_cluster import executor_specs, local_cluster, new_request  # noqa: PLC0415

    async def run() -> None:
        with trio.fail_after(60.0):
            async with (
                local_cluster(tmp_path, executor_specs(2), options="[waiting]\n") as made,
                trio.open_nursery() as nursery,
            ):
                clients, confirm = made.clients[0], JOB_CLASSES[2]
                parent = new_request("p", confirm, 4300.0)
                child = new_request("c", confirm, 10.0, timeout_ms=30_000.0, run_after=("p",))
                made.executors["s-000"].set_slowdown(1.6)  # the parent runs for 3.4 s
                for each in (parent, child):
                    nursery.start_soon(clients.send, each)
                while not made.event_record.started_attempts_by_id():
                    await trio.sleep(0.02)
                made.nodes[0].send_signal(signal.SIGTERM)
                assert made.nodes[0].process is not None
                assert await made.nodes[0].process.wait() == 0
                while not (parent.answer_count and child.answer_count):
                    await trio.sleep(0.02)
                assert child.status == 503
                assert set(made.event_record.started_attempts_by_id()) == {"p"}

    trio.run(run)
