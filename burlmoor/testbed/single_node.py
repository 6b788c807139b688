"""Runs one node with stand-in executors in separate processes, for loads that exceed one interpreter."""

from __future__ import annotations

import json
import subprocess
import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from burlmoor.errors import BurlmoorError
from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.executor_process import ExecutorProcessPlan
from burlmoor.testbed.job_classes import JobClass, platform_settings
from burlmoor.testbed.node_process import NODE_COMMAND, NodeProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from pathlib import Path

_MAX_EXECUTOR_PROCESSES = 4
_UNLIMITED = 10_000
_RECEIVE_BYTES = 65_536


class ExecutorsExitedError(BurlmoorError, RuntimeError):
    """A process of stand-in executors exited before it was ready; `executors` holds their names."""

    def __init__(self, executors: list[str]) -> None:
        super().__init__(
            f"the process of the stand-in executors {', '.join(executors)} exited before it was ready"
        )
        self.executors = executors


class _ExecutorProcess(NamedTuple):
    """A running process of stand-in executors."""

    process: trio.Process
    addresses: dict[str, str]  # by executor


def unbounded_executor_specs(count: int) -> dict[str, ExecutorSpec]:
    """Return specs of executors that never limit the load, so that only the node is measured."""
    spec = ExecutorSpec(cores=float(_UNLIMITED), slots=_UNLIMITED, queue_capacity=_UNLIMITED)
    return {f"s-{number:03d}": spec for number in range(count)}


async def _start_executors(
    specs: dict[str, ExecutorSpec], callback_address: tuple[str, int]
) -> _ExecutorProcess:
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", "burlmoor.testbed"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdin is not None
    assert process.stdout is not None
    plan = ExecutorProcessPlan(specs, callback_address)
    await process.stdin.send_all(msgspec.json.encode(plan) + b"\n")
    line = b""
    while not line.endswith(b"\n"):
        data = await process.stdout.receive_some(_RECEIVE_BYTES)
        if not data:
            raise ExecutorsExitedError(list(specs))
        line += data
    return _ExecutorProcess(process, json.loads(line))


async def _start_all_executors(
    specs: dict[str, ExecutorSpec], callback_address: tuple[str, int], processes: list[trio.Process]
) -> dict[str, str]:
    """Start processes that share the executors, and return the address of each executor.

    Each process is added to `processes` as it starts, so that the caller can kill it after an error too.
    """
    names = list(specs)
    addresses: dict[str, str] = {}
    for part in range(min(_MAX_EXECUTOR_PROCESSES, len(names))):
        part_specs = {name: specs[name] for name in names[part::_MAX_EXECUTOR_PROCESSES]}
        started = await _start_executors(part_specs, callback_address)
        processes.append(started.process)
        addresses |= started.addresses
    return addresses


@asynccontextmanager
async def run_single_node(
    specs: dict[str, ExecutorSpec],
    job_classes: Sequence[JobClass],
    folder: Path,
    command: Sequence[str] = NODE_COMMAND,
) -> AsyncIterator[NodeProcess]:
    """Run one node, with its executors in up to four processes so that their throughput exceeds the node's.

    `command` starts the node's process, by default `python -m burlmoor`.
    """
    node = NodeProcess("n0", folder, command=command)
    processes: list[trio.Process] = []
    try:
        async with trio.open_nursery() as nursery:
            addresses = await _start_all_executors(specs, node.address, processes)
            discovery = DiscoveryService(nursery)
            discovery_address = await discovery.listen_for_node(node.name, addresses)
            for name in specs:
                discovery.set_entry(name)
            cached_list = discovery.full_list(node.name)
            await node.start(nursery, platform_settings(job_classes), discovery_address, cached_list)
            yield node
            await node.stop()
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await node.kill()
            for process in processes:
                process.kill()
                await process.wait()
