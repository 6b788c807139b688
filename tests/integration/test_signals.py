"""Tests that no signal ends a process without an orderly shutdown, from its start to its exit.

Until a handler for SIGHUP is installed, its default action is to end the process.
"""

from __future__ import annotations

import signal
import sys
import tomllib
from pathlib import Path

import pytest
import trio

from burlmoor.testbed.local_cluster import LocalCluster, executor_specs, local_cluster
from tests.support.linked_cluster import SEARCH, count_served, send_jobs
from tests.support.polling import poll_until

ROOT = Path(__file__).parents[2]
SIGNAL_INTERVAL_SECONDS = 0.004
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)  # in the signal masks of /proc/PID/status


def start_command() -> list[str]:
    """Return the command with which the platform starts a node, run by this interpreter."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return ["/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)]


def catches_or_ignores_sighup(pid: int) -> bool:
    status = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    return any(int(status[field], 16) & SIGHUP_BIT for field in ("SigIgn", "SigCgt"))


async def send_repeatedly(cluster: LocalCluster, series: list[signal.Signals]) -> None:
    """Send the signals in turn, repeatedly, until the process has ended.

    The first is sent once the process ignores or catches SIGHUP. Before that, nothing can prevent the default
    action, which ends the process.
    """
    node = cluster.nodes[0]

    async def is_started() -> bool:
        return node.process is not None and catches_or_ignores_sighup(node.pid)

    await poll_until(is_started, interval_seconds=0.0)
    assert node.process is not None
    while node.process.poll() is None:
        for signal_number in series:
            node.send_signal(signal_number)
            await trio.sleep(SIGNAL_INTERVAL_SECONDS)


@pytest.mark.parametrize("series", [[signal.SIGHUP], [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]])
async def test_a_process_starts_and_ends_with_status_0_under_repeated_signals(
    tmp_path: Path, series: list[signal.Signals]
) -> None:
    with trio.fail_after(60.0):
        async with local_cluster(tmp_path, executor_specs(3), start=False) as cluster:
            node = cluster.nodes[0]
            node.command = start_command()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_repeatedly, cluster, [signal.SIGHUP])
                await cluster.start()
                await send_jobs(cluster, SEARCH, "aa", 10)
                assert count_served(cluster, "aa") == 10
                nursery.start_soon(send_repeatedly, cluster, series)
                assert await node.stop() == 0
