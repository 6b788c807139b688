"""Clients that flood a real node: others are served in time, and the node keeps its memory limit."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.testbed.local_cluster import LocalCluster, executor_specs, local_cluster, new_request
from tests.support.flooding_client import flooding
from tests.support.linked_cluster import SEARCH

if TYPE_CHECKING:
    from burlmoor.testbed.event_record import RequestRecord

WORK_MS = 20.0
IN_TIME_MS = SEARCH.latency_objective_ms + SEARCH.objective_stretch * WORK_MS
SHORT_TIMEOUT_MS = 480.0  # of the protocol page's example
# A final answer may come half a second after the timeout; time limits on sockets are 50 ms longer.
LATEST_ANSWER_MS = 500.0 + 50.0
GRACE_SECONDS = (
    3.0 + 0.7
)  # from SIGTERM to the earliest SIGKILL: the longest deadline, 3 s at most, and 0.7 s
MIN_FRACTION_IN_TIME = 0.9
SEND_INTERVAL_SECONDS = 0.05
MEMORY_LIMIT_KIB = 192 * 1024  # of a node (deployment page, "Limits")
LIMITS = {"limits": {"sockets": 1024}}
MORE_CONNECTIONS_THAN_ALLOWED = 700  # with so many descriptors


async def serve_others(
    cluster: LocalCluster, seconds: float, timeout_ms: float = SEARCH.timeout_ms
) -> list[RequestRecord]:
    """Send jobs of other clients at a steady rate; return their requests, which have ended."""
    requests = [
        new_request(f"other{number:03d}", SEARCH, WORK_MS, timeout_ms=timeout_ms)
        for number in range(int(seconds / SEND_INTERVAL_SECONDS))
    ]
    async with trio.open_nursery() as nursery:
        for request in requests:
            request.sent_ms = new_request("", SEARCH, WORK_MS).sent_ms
            nursery.start_soon(cluster.clients[0].send, request)
            await trio.sleep(SEND_INTERVAL_SECONDS)
    return requests


def is_in_time(request: RequestRecord) -> bool:
    """Return whether the request was served within its latency objective."""
    return request.is_served and request.latency_ms <= IN_TIME_MS


@pytest.mark.parametrize(
    ("kind", "connection_count"),
    [
        ("callbacks", 1),
        ("callbacks", 8),
        ("chunks", 4),
        ("bytes", 600),
        ("fields", 300),
        ("leaves", 60),
    ],
)
async def test_a_flood_of_one_client_does_not_delay_the_jobs_of_others(
    tmp_path: Path, kind: str, connection_count: int
) -> None:
    # Guards against handling all input of one connection before any other connection gets a turn.
    async with local_cluster(tmp_path, executor_specs(6), extra_config=LIMITS) as cluster:
        async with flooding(cluster.nodes[0], kind, connection_count):
            await trio.sleep(0.3)
            requests = await serve_others(cluster, 4.0)
        late = [request for request in requests if not is_in_time(request)]
        assert len(late) <= (1.0 - MIN_FRACTION_IN_TIME) * len(requests)


def is_lost(request: RequestRecord) -> bool:
    """Return whether the request had no final answer in time."""
    return not request.status or request.latency_ms > request.timeout_ms + LATEST_ANSWER_MS


@pytest.mark.parametrize(
    ("kind", "connection_count"),
    [
        ("leaves", 60),
        ("leaves-chunks", 60),
        ("leaves-callbacks", 60),
        ("fields", MORE_CONNECTIONS_THAN_ALLOWED),
        ("chunks", MORE_CONNECTIONS_THAN_ALLOWED),
    ],
)
async def test_clients_that_use_up_the_connections_with_much_input_cost_no_other_client_its_answer(
    tmp_path: Path, kind: str, connection_count: int
) -> None:
    # Guards against keeping connections of clients that have left, and against evicting none at the limit.
    async with local_cluster(tmp_path, executor_specs(6), extra_config=LIMITS) as cluster:
        async with flooding(cluster.nodes[0], kind, connection_count):
            await trio.sleep(1.0)
            requests = await serve_others(cluster, 4.0, timeout_ms=SHORT_TIMEOUT_MS)
        assert not [request.id for request in requests if is_lost(request)]


@pytest.mark.parametrize(
    ("kind", "connection_count"),
    [("leaves", 60), ("leaves-callbacks", 60), ("chunks", MORE_CONNECTIONS_THAN_ALLOWED)],
)
async def test_a_node_that_is_flooded_ends_in_time_after_sigterm(
    tmp_path: Path, kind: str, connection_count: int
) -> None:
    # Guards against a SIGKILL because the shutdown parses the input of clients that have left or send much.
    async with local_cluster(tmp_path, executor_specs(6), extra_config=LIMITS) as cluster:
        node = cluster.nodes[0]
        async with flooding(node, kind, connection_count):
            await trio.sleep(1.0)
            requests = await serve_others(cluster, 1.0, timeout_ms=SHORT_TIMEOUT_MS)
            node.send_signal(signal.SIGTERM)
            assert node.process is not None
            with trio.fail_after(GRACE_SECONDS):
                assert await node.process.wait() == 0
        assert not [request.id for request in requests if is_lost(request)]


def peak_memory_kib(pid: int) -> int:
    """Return the highest resident memory that a process has had."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))


@pytest.mark.parametrize(("kind", "connection_count"), [("resets", 16), ("jobs", 100)])
async def test_a_flood_of_short_lived_jobs_stays_within_the_memory_limit(
    tmp_path: Path, kind: str, connection_count: int
) -> None:
    # Guards against keeping the bodies and connections of jobs that are over until their deadlines.
    async with local_cluster(tmp_path, executor_specs(6), extra_config=LIMITS) as cluster:
        node = cluster.nodes[0]
        async with flooding(node, kind, connection_count):
            await trio.sleep(8.0)
            assert peak_memory_kib(node.pid) <= MEMORY_LIMIT_KIB
