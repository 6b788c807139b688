"""A whole installation on loopback: discovery, executors, nodes as real processes, and their clients."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.event_record import EventRecord, RequestRecord
from burlmoor.testbed.executor import Executor
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.job_classes import JobClass, platform_settings
from burlmoor.testbed.node_process import NodeProcess

# (cores, slots, speed of a core) of executors, in turn
EXECUTOR_SIZES = ((4.0, 6, 2.0), (5.0, 7, 1.2), (5.0, 7, 0.8))


def total_capacity(specs: Mapping[str, ExecutorSpec]) -> float:
    """Work (ms on a core of speed 1) that warm executors do in a ms."""
    return sum(spec.capacity for spec in specs.values())


def executor_specs(
    count: int, sizes: Sequence[tuple[float, int, float]] = EXECUTOR_SIZES, queue: int = 24
) -> dict[str, ExecutorSpec]:
    """Executors of mixed sizes."""
    return {
        f"s-{number:03d}": ExecutorSpec(cores=cores, slots=slots, speed=speed, queue_capacity=queue)
        for number, (cores, slots, speed) in ((n, sizes[n % len(sizes)]) for n in range(count))
    }


class LocalCluster:
    """Owns all parties of one installation and the ledger of what its far sides saw."""

    def __init__(
        self, nursery: trio.Nursery, folder: Path, specs: Mapping[str, ExecutorSpec], nodes: int
    ) -> None:
        self.nursery, self.event_record = nursery, EventRecord()
        self.discovery = DiscoveryService(nursery)
        self.executors = {
            name: Executor(name, spec, self.event_record, nursery) for name, spec in specs.items()
        }
        self.specs = dict(specs)
        self.nodes = [NodeProcess(f"n{number}", folder / f"n{number}") for number in range(nodes)]
        self.clients: list[ClientPool] = []
        self.settings = platform_settings(nodes=nodes)
        self._discovery_at: dict[str, str] = {}

    async def start(self) -> None:
        """Open every stand-in, then start the nodes and wait until they take jobs."""
        for node in self.nodes:
            dials = {
                name: await each.listen_for_node(node.name, node.address)
                for name, each in self.executors.items()
            }
            self._discovery_at[node.name] = await self.discovery.listen_for_node(node.name, dials)
        for name in self.executors:
            self.discovery.set_entry(name)
        async with trio.open_nursery() as starting:
            for node in self.nodes:
                starting.start_soon(self.start_node, node)
        self.clients = [ClientPool(node.address, self.event_record) for node in self.nodes]

    async def start_node(self, node: NodeProcess) -> None:
        """Start one node's process (again)."""
        known = self.discovery.full_list(node.name)
        await node.start(self.nursery, self.settings, self._discovery_at[node.name], known)

    # --- failures that discovery has a part in ----------------------------------------------------

    async def kill_executor(self, name: str, told_after: float, back_after: float) -> None:
        """An executor's process dies; discovery hears of it late, and it comes back cold. Seconds."""
        executor = self.executors[name]
        executor.kill()
        await trio.sleep(told_after)
        self.discovery.set_entry(name, health="left")
        await trio.sleep(max(0.0, back_after - told_after))
        await executor.restart()
        self.discovery.set_entry(name, health="active", born_ms=executor.started_unix_ms)

    async def drain_executor(self, name: str, for_seconds: float) -> None:
        """An executor leaves: it hands back what waits, and comes back as a new process."""
        self.discovery.set_entry(name, health="leaving")
        await trio.sleep(0.1)
        await self.executors[name].return_queued_jobs()
        await trio.sleep(for_seconds)
        executor = self.executors[name]
        executor.kill()
        await executor.restart()
        self.discovery.set_entry(name, health="active", born_ms=executor.started_unix_ms)

    async def stop(self) -> None:
        """Stop the nodes in order and close what lies idle."""
        with trio.CancelScope(shield=True):
            for clients in self.clients:
                clients.close()
            async with trio.open_nursery() as stopping:
                for node in self.nodes:
                    if node.process is not None:
                        stopping.start_soon(node.stop)


@asynccontextmanager
async def local_cluster(
    folder: Path,
    specs: Mapping[str, ExecutorSpec],
    nodes: int = 1,
    options: str | None = None,
    start: bool = True,
    **changes: Any,
) -> AsyncIterator[LocalCluster]:
    """An installation that is up, unless `start` is left to others; `changes` alter the settings."""
    async with trio.open_nursery() as nursery:
        made = LocalCluster(nursery, folder, specs, nodes)
        made.settings = {**made.settings, **changes}
        for node in made.nodes:
            node.options_text = options
        try:
            if start:
                await made.start()
            yield made
            await made.stop()
        finally:
            with trio.CancelScope(shield=True):
                for node in made.nodes:
                    await node.kill()
        nursery.cancel_scope.cancel()


def new_request(ref: str, kind: JobClass, work: float, **more: Any) -> RequestRecord:
    """A client's row for a job that is sent now."""
    return RequestRecord(ref, kind.name, now_ms(), more.pop("timeout_ms", kind.timeout_ms), work, **more)
