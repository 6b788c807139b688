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
from tests.support.request_classes import request_classes_with, request_classes_with_long_objectives
from tests.support.stalled_process import stalled

if TYPE_CHECKING:
    from pathlib import Path

# A node with 128 descriptors closes idle connections to clients beyond 18 of them.
LIMITS = {"limits": {"sockets": 128}}
MAX_CONNECTIONS = 45  # of all clients, with so many descriptors
CLIENTS = 30  # of each node
NODES = 4  # a node may read before it closes; which comes first differs from one process to the next
WORK_MS = 20.0
BODY = b'{"work":20.0}'


class Stall(NamedTuple):
    """A stall of a node, and when clients write during it; times in seconds from its start."""

    write_after_seconds: float
    seconds: float
    begins_with_sigterm: bool = False


# Longer than the interval of the sweep, so that the sweep is due when the process resumes, and longer than
# the least time before an idle connection may be closed.
SURPLUS_STALL = Stall(0.3, 0.5)
# 2 s after SIGTERM clients' idle connections are closed.
SHUTDOWN_STALL = Stall(1.9, 2.2, begins_with_sigterm=True)
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


@pytest.mark.parametrize("stall", [SURPLUS_STALL, SHUTDOWN_STALL], ids=["surplus", "shutdown"])
async def test_no_request_on_an_idle_connection_is_lost_when_a_stalled_node_resumes(
    tmp_path: Path, stall: Stall
) -> None:
    # Guards against closing idle connections whose next request has arrived but was not read yet.
    async with local_cluster(
        tmp_path,
        executor_specs(6),
        nodes=NODES,
        extra_config=LIMITS,
        RequestClasses=request_classes_with_long_objectives(),
    ) as cluster:
        clients = persistent_clients(cluster)
        await send_from_all(cluster, clients, "aa")
        async with trio.open_nursery() as nursery, AsyncExitStack() as stalls:
            for node in cluster.nodes:
                await stalls.enter_async_context(stalled(node))
                if stall.begins_with_sigterm:
                    node.send_signal(signal.SIGTERM)
            await trio.sleep(stall.write_after_seconds)
            nursery.start_soon(send_from_all, cluster, clients, "bb")
            await trio.sleep(stall.seconds - stall.write_after_seconds)
        assert find_lost(cluster, "bb") == []
        for node in cluster.nodes:
            stalls_seconds = [line["seconds"] for line in node.log if line["event"] == "event-loop-stalled"]
            assert any(seconds > stall.seconds / 2.0 for seconds in stalls_seconds)


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
    async with local_cluster(tmp_path, executor_specs(3), extra_config=LIMITS) as cluster:
        node = cluster.nodes[0]
        streams = [await connect(node.address) for _ in range(CLIENTS if has_begun else MAX_CONNECTIONS)]
        if has_begun:
            for number, stream in enumerate(streams):
                await send_head(stream, f"aa{number:03d}")
        await trio.sleep(0.05)
        async with stalled(node):
            await trio.sleep(INCOMPLETE_STALL.write_after_seconds)
            if not has_begun:
                # They wait in the backlog, and the node has to make room for them.
                streams += [await connect(node.address) for _ in range(CLIENTS)]
            for number, stream in enumerate(streams):
                if not has_begun:
                    await send_head(stream, f"aa{number:03d}")
                await stream.socket_stream.send_all(BODY)
            await trio.sleep(INCOMPLETE_STALL.seconds - INCOMPLETE_STALL.write_after_seconds)
        answered = [await is_answered(stream) for stream in streams]
        assert answered == [True] * len(streams)


# Where all deadlines are 0.4 s, a node without a job ends 0.9 s after SIGTERM. Clients open connections for
# up to 0.4 s after it.
SHORT_DEADLINE_MS = 400.0
EXIT_STALL_BEGINS_SECONDS = 0.3  # after SIGTERM
EXIT_STALL = Stall(0.05, 0.65)


@pytest.mark.parametrize("is_accepted", [False, True])
async def test_no_request_is_lost_when_a_stalled_node_exits(tmp_path: Path, is_accepted: bool) -> None:
    # Guards against an exit that resets connections, accepted or in the backlog, whose request was not read.
    async with local_cluster(
        tmp_path,
        executor_specs(3),
        nodes=NODES,
        RequestClasses=request_classes_with(timeout_ms=SHORT_DEADLINE_MS),
    ) as cluster:
        for node in cluster.nodes:
            node.send_signal(signal.SIGTERM)
        await trio.sleep(EXIT_STALL_BEGINS_SECONDS)
        addresses = [node.address for node in cluster.nodes for _ in range(CLIENTS)]
        streams = [await connect(address) for address in addresses] if is_accepted else []
        async with AsyncExitStack() as stalls:
            for node in cluster.nodes:
                await stalls.enter_async_context(stalled(node))
            await trio.sleep(EXIT_STALL.write_after_seconds)
            streams = streams or [await connect(address) for address in addresses]
            for number, stream in enumerate(streams):
                await send_head(stream, f"aa{number:03d}")
                await stream.socket_stream.send_all(BODY)
            await trio.sleep(EXIT_STALL.seconds - EXIT_STALL.write_after_seconds)
        answered = [await is_answered(stream) for stream in streams]
        assert answered == [True] * len(streams)
        assert [await node.stop() for node in cluster.nodes] == [0] * NODES
