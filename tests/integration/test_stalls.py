"""A process that was stalled: the input in its sockets when it runs again may be out of date."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings
from burlmoor.testbed.local_cluster import new_request
from tests.support.linked_cluster import SEARCH, open_linked_cluster, send_jobs
from tests.support.polling import poll_until

if TYPE_CHECKING:
    from burlmoor.testbed.node_process import NodeProcess

CLIENTS = 12
DISCONNECT_AFTER_MS = 50.0
CROSSING_MS = 100.0  # within which a close may cross a request
# On a busy machine a node rejects jobs that are close to their latency objective, before it has sent them.
PATIENT_CLASSES = [each._replace(latency_objective_ms=5000.0) for each in JOB_CLASSES]
KILL_AFTER_MS = 3700.0  # after SIGTERM, where deadlines are 3 s or more


def process_state(pid: int) -> str:
    """Return the state of a process by the letter that the kernel gives it."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


async def stop_process(node: NodeProcess) -> None:
    """Stop the process, and wait until it has stopped: the signal takes effect some time later."""
    node.send_signal(signal.SIGSTOP)

    async def is_stopped() -> bool:
        return process_state(node.pid) == "T"

    await poll_until(is_stopped)


@pytest.mark.parametrize("stall_seconds", [0.3, 2.0])
@pytest.mark.parametrize("do_clients_disconnect", [False, True])
async def test_no_attempt_begins_for_clients_that_disconnected_while_the_process_was_stalled(
    tmp_path: Path, stall_seconds: float, do_clients_disconnect: bool
) -> None:
    classes = platform_settings(PATIENT_CLASSES)["RequestClasses"]
    async with open_linked_cluster(tmp_path, RequestClasses=classes) as cluster:
        node = cluster.nodes[0]
        await send_jobs(cluster, SEARCH, "aa", 20)
        await stop_process(node)
        disconnect_ms = now_ms() + DISCONNECT_AFTER_MS
        async with trio.open_nursery() as nursery:
            for number in range(CLIENTS):
                request = new_request(f"bb{number}", SEARCH, 20.0)
                request.disconnected_ms = disconnect_ms if do_clients_disconnect else None
                nursery.start_soon(cluster.clients[0].send, request)
            await trio.sleep(stall_seconds)
            node.send_signal(signal.SIGCONT)
        await trio.sleep(1.0)
        sent = {each.id for each in cluster.event_record.attempts if each.id.startswith("bb")}
        # The case in which clients stay shows that the node does send such jobs.
        assert len(sent) == (0 if do_clients_disconnect else CLIENTS)


@pytest.mark.parametrize("stall_seconds", [1.5, 3.0])
async def test_a_process_that_was_stalled_across_sigterm_ends_before_it_may_be_killed(
    tmp_path: Path, stall_seconds: float
) -> None:
    """The platform counts from the signal, however late the process reads it."""

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
        unanswered = [each for each in requests if each.answered_ms is None and not each.is_unsent]
        # Written while the process closed its idle connections, so never read: its client retries.
        for each in unanswered:
            assert isinstance(each.closed_ms, float)
            assert each.closed_ms < each.sent_ms + CROSSING_MS
