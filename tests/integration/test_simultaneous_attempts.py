"""Tests that a job has at most one attempt at a time where the deployment does not allow hedging.

Before its 202, an attempt that the node has cancelled may still run: the 202 may be in transit when the node
closes the connection. So a cancelled attempt ends only once its executor has confirmed the cancellation, and
the job is not retried before. The scenarios are the reasons for which a node cancels an attempt before its
202, over a real node process and links: an attempt that is overdue, no response, an invalid response, and an
endpoint that drains.

A new process has had contact with no executor. That is no sign that an executor is silent, so the first
attempts, which take longer on new connections to another zone, are not overdue.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from burlmoor.testbed.job_classes import JobClass, platform_settings
from burlmoor.testbed.local_cluster import LocalCluster, new_request
from tests.support.linked_cluster import AFFECTED_EXECUTORS, SEARCH, open_linked_cluster, send_jobs
from tests.support.polling import poll_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

ONE_WAY_SECONDS = 0.03  # between zones
HANDSHAKE_SECONDS = 0.06  # of a new connection between zones
WORK_MS = 1500.0  # long enough that the job still runs when the next attempt arrives
JOBS = 6
SILENT_SECONDS = 3.2  # after so long without a report, an executor may have failed


def limits(*, may_hedge: bool) -> dict[str, Any]:
    """Return the deployment's limits, with hedged requests allowed or not."""
    return {**platform_settings()["Limits"], "SecondCopies": may_hedge}


def cancel_reasons(cluster: LocalCluster) -> set[str]:
    """Return the reasons for which the node has cancelled attempts, by its log."""
    lines = [line for line in cluster.nodes[0].log if line["event"] == "job-ended"]
    return {
        attempt["cancel_reason"]
        for line in lines
        for attempt in line["attempts"]
        if "cancel_reason" in attempt
    }


async def send_long_jobs(cluster: LocalCluster, job_class: JobClass = SEARCH) -> None:
    """Send some jobs that run for a while, and wait for all answers."""
    async with trio.open_nursery() as nursery:
        for number in range(JOBS):
            nursery.start_soon(cluster.clients[0].send, new_request(f"a{number}", job_class, WORK_MS))


def delay_as_between_zones(cluster: LocalCluster) -> None:
    """Delay all traffic between the node and its executors as between zones."""
    for link in [*cluster.executor_links(), *cluster.callback_links()]:
        link.set_delay(ONE_WAY_SECONDS)
        link.handshake_seconds = HANDSHAKE_SECONDS


async def slow_down(cluster: LocalCluster) -> None:
    """Slow the network down some seconds after the last contact with the executors."""
    await send_jobs(cluster, SEARCH, "before", 30)
    await trio.sleep(SILENT_SECONDS)
    delay_as_between_zones(cluster)
    await send_long_jobs(cluster)


async def delay_responses(cluster: LocalCluster) -> None:
    """Have two of three executors accept at once, but delay their responses beyond the node's timeout."""
    for name in AFFECTED_EXECUTORS:
        for link in cluster.links_to(name):
            link.back.delay_seconds = 0.6
    for link in cluster.callback_links():
        link.forward.delay_seconds = 0.6
    await send_long_jobs(cluster)


async def corrupt_responses(cluster: LocalCluster) -> None:
    """Have executors accept, but corrupt their responses."""
    for link in cluster.executor_links():
        link.back.is_corrupted = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_long_jobs, cluster)
        await trio.sleep(0.3)
        for link in cluster.executor_links():
            link.back.is_corrupted = False


async def announce_drains(cluster: LocalCluster) -> None:
    """Announce that two of three executors drain while their 202s are in transit."""
    for link in [*cluster.executor_links(), *cluster.callback_links()]:
        link.set_delay(0.2)

    async def has_attempts() -> bool:
        return bool(cluster.event_record.attempts)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_long_jobs, cluster)
        await poll_until(has_attempts)
        for name in AFFECTED_EXECUTORS:
            cluster.discovery.set_entry(name, health="leaving")


@pytest.mark.parametrize(
    ("scenario", "reason"),
    [
        (slow_down, "overdue"),
        (delay_responses, "no-response"),
        (corrupt_responses, "invalid-response"),
        (announce_drains, "endpoint-not-live"),
    ],
)
async def test_a_job_is_not_retried_before_the_cancellation_of_its_attempt_is_confirmed(
    tmp_path: Path, scenario: Callable[[LocalCluster], Awaitable[None]], reason: str
) -> None:
    async with open_linked_cluster(tmp_path, Limits=limits(may_hedge=False)) as cluster:
        await scenario(cluster)
        assert reason in cancel_reasons(cluster), "nothing was cancelled: the test proves nothing"
        assert cluster.event_record.find_ids_with_simultaneous_attempts(1) == []


async def test_the_first_attempts_of_a_new_process_are_not_overdue(tmp_path: Path) -> None:
    """A new process has had contact with no executor, which is no sign that one is silent."""
    async with open_linked_cluster(tmp_path, Limits=limits(may_hedge=False)) as cluster:
        delay_as_between_zones(cluster)
        await send_long_jobs(cluster)
        assert cancel_reasons(cluster) == set()
        assert len(cluster.event_record.attempts) == JOBS
        assert all(request.is_served for request in cluster.event_record.requests.values())


async def test_hedging_never_has_three_concurrent_attempts_of_a_job(tmp_path: Path) -> None:
    async with open_linked_cluster(tmp_path, Limits=limits(may_hedge=True)) as cluster:
        await delay_responses(cluster)
        assert len(cluster.event_record.attempts) > JOBS, "nothing was retried: the test proves nothing"
        assert cluster.event_record.find_ids_with_simultaneous_attempts(2) == []
