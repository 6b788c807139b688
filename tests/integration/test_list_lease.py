"""Tests with real processes how long a node uses its endpoint list without discovery: the list's lease.

In most tests, discovery lists two of three executors as left while the node can't be notified. The node
counts as notified 6 s later, so from then on no attempt may reach these executors.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

import pytest
import trio

from burlmoor.testbed.clock import now_ms
from tests.support.linked_cluster import (
    SEARCH,
    announce_departures,
    count_served,
    describe_unserved,
    late_attempts,
    open_linked_cluster,
    send_jobs,
)

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.local_cluster import LocalCluster

NOTIFIED_AFTER_MS = 6000.0
GRACE_MS = 250.0 + 150.0  # the drain rule allows 250 ms; the rest is for a loaded machine
LARGE_FLEET = 200  # nodes; sets the jitter of the calls to discovery


async def kill_before_departures(cluster: LocalCluster) -> dict[str, Any]:
    """Kill the node, then list two executors as left; return the list that the node had."""
    node = cluster.nodes[0]
    old_list = cluster.discovery.full_list(node.name)
    await node.kill()
    announce_departures(cluster)
    return old_list


async def test_a_node_sends_nothing_on_its_old_list_after_a_partition(
    tmp_path: Path,
) -> None:
    async with open_linked_cluster(tmp_path) as cluster:
        await send_jobs(cluster, SEARCH, "aa", 20)
        links = cluster.links_of(cluster.nodes[0].name)
        for link in links:
            link.cut()
        await trio.sleep(1.0)
        announce_departures(cluster)
        await trio.sleep(8.0)
        healed_ms = now_ms()
        for link in links:
            link.heal()
        await send_jobs(cluster, SEARCH, "bb", 60, interval=0.03)
        assert not late_attempts(cluster, healed_ms)
        assert count_served(cluster, "bb") > 30, "the node must serve jobs once the partition has healed"


@pytest.mark.parametrize("nodes", [4, LARGE_FLEET])
async def test_a_new_process_sends_nothing_on_its_cached_list(tmp_path: Path, nodes: int) -> None:
    async with open_linked_cluster(tmp_path, Balancers=nodes) as cluster:
        old_list = await kill_before_departures(cluster)
        started_ms = now_ms()
        await cluster.start_node(cluster.nodes[0], old_list)
        await send_jobs(cluster, SEARCH, "bb", 60, interval=0.03)
        assert not late_attempts(cluster, started_ms)
        assert count_served(cluster, "bb") > 30


async def test_a_stalled_process_sends_nothing_on_its_old_list(tmp_path: Path) -> None:
    """The process is partitioned and stopped for 8 s; jobs wait in its sockets when it resumes."""

    async with open_linked_cluster(tmp_path) as cluster:
        node = cluster.nodes[0]
        await send_jobs(cluster, SEARCH, "aa", 20)
        cluster.discovery_link_of(node.name).cut()
        node.send_signal(signal.SIGSTOP)
        await trio.sleep(0.5)
        announce_departures(cluster)
        await trio.sleep(7.5)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_jobs, cluster, SEARCH, "bb", 60, 0.002)
            await trio.sleep(0.3)
            resumed_ms = now_ms()
            node.send_signal(signal.SIGCONT)
        assert not late_attempts(cluster, resumed_ms)
        cluster.discovery_link_of(node.name).heal()
        await send_jobs(cluster, SEARCH, "cc", 60, 0.03)
        assert count_served(cluster, "cc") > 30


@pytest.mark.parametrize("nodes", [4, LARGE_FLEET])
async def test_a_reset_after_a_silence_does_not_renew_the_lease(tmp_path: Path, nodes: int) -> None:
    """The partition heals before the node counts as notified; the call that it delayed is then reset."""

    async with open_linked_cluster(tmp_path, Balancers=nodes) as cluster:
        await send_jobs(cluster, SEARCH, "aa", 20)
        link = cluster.discovery_link_of(cluster.nodes[0].name)
        link.cut()
        announce_departures(cluster)
        notified_ms = now_ms() + NOTIFIED_AFTER_MS
        await trio.sleep(4.5)
        link.heal()
        await trio.sleep(0.02)
        link.cut()  # so that the node receives only the reset
        await trio.sleep((notified_ms + GRACE_MS - now_ms()) / 1000.0)
        await send_jobs(cluster, SEARCH, "bb", 60, 0.03)
        assert not late_attempts(cluster, notified_ms + GRACE_MS)


@pytest.mark.parametrize("delay_seconds", [0.0, 0.05])
async def test_the_list_stays_valid_while_discovery_is_overloaded(
    tmp_path: Path, delay_seconds: float
) -> None:
    """An overloaded discovery rejects each call after some time; the delay is that of another zone."""

    async with open_linked_cluster(tmp_path) as cluster:
        link = cluster.discovery_link_of(cluster.nodes[0].name)
        link.set_delay(delay_seconds)
        link.handshake_seconds = delay_seconds
        await send_jobs(cluster, SEARCH, "aa", 20)
        cluster.discovery.is_overloaded = True
        await trio.sleep(9.0)
        await send_jobs(cluster, SEARCH, "bb", 60, 0.03)
        assert count_served(cluster, "bb") > 50, describe_unserved(cluster, "bb")
        assert not [each for each in cluster.nodes[0].log if each["event"] == "endpoint-list-suspended"]
        cluster.discovery.is_overloaded = False
        await trio.sleep(4.5)
        announce_departures(cluster)
        notified_ms = now_ms()
        await trio.sleep(GRACE_MS / 1000.0)
        await send_jobs(cluster, SEARCH, "cc", 60, 0.03)
        assert count_served(cluster, "cc") > 30
        assert not late_attempts(cluster, notified_ms + GRACE_MS)


async def test_the_list_stays_valid_while_discovery_is_down(tmp_path: Path) -> None:
    """No change counts as notified while discovery is down; without a list, the node would serve no job."""

    async with open_linked_cluster(tmp_path) as cluster:
        cluster.discovery.is_down = True
        await trio.sleep(8.0)
        await send_jobs(cluster, SEARCH, "aa", 60, 0.03)
        assert count_served(cluster, "aa") > 50


async def test_a_process_that_starts_without_discovery_sends_nothing(
    tmp_path: Path,
) -> None:
    """Changes before the outage count as notified, but the cached list may be older than these changes."""

    async with open_linked_cluster(tmp_path) as cluster:
        old_list = await kill_before_departures(cluster)
        cluster.discovery.is_down = True
        started_ms = now_ms()
        await cluster.start_node(cluster.nodes[0], old_list)
        await send_jobs(cluster, SEARCH, "aa", 60, 0.03)
        assert not cluster.event_record.attempts
        cluster.discovery.is_down = False
        await trio.sleep(2.5)
        await send_jobs(cluster, SEARCH, "bb", 60, 0.03)
        assert count_served(cluster, "bb") > 30
        assert not late_attempts(cluster, started_ms)


async def test_a_process_whose_agent_is_silent_since_its_start_sends_nothing(tmp_path: Path) -> None:
    # Guards against jobs sent by a cached list to executors whose drain the agent had before the start.
    async with open_linked_cluster(tmp_path, RegistryMode="push") as cluster:
        node = cluster.nodes[0]
        old_list = await kill_before_departures(cluster)
        cluster.discovery_link_of(node.name).cut()
        started_ms = now_ms()
        await cluster.start_node(node, old_list)
        await send_jobs(cluster, SEARCH, "aa", 60, 0.03)
        assert not cluster.event_record.attempts
        cluster.discovery_link_of(node.name).heal()
        await trio.sleep(1.0)
        await send_jobs(cluster, SEARCH, "bb", 60, 0.03)
        assert count_served(cluster, "bb") > 30
        assert not late_attempts(cluster, started_ms)
