"""Tests requests that wait unread in a node's sockets when the node decides to close their connections."""

from __future__ import annotations

import signal
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import pytest
import trio

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.http_stream import HttpStream, connect
from burlmoor.testbed.local_cluster import LocalCluster, executor_specs, local_cluster, new_request
from tests.support.linked_cluster import SEARCH
from tests.support.long_objectives import request_classes_with_long_objectives
from tests.support.stalled_process import stalled

if TYPE_CHECKING:
    from pathlib import Path

# A node with 128 descriptors has at most 45 connections to clients, and closes idle ones beyond 18 of them.
DESCRIPTORS = 128
CLIENTS = 30  # of each node
NODES = 4  # a node may read before it closes; which comes first differs from one process to the next
WORK_MS = 20.0
BODY = b'{"work":20.0}'


class Stall(NamedTuple):
    """A stall of a node, and when clients write during it; times in seconds from its start."""

    write_after_seconds: float
    seconds: float


# Longer than the interval of the sweep, so that the sweep is due when the process resumes, and longer than
# the least time before an idle connection may be closed.
SURPLUS_STALL = Stall(0.3, 0.5)
# SIGTERM arrives at its start; clients' idle connections are closed from 2 s after SIGTERM on.
SHUTDOWN_STALL = Stall(1.9, 2.2)
# Incomplete requests are closed 2.6 s after their first byte, or after the accept.
INCOMPLETE_STALL = Stall(0.5, 3.0)


def persistent_clients(cluster: LocalCluster) -> list[ClientPool]:
    """Return clients of all nodes, each with one connection, which they use until it is closed."""
    return [
        ClientPool(node.address, cluster.event_record, may_resend=False)
        for node in cluster.nodes
        for _ in range(CLIENTS)
    ]


async def send_from_all(cluster: LocalCluster, clients: list[ClientPool], prefix: str) -> None:
    """Have each client send one job, all at once, and wait for the answers."""
    async with trio.open_nursery() as nursery:
        for number, client in enumerate(clients):
            nursery.start_soon(client.send, new_request(f"{prefix}{number:03d}", SEARCH, WORK_MS))


def find_lost(cluster: LocalCluster, prefix: str) -> list[str]:
    """Return the ids of the requests that got no answer."""
    requests = cluster.event_record.requests.values()
    return [each.id for each in requests if each.id.startswith(prefix) and each.answered_ms is None]


@pytest.mark.parametrize("is_shutting_down", [False, True])
async def test_no_request_on_an_idle_connection_is_lost_when_a_stalled_node_resumes(
    tmp_path: Path, is_shutting_down: bool
) -> None:
    # Guards against closing idle connections whose next request has arrived but was not read yet.
    stall = SHUTDOWN_STALL if is_shutting_down else SURPLUS_STALL
    async with local_cluster(
        tmp_path,
        executor_specs(6),
        nodes=NODES,
        sockets=DESCRIPTORS,
        RequestClasses=request_classes_with_long_objectives(),
    ) as cluster:
        clients = persistent_clients(cluster)
        await send_from_all(cluster, clients, "aa")
        async with trio.open_nursery() as nursery, AsyncExitStack() as stalls:
            for node in cluster.nodes:
                await stalls.enter_async_context(stalled(node))
                if is_shutting_down:
                    node.send_signal(signal.SIGTERM)
            await trio.sleep(stall.write_after_seconds)
            nursery.start_soon(send_from_all, cluster, clients, "bb")
            await trio.sleep(stall.seconds - stall.write_after_seconds)
        assert find_lost(cluster, "bb") == []


async def send_head(stream: HttpStream, request_id: str) -> None:
    """Write the head of a job's request."""
    head = (
        f"POST /{SEARCH.name}/k HTTP/1.1\r\nHost: svc\r\nRequest-Id: {request_id}\r\n"
        f"Request-Timeout-Ms: 6000\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    await stream.socket_stream.send_all(head.encode())


async def is_answered(stream: HttpStream) -> bool:
    """Read the answer; return whether there is one."""
    with trio.fail_after(10.0):
        return await stream.read() is not None


@pytest.mark.parametrize("has_begun", [False, True])
async def test_no_request_on_a_new_connection_is_lost_when_a_stalled_node_resumes(
    tmp_path: Path, has_begun: bool
) -> None:
    # Guards against closing new connections whose request has arrived but was not read yet.
    async with local_cluster(tmp_path, executor_specs(3), sockets=DESCRIPTORS) as cluster:
        node = cluster.nodes[0]
        # More than the node may have: the others wait in its backlog, so that it has to make room for them.
        streams = [await connect(node.address) for _ in range(CLIENTS if has_begun else 2 * CLIENTS)]
        if has_begun:
            for number, stream in enumerate(streams):
                await send_head(stream, f"aa{number:03d}")
        await trio.sleep(0.05)
        async with stalled(node):
            await trio.sleep(INCOMPLETE_STALL.write_after_seconds)
            for number, stream in enumerate(streams):
                if not has_begun:
                    await send_head(stream, f"aa{number:03d}")
                await stream.socket_stream.send_all(BODY)
            await trio.sleep(INCOMPLETE_STALL.seconds - INCOMPLETE_STALL.write_after_seconds)
        answered = [await is_answered(stream) for stream in streams]
        assert answered == [True] * len(streams)
