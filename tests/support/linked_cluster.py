"""A real node process with three executors behind links, and jobs to send through it."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import trio

from burlmoor.testbed.job_classes import JOB_CLASSES, JobClass
from burlmoor.testbed.local_cluster import LocalCluster, executor_specs, local_cluster, new_request

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

SEARCH, _, CONFIRM = JOB_CLASSES
AFFECTED_EXECUTORS = ("s-000", "s-001")  # two of the three; tests drain, remove or delay these


@asynccontextmanager
async def open_linked_cluster(folder: Path, **settings: Any) -> AsyncIterator[LocalCluster]:
    """Run a real node process with three executors behind links; fails after 60 s."""
    with trio.fail_after(60.0):
        async with local_cluster(folder, executor_specs(3), has_links=True, **settings) as cluster:
            yield cluster


async def send_jobs(
    cluster: LocalCluster, job_class: JobClass, prefix: str, count: int, interval: float = 0.01
) -> None:
    """Send jobs `interval` seconds apart, and wait for all answers."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            request = new_request(f"{prefix}{number:03d}", job_class, 100.0)
            nursery.start_soon(cluster.clients[0].send, request)
            await trio.sleep(interval)


def announce_departures(cluster: LocalCluster) -> None:
    """Have discovery list the executors in `AFFECTED_EXECUTORS` as left; they still accept jobs."""
    for name in AFFECTED_EXECUTORS:
        cluster.discovery.set_entry(name, health="left")


def late_attempts(cluster: LocalCluster, since_ms: float) -> list[str]:
    """Return the ids of the attempts that reached the executors in `AFFECTED_EXECUTORS` after `since_ms`."""
    attempts = cluster.event_record.attempts
    return [
        each.id for each in attempts if each.executor in AFFECTED_EXECUTORS and each.received_ms > since_ms
    ]


def count_served(cluster: LocalCluster, prefix: str) -> int:
    """Count the served jobs whose ids start with `prefix`."""
    requests = cluster.event_record.requests.values()
    return sum(each.is_served for each in requests if each.id.startswith(prefix))


def describe_unserved(cluster: LocalCluster, prefix: str) -> Counter[str]:
    """Return how often each status and reason ended a job whose id starts with `prefix`, for messages."""
    reasons = {
        line["id"]: line["reason"]
        for node in cluster.nodes
        for line in node.log
        if line["event"] == "job-ended"
    }
    return Counter(
        f"{each.status} {reasons.get(each.id)}"
        for each in cluster.event_record.requests.values()
        if each.id.startswith(prefix) and not each.is_served
    )
