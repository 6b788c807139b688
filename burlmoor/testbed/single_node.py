"""One node, and stand-in executors in processes of their own, for loads that one interpreter can't bear."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import trio

from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.job_classes import JobClass, platform_settings
from burlmoor.testbed.node_process import NodeProcess

_SHARDS = 4  # processes of stand-in executors: each bears some 300 jobs a second


def unbounded_executor_specs(count: int) -> dict[str, ExecutorSpec]:
    """Executors with room for all, so that what is measured is the node."""
    return {
        f"s-{n:03d}": ExecutorSpec(cores=10_000.0, slots=10_000, queue_capacity=10_000) for n in range(count)
    }


async def _shard(
    executors: dict[str, ExecutorSpec], relay: tuple[str, int]
) -> tuple[trio.Process, dict[str, str]]:
    """Executors in a process of their own, and where each listens."""
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", "burlmoor.testbed"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdin is not None and process.stdout is not None
    await process.stdin.send_all(msgspec.json.encode({"executors": executors, "relay": relay}) + b"\n")
    line = b""
    while not line.endswith(b"\n"):
        more = await process.stdout.receive_some(65536)
        if not more:
            raise RuntimeError("the stand-in executors have ended")
        line += more
    return process, json.loads(line)


@asynccontextmanager
async def run_single_node(
    executors: dict[str, ExecutorSpec],
    kinds: tuple[JobClass, ...],
    folder: Path,
    command: list[str] | None = None,
) -> AsyncIterator[NodeProcess]:
    """One node, and executors in a few processes of their own, so that they bear more than the node."""
    node, names = NodeProcess("n0", folder), list(executors)
    node.command = command or node.command
    processes: list[trio.Process] = []
    try:
        async with trio.open_nursery() as nursery:
            dials: dict[str, str] = {}
            for part in range(min(_SHARDS, len(names))):
                process, at = await _shard({n: executors[n] for n in names[part::_SHARDS]}, node.address)
                processes.append(process)
                dials |= at
            discovery = DiscoveryService(nursery)
            address = await discovery.listen_for_node("n0", dials)
            for name in names:
                discovery.set_entry(name)
            await node.start(nursery, platform_settings(kinds), address, discovery.full_list("n0"))
            yield node
            await node.stop()
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await node.kill()
            for process in processes:
                process.kill()
                await process.wait()
