"""Deferred jobs of a node on sockets: headers, connections, disconnects, shutdown, limits and options."""

from __future__ import annotations

import json
import signal
from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.config.options import DeferredOptions, Options
from burlmoor.testbed.node_process import send_http_request
from tests.support.configuration import write_config
from tests.support.deferral_over_sockets import (
    fetch_status,
    open_deferring_node,
    submit_deferred,
    wait_until_deferred,
    wait_until_sent,
    wait_until_status,
)
from tests.support.node_harness import open_node_harness
from tests.support.polling import poll_until

if TYPE_CHECKING:
    from pathlib import Path


async def test_a_deferred_job_is_sent_after_its_parent_without_its_condition_headers() -> None:
    async with open_deferring_node() as harness:
        parent, child = await submit_deferred(harness, "p"), await submit_deferred(harness, "c", "p")
        await wait_until_sent(harness, "p")
        await wait_until_deferred(harness, 1)
        status = await fetch_status(harness)
        assert (status["by_class"]["once"]["waiting"], status["by_reason"]) == (1, {"jobs": 1})
        await harness.send_callback("done", "parent")
        assert (await harness.read_response(parent)).body == b"parent"
        await wait_until_sent(harness, "p", "c")
        assert not {"run-after", "not-before"} & set(harness.jobs[-1][1].headers)
        await harness.send_callback("done", "child")
        assert (await harness.read_response(child)).body == b"child"
        await wait_until_deferred(harness, 0)


async def test_without_the_options_section_the_condition_headers_have_no_effect() -> None:
    async with open_node_harness() as harness:
        connection = await submit_deferred(harness, "c", "p", Not_Before="never")
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback("done", "at once")
        assert (await harness.read_response(connection)).body == b"at once"
        assert harness.components.admin_server is not None
        assert (
            await send_http_request(harness.components.admin_server.address, "GET", "/waiting")
        ).status == 404


@pytest.mark.parametrize("how", ["failed", "lost", "leaves"])
async def test_dependents_of_a_job_that_was_not_served_get_424_at_once(how: str) -> None:
    async with open_deferring_node() as harness:
        parent, child = await submit_deferred(harness, "p"), await submit_deferred(harness, "c", "p")
        grandchild = await submit_deferred(harness, "g", "c")
        await wait_until_deferred(harness, 2)
        await wait_until_sent(harness, "p")
        if how == "leaves":
            await parent.socket_stream.aclose()
        else:
            await harness.send_callback(how)
        for connection in (child, grandchild):
            response = await harness.read_response(connection)
            assert response.status == 424
            assert b"not served" in response.body
        late = await harness.read_response(await submit_deferred(harness, "late", "p"))
        assert late.status == 424
        await wait_until_sent(harness, "p")


async def test_a_job_with_an_unknown_dependency_is_rejected_after_the_timeout() -> None:
    async with open_deferring_node() as harness:
        response = await harness.read_response(await submit_deferred(harness, "c", "nobody"))
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0.0
        assert not harness.jobs


async def test_parent_and_child_may_use_one_connection() -> None:
    async with open_deferring_node() as harness:
        connection = await submit_deferred(harness, "p")
        await submit_deferred(harness, "c", "p", connection=connection)  # written before the parent's answer
        await wait_until_sent(harness, "p")
        await harness.send_callback("done", "one")
        assert (await harness.read_response(connection)).body == b"one"
        await wait_until_sent(harness, "p", "c")
        await harness.send_callback("done", "two")
        assert (await harness.read_response(connection)).body == b"two"
        # In the opposite order the parent is not read before the child is answered: the child is rejected.
        await submit_deferred(harness, "c2", "p2", connection=connection)
        await submit_deferred(harness, "p2", connection=connection)
        assert (await harness.read_response(connection)).status == 503
        await wait_until_sent(harness, "p", "c", "p2")


@pytest.mark.parametrize(
    "fields", [{"Run_After": "c"}, {"Run_After": "a b"}, {"Run_After": ","}, {"Not_Before": "soon"}]
)
async def test_an_invalid_condition_gets_400_with_one_line_that_names_the_header(
    fields: dict[str, str],
) -> None:
    async with open_deferring_node() as harness:
        response = await harness.read_response(await submit_deferred(harness, "c", connection=None, **fields))
        assert response.status == 400
        assert next(iter(fields)).replace("_", "-").encode() in response.body
        assert len(response.body.splitlines()) == 1
        assert not harness.jobs


async def test_the_id_of_a_deferred_job_is_in_use_until_its_client_disconnects() -> None:
    async with open_deferring_node() as harness:
        await submit_deferred(harness, "p")
        child = await submit_deferred(harness, "c", "p")
        await wait_until_deferred(harness, 1)
        assert (await harness.read_response(await submit_deferred(harness, "c", "p"))).status == 400
        await child.socket_stream.aclose()
        await wait_until_deferred(harness, 0)
        await wait_until_sent(harness, "p")
        await harness.send_callback("done")
        again = await submit_deferred(harness, "c", "p")
        await wait_until_sent(harness, "p", "c")
        await harness.send_callback("done", "again")
        assert (await harness.read_response(again)).body == b"again"


async def test_deferred_jobs_leave_connections_for_other_jobs_and_call_backs() -> None:
    async with open_deferring_node(sockets=256) as harness:
        await submit_deferred(harness, "p")
        await wait_until_sent(harness, "p")
        size = harness.components.server.connections.max_connections
        connections = [await submit_deferred(harness, f"c{number}", "p") for number in range(size // 2)]
        await wait_until_status(harness, lambda status: status["turned_away"] >= size // 2 - size // 4)
        assert (await fetch_status(harness))["waiting"] == size // 4
        plain = await submit_deferred(harness, "plain")
        await wait_until_sent(harness, "p", "plain")
        assert await harness.send_callback("done", "plain") == 204
        assert (await harness.read_response(plain)).body == b"plain"
        assert await harness.send_callback("failed", job=0) == 204
        statuses = [(await harness.read_response(connection)).status for connection in connections]
        assert sorted(set(statuses)) == [424, 503]


@pytest.mark.parametrize("how", ["drain", "stop"])
async def test_deferred_jobs_are_rejected_when_the_node_drains_or_shuts_down(how: str) -> None:
    async with open_deferring_node() as harness:
        await submit_deferred(harness, "p")
        child = await submit_deferred(harness, "c", "p")
        await wait_until_deferred(harness, 1)
        await wait_until_sent(harness, "p")
        if how == "drain":
            harness.components.drain.begin_drain()
        else:
            harness.node._nursery.start_soon(harness.node.shut_down)
        response = await harness.read_response(child)
        assert response.status == 503
        assert response.headers["connection"] == "close"
        if how == "stop":
            await harness.send_callback("done")
            await harness.wait_until(lambda: harness.has_node_ended)


async def test_options_can_be_reloaded_and_invalid_options_change_nothing(tmp_path: Path) -> None:
    lines: list[str] = []
    options = Options(waiting=DeferredOptions())
    async with open_node_harness(options=options, lines=lines) as harness:
        path = tmp_path / "options.ini"
        given = {
            **write_config(tmp_path, discovery=harness.node._config.discovery),
            "BURLMOOR_OPTIONS": str(path),
        }
        await submit_deferred(harness, "p")
        first = await submit_deferred(harness, "c1", "p")
        await wait_until_deferred(harness, 1)
        await wait_until_sent(harness, "p")
        path.write_text("[waiting]\njobs = none\n")
        harness.node.reload(given)
        path.write_text("[waiting]\nfan-out = 1\n")
        harness.node.reload(given)
        assert (await harness.read_response(await submit_deferred(harness, "c2", "p"))).status == 503
        path.write_text("")
        harness.node.reload(given)  # turns deferral off: deferred jobs remain, and the headers have no effect
        plain = await submit_deferred(harness, "c3", "p")
        await wait_until_sent(harness, "p", "c3")
        await harness.send_callback("done", "plain")
        assert (await harness.read_response(plain)).body == b"plain"
        await harness.send_callback("done", "parent", job=0)
        await wait_until_sent(harness, "p", "c3", "c1")
        await harness.send_callback("done", "waited")
        assert (await harness.read_response(first)).body == b"waited"
        await harness.wait_until(lambda: harness.components.core.deferral_notifier.queue is None)
        path.write_text("[waiting]\n")
        harness.node.reload(given)
        await submit_deferred(harness, "p2")
        await submit_deferred(harness, "c4", "p2")
        await wait_until_deferred(harness, 1)
    failed = [json.loads(line) for line in lines if "reload-failed" in line]
    assert len(failed) == 1
    assert "jobs" in failed[0]["error"]


async def test_a_dependent_of_a_job_in_the_old_process_is_rejected() -> None:
    async with open_deferring_node() as harness:
        harness.components.core.jobs.add_ids_in_other_process(["p"])  # as a handover does
        response = await harness.read_response(await submit_deferred(harness, "c", "p"))
        assert response.status == 503


async def test_a_node_with_deferred_jobs_answers_them_on_sigterm(tmp_path: Path) -> None:
    from burlmoor.testbed.job_classes import JOB_CLASSES  # noqa: PLC0415
    from burlmoor.testbed.local_cluster import executor_specs, local_cluster, new_request  # noqa: PLC0415

    with trio.fail_after(60.0):
        async with (
            local_cluster(tmp_path, executor_specs(2), options="[waiting]\n") as cluster,
            trio.open_nursery() as nursery,
        ):
            clients, confirm = cluster.clients[0], JOB_CLASSES[2]
            parent = new_request("p", confirm, 4300.0)
            child = new_request("c", confirm, 10.0, timeout_ms=30_000.0, run_after=("p",))

            async def has_started() -> bool:
                return bool(cluster.event_record.started_attempts_by_id())

            async def are_answered() -> bool:
                return bool(parent.answer_count and child.answer_count)

            cluster.executors["s-000"].jobs.set_slowdown(1.6)  # so that the parent runs for 3.4 s
            for request in (parent, child):
                nursery.start_soon(clients.send, request)
            await poll_until(has_started)
            cluster.nodes[0].send_signal(signal.SIGTERM)
            assert cluster.nodes[0].process is not None
            assert await cluster.nodes[0].process.wait() == 0
            await poll_until(are_answered)
            assert child.status == 503
            assert set(cluster.event_record.started_attempts_by_id()) == {"p"}
