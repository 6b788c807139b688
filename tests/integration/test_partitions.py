"""Tests with real processes that requests written to a partitioned executor do not reach it after a drain."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.testbed.clock import now_ms
from tests.support.linked_cluster import (
    AFFECTED_EXECUTORS,
    CONFIRM,
    SEARCH,
    late_attempts,
    open_linked_cluster,
    send_jobs,
)

if TYPE_CHECKING:
    from pathlib import Path

DRAIN_GRACE_MS = 250.0
GRACE_ALLOWANCE_MS = 150.0  # on a loaded machine


@pytest.mark.parametrize("health", ["left", "leaving"])
@pytest.mark.parametrize(("cut_seconds", "drained_seconds"), [(1.2, 1.5), (0.2, 0.45)])
async def test_a_request_delayed_by_a_partition_does_not_reach_an_executor_that_drains_meanwhile(
    tmp_path: Path, health: str, cut_seconds: float, drained_seconds: float
) -> None:
    """When the drain is announced, the attempts have been cancelled, or still wait for their 202."""

    async with open_linked_cluster(tmp_path) as cluster:
        # Some connections to each executor are idle now: requests are written only to those during the cut.
        await send_jobs(cluster, SEARCH, "aa", 60)
        await trio.sleep(0.2)
        links = [link for name in AFFECTED_EXECUTORS for link in cluster.links_to(name)]
        for link in links:
            link.cut()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_jobs, cluster, SEARCH, "bb", 60)
            nursery.start_soon(send_jobs, cluster, CONFIRM, "cc", 60)
            await trio.sleep(cut_seconds)
            delayed_count = sum(link.delayed_direction_count for link in links)
            assert delayed_count > 0, "the partition delayed no connection: the test proves nothing"
            for name in AFFECTED_EXECUTORS:
                cluster.discovery.set_entry(name, health=health)
            notified_ms = now_ms()
            await trio.sleep(drained_seconds)
            for link in links:
                link.heal()
        await trio.sleep(0.5)
        late = late_attempts(cluster, notified_ms + DRAIN_GRACE_MS + GRACE_ALLOWANCE_MS)
        assert not late, (
            f"{len(late)} attempts arrived too long after the node was notified of the drain "
            f"({delayed_count} connections were delayed)"
        )
