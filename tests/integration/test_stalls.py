"""Tests a process that was stalled: input that waits in its sockets may be out of date when it resumes."""

from __future__ import annotations

import signal
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import AnyRequestId
from burlmoor.testbed.http_stream import connect
from burlmoor.testbed.local_cluster import executor_specs, local_cluster, new_request
from tests.support.linked_cluster import SEARCH, open_linked_cluster, send_jobs
from tests.support.request_classes import request_classes_with_long_objectives
from tests.support.stalled_process import stalled, stop_process

if TYPE_CHECKING:
    from pathlib import Path

CLIENTS = 12
NODES = 4
NEW_CLIENTS = 100  # of each node; a request is admitted or its client's leave read first, by chance
DISCONNECT_AFTER_MS = 50.0
MAX_CROSSING_MS = 100.0  # longest time between a request and a close that cross each other
KILL_AFTER_MS = 3700.0  # after SIGTERM, where deadlines are 3 s or more


@pytest.mark.parametrize("stall_seconds", [0.3, 2.0])
@pytest.mark.parametrize("do_clients_disconnect", [False, True])
async def test_no_attempt_begins_for_clients_that_disconnected_during_a_stall(
    tmp_path: Path, stall_seconds: float, do_clients_disconnect: bool
) -> None:
    classes = request_classes_with_long_objectives()
    async with open_linked_cluster(tmp_path, RequestClasses=classes) as cluster:
        node = cluster.nodes[0]
        await send_jobs(cluster, SEARCH, "aa", 20)
        await stop_process(node)
        disconnect_ms = now_ms() + DISCONNECT_AFTER_MS
        async with trio.open_nursery() as nursery:
            for number in range(CLIENTS):
                request = new_request(f"bb{number}", SEARCH, 20.0)
                request.disconnect_at_ms = disconnect_ms if do_clients_disconnect else None
                nursery.start_soon(cluster.clients[0].send, request)
            await trio.sleep(stall_seconds)
            node.send_signal(signal.SIGCONT)
        await trio.sleep(1.0)
        sent = {attempt.id for attempt in cluster.event_record.attempts if attempt.id.startswith("bb")}
        # The case in which clients stay connected shows that the node does send such jobs.
        assert len(sent) == (0 if do_clients_disconnect else CLIENTS)


@pytest.mark.parametrize("how", ["close", "reset"])
async def test_no_attempt_begins_for_many_clients_that_left_new_connections_during_a_stall(
    tmp_path: Path, how: str
) -> None:
    # Guards against admitting a request whose client has left before the node accepted its connection.
    async with local_cluster(
        tmp_path, executor_specs(6), nodes=NODES, RequestClasses=request_classes_with_long_objectives()
    ) as cluster:
        cluster.event_record.requests = AnyRequestId()
        async with AsyncExitStack() as stalls:
            for node in cluster.nodes:
                await stalls.enter_async_context(stalled(node))
            streams = [await connect(node.address) for node in cluster.nodes for _ in range(NEW_CLIENTS)]
            for number, stream in enumerate(streams):
                headers = {"Request_Id": f"bb{number}", "Request_Timeout_Ms": "6000"}
                await stream.write(f"POST /{SEARCH.name}/k HTTP/1.1", b'{"work":20.0}', Host="svc", **headers)
            for stream in streams:
                stream.close() if how == "close" else stream.reset()
            await trio.sleep(0.3)
        await trio.sleep(1.0)
        assert [attempt.id for attempt in cluster.event_record.attempts] == []


@pytest.mark.parametrize("stall_seconds", [1.5, 3.0])
async def test_a_process_stalled_across_sigterm_exits_before_sigkill(
    tmp_path: Path, stall_seconds: float
) -> None:
    """The platform counts the time until SIGKILL from SIGTERM, however late the process reads the signal."""

    async with open_linked_cluster(tmp_path) as cluster:
        node = cluster.nodes[0]
        await send_jobs(cluster, SEARCH, "aa", 20)
        await stop_process(node)
        node.send_signal(signal.SIGTERM)
        terminated_ms = now_ms()
        async with trio.open_nursery() as nursery:
            await trio.sleep(stall_seconds)
            node.send_signal(signal.SIGCONT)
            # Clients use their connections until the node closes them.
            nursery.start_soon(send_jobs, cluster, SEARCH, "bb", 80)
            assert node.process is not None
            assert await node.process.wait() == 0
            ended_ms = now_ms()
        assert ended_ms - terminated_ms < KILL_AFTER_MS
        requests = cluster.event_record.requests.values()
        unanswered = [
            request for request in requests if request.answered_ms is None and not request.is_unsent
        ]
        # Written while the process closed its idle connections, so never read: the client retries.
        for request in unanswered:
            assert isinstance(request.closed_ms, float)
            assert request.closed_ms < request.sent_ms + MAX_CROSSING_MS
