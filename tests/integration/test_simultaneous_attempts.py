"""Two attempts of one job out at once, where the deployment does not allow that.

Seen: right after a node was restarted, some of its first idempotent jobs had a second attempt at another
executor some 90 ms after the first, which its executor had accepted by then and went on to run.

How it came about: a process that had just started took an attempt for overdue after 83 ms, since it had heard
of no executor yet, and cancelled it by closing the connection. On a new connection to another zone the 202
took longer; it was on its way, so the close came too late to cancel anything.

Cause: an attempt counted as over as soon as the node had cancelled it, before its executor had heard of that.
Every way of cancelling before the 202 had it, whatever the reason: the four below. What set it off: executors
that a process had never heard of counted as silent.

Proof: the log of jobs shows the reason and the moment of each cancellation; on links that are as slow as
between zones the same happens over a real process, and does not once a cancellation has to be confirmed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from burlmoor.testbed.job_classes import JobClass, platform_settings
from burlmoor.testbed.local_cluster import LocalCluster, new_request
from tests.support.linked_cluster import LEAVING, SEARCH, run_with_links, send_jobs
from tests.support.polling import poll_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

ONE_WAY_SECONDS = 0.03  # between zones
HANDSHAKE_SECONDS = 0.06  # of a new connection between zones
WORK_MS = 1500.0  # long enough to run still when the next attempt comes
JOBS = 6
SILENT_SECONDS = 3.2  # after which an executor that has reported nothing may not be working


def limits(may_hedge: bool) -> dict[str, Any]:
    """The deployment's limits, with two attempts at once allowed or not."""
    return {**platform_settings()["Limits"], "SecondCopies": may_hedge}


def cancel_reasons(cluster: LocalCluster) -> set[str]:
    """Why the node has given attempts up, by its log."""
    lines = [line for line in cluster.nodes[0].log if line["event"] == "job-ended"]
    return {attempt["cancel"] for line in lines for attempt in line["attempts"] if "cancel" in attempt}


async def send_long_jobs(cluster: LocalCluster, job_class: JobClass = SEARCH) -> None:
    """Send some jobs that run for a while, and wait for all answers."""
    async with trio.open_nursery() as nursery:
        for number in range(JOBS):
            nursery.start_soon(cluster.clients[0].send, new_request(f"a{number}", job_class, WORK_MS))


def move_to_other_zones(cluster: LocalCluster) -> None:
    """Let all that passes between the node and its executors take as long as between zones."""
    for link in [*cluster.executor_links(), *cluster.callback_links()]:
        link.set_delay(ONE_WAY_SECONDS)
        link.handshake_seconds = HANDSHAKE_SECONDS


async def slow_down(cluster: LocalCluster) -> None:
    """The network becomes slower than it was when executors were last heard of, some seconds ago."""
    await send_jobs(cluster, SEARCH, "before", 30)
    await trio.sleep(SILENT_SECONDS)
    move_to_other_zones(cluster)
    await send_long_jobs(cluster)


async def delay_responses(cluster: LocalCluster) -> None:
    """Two of three executors accept at once, and what they say takes longer than the node waits for it."""
    for name in LEAVING:
        for link in cluster.links_to(name):
            link.back.delay_seconds = 0.6
    for link in cluster.callback_links():
        link.forward.delay_seconds = 0.6
    await send_long_jobs(cluster)


async def garble_responses(cluster: LocalCluster) -> None:
    """Executors accept, and their responses arrive spoilt."""
    for link in cluster.executor_links():
        link.back.is_corrupted = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_long_jobs, cluster)
        await trio.sleep(0.3)
        for link in cluster.executor_links():
            link.back.is_corrupted = False


async def announce_drains(cluster: LocalCluster) -> None:
    """Two of three executors are announced to drain while their 202s are on their way."""
    for link in [*cluster.executor_links(), *cluster.callback_links()]:
        link.set_delay(0.2)

    async def has_attempts() -> bool:
        return bool(cluster.event_record.attempts)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_long_jobs, cluster)
        await poll_until(has_attempts)
        for name in LEAVING:
            cluster.discovery.set_entry(name, health="leaving")


@pytest.mark.parametrize(
    ("scenario", "reason"),
    [
        (slow_down, "overdue"),
        (delay_responses, "no-response"),
        (garble_responses, "invalid-response"),
        (announce_drains, "endpoint-not-live"),
    ],
)
def test_a_job_is_not_sent_again_before_its_attempt_is_known_to_be_cancelled(
    tmp_path: Path, scenario: Callable[[LocalCluster], Awaitable[None]], reason: str
) -> None:
    async def run(cluster: LocalCluster) -> None:
        await scenario(cluster)
        assert reason in cancel_reasons(cluster), "nothing was cancelled: the test proves nothing"
        assert cluster.event_record.find_simultaneous(1) == []

    run_with_links(tmp_path, run, Limits=limits(may_hedge=False))


def test_a_new_process_does_not_take_its_first_attempts_for_overdue(tmp_path: Path) -> None:
    """It has heard of no executor yet, which says nothing against any."""

    async def run(cluster: LocalCluster) -> None:
        move_to_other_zones(cluster)
        await send_long_jobs(cluster)
        assert cancel_reasons(cluster) == set()
        assert len(cluster.event_record.attempts) == JOBS
        assert all(request.is_served for request in cluster.event_record.requests.values())

    run_with_links(tmp_path, run, Limits=limits(may_hedge=False))


def test_hedging_never_has_three_attempts_of_a_job_out(tmp_path: Path) -> None:
    async def run(cluster: LocalCluster) -> None:
        await delay_responses(cluster)
        assert len(cluster.event_record.attempts) > JOBS, "nothing was sent again: the test proves nothing"
        assert cluster.event_record.find_simultaneous(2) == []

    run_with_links(tmp_path, run, Limits=limits(may_hedge=True))
