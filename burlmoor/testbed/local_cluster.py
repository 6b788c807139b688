"""A complete cluster on loopback: real node processes with stand-in discovery, executors and clients."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import trio

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.event_record import EventRecord, RequestRecord
from burlmoor.testbed.executor import Executor
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.job_classes import JobClass, platform_settings
from burlmoor.testbed.network_link import NetworkLink
from burlmoor.testbed.node_process import NODE_COMMAND, NodeProcess
from burlmoor.transport.address import parse_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence
    from pathlib import Path

_RETURN_DELAY_SECONDS = 0.1  # time from the announcement until a draining executor returns its queued jobs


class ExecutorSize(NamedTuple):
    """The size of an executor; `speed` is the speed of each core."""

    cores: float
    slots: int
    speed: float


EXECUTOR_SIZES = (
    ExecutorSize(cores=4.0, slots=6, speed=2.0),
    ExecutorSize(cores=5.0, slots=7, speed=1.2),
    ExecutorSize(cores=5.0, slots=7, speed=0.8),
)


def total_capacity(specs: Mapping[str, ExecutorSpec]) -> float:
    """Return the work (ms on a core of speed 1) that all executors together do per ms after slow start."""
    return sum(spec.capacity for spec in specs.values())


def executor_specs(
    count: int, sizes: Sequence[ExecutorSize] = EXECUTOR_SIZES, queue_capacity: int = 24
) -> dict[str, ExecutorSpec]:
    """Return the specs of `count` executors by name; their sizes cycle through `sizes`."""
    specs = {}
    for number in range(count):
        cores, slots, speed = sizes[number % len(sizes)]
        specs[f"s-{number:03d}"] = ExecutorSpec(
            cores=cores, slots=slots, speed=speed, queue_capacity=queue_capacity
        )
    return specs


class LocalCluster:
    """All parts of one cluster, and the record of what clients and executors observe.

    With `has_links`, nodes connect to executors and discovery, and executors to nodes, over links that can be
    cut. A link accepts connections for an executor that is not running, and then resets them.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        specs: Mapping[str, ExecutorSpec],
        nodes: Sequence[NodeProcess],
        settings: Mapping[str, object],
        *,
        has_links: bool,
    ) -> None:
        self.nursery = nursery
        self.event_record = EventRecord()
        self.discovery = DiscoveryService(nursery)
        self.executors = {
            name: Executor(name, spec, self.event_record, nursery) for name, spec in specs.items()
        }
        self.specs = dict(specs)
        self.nodes = list(nodes)
        self.clients = [ClientPool(node.address, self.event_record) for node in nodes]
        self._settings = settings
        self._has_links = has_links
        self._links: dict[tuple[str, str], NetworkLink] = {}  # by node and executor
        self._discovery_addresses: dict[str, str] = {}  # by node
        self._discovery_links: dict[str, NetworkLink] = {}  # by node
        self._callback_links: dict[str, NetworkLink] = {}  # by node; for the call-backs of all executors

    async def start(self) -> None:
        """Start all stand-ins, then the nodes, and wait until all nodes are ready."""
        for node in self.nodes:
            addresses = {}
            callback_address = await self._open_callback_address(node)
            for name, executor in self.executors.items():
                addresses[name] = await executor.listen_for_node(node.name, callback_address)
                if self._has_links:
                    link = self._links[node.name, name] = NetworkLink(addresses[name], self.nursery)
                    addresses[name] = await link.open()
            discovery_address = await self.discovery.listen_for_node(node.name, addresses)
            if self._has_links:
                link = self._discovery_links[node.name] = NetworkLink(discovery_address, self.nursery)
                discovery_address = await link.open()
            self._discovery_addresses[node.name] = discovery_address
        for name in self.executors:
            self.discovery.set_entry(name)
        async with trio.open_nursery() as starting:
            for node in self.nodes:
                starting.start_soon(self.start_node, node)

    async def _open_callback_address(self, node: NodeProcess) -> tuple[str, int]:
        """Return the address to which executors send call-backs for a node, which may be that of a link."""
        if not self._has_links:
            return node.address
        host, port = node.address
        link = self._callback_links[node.name] = NetworkLink(f"{host}:{port}", self.nursery)
        return parse_address(await link.open())

    async def start_node(self, node: NodeProcess, cached_list: Mapping[str, object] | None = None) -> None:
        """Start or restart a node's process with an endpoint list, by default the current one."""
        if cached_list is None:
            cached_list = self.discovery.full_list(node.name)
        discovery_address = self._discovery_addresses[node.name]
        await node.start(self.nursery, self._settings, discovery_address, cached_list)

    def links_to(self, executor: str) -> list[NetworkLink]:
        """Return the links from all nodes to one executor."""
        return [link for (_, name), link in self._links.items() if name == executor]

    def links_of(self, node: str) -> list[NetworkLink]:
        """Return the links from one node to all executors and to discovery."""
        links = [link for (name, _), link in self._links.items() if name == node]
        return [*links, self._discovery_links[node]]

    def executor_links(self) -> list[NetworkLink]:
        """Return the links from all nodes to all executors."""
        return list(self._links.values())

    def callback_links(self) -> list[NetworkLink]:
        """Return the links over which executors send call-backs to nodes."""
        return list(self._callback_links.values())

    def discovery_link_of(self, node: str) -> NetworkLink:
        """Return the link from one node to discovery."""
        return self._discovery_links[node]

    async def kill_executor(
        self, name: str, announced_after_seconds: float, restarted_after_seconds: float
    ) -> None:
        """Kill an executor, announce it as gone after some seconds, and restart it in slow start.

        Both times count from the kill.
        """
        executor = self.executors[name]
        executor.kill()
        await trio.sleep(announced_after_seconds)
        self.discovery.set_entry(name, health="left")
        await trio.sleep(max(0.0, restarted_after_seconds - announced_after_seconds))
        await self._restart_executor(name)

    async def drain_executor(self, name: str, restarted_after_seconds: float) -> None:
        """Announce that an executor drains, return its queued jobs, and restart it some seconds later."""
        self.discovery.set_entry(name, health="leaving")
        await trio.sleep(_RETURN_DELAY_SECONDS)
        self.executors[name].jobs.return_queued()
        await trio.sleep(restarted_after_seconds)
        self.executors[name].kill()
        await self._restart_executor(name)

    async def _restart_executor(self, name: str) -> None:
        executor = self.executors[name]
        await executor.restart()
        self.discovery.set_entry(name, health="active", started_unix_ms=executor.started_unix_ms)

    async def stop(self) -> None:
        """Stop the nodes gracefully and close idle connections."""
        with trio.CancelScope(shield=True):
            for clients in self.clients:
                clients.close()
            async with trio.open_nursery() as stopping:
                for node in self.nodes:
                    if node.process is not None:
                        stopping.start_soon(node.stop)

    async def kill(self) -> None:
        """Kill the nodes that are still running, also when cancelled."""
        with trio.CancelScope(shield=True):
            for node in self.nodes:
                await node.kill()


@asynccontextmanager
async def local_cluster(
    folder: Path,
    specs: Mapping[str, ExecutorSpec],
    *,
    nodes: int = 1,
    options: str | None = None,
    command: Sequence[str] = NODE_COMMAND,
    start: bool = True,
    has_links: bool = False,
    extra_config: Mapping[str, object] | None = None,
    **settings_overrides: object,
) -> AsyncIterator[LocalCluster]:
    """Run a cluster until the context ends; if `start` is false, the caller starts it.

    `options` is the text of the nodes' options file, `extra_config` further fields of their configuration;
    `settings_overrides` override platform settings by name.
    """
    settings = {**platform_settings(nodes=nodes), **settings_overrides}
    processes = [
        NodeProcess(
            f"n{number}",
            folder / f"n{number}",
            options_text=options,
            command=command,
            extra_config=extra_config,
        )
        for number in range(nodes)
    ]
    async with trio.open_nursery() as nursery:
        cluster = LocalCluster(nursery, specs, processes, settings, has_links=has_links)
        try:
            if start:
                await cluster.start()
            yield cluster
            await cluster.stop()
        finally:
            await cluster.kill()
        nursery.cancel_scope.cancel()


def new_request(
    request_id: str,
    job_class: JobClass,
    work_ms: float,
    *,
    timeout_ms: float | None = None,
    run_after: tuple[str, ...] = (),
) -> RequestRecord:
    """Return a record for a request that is to be sent now, by default with its class's timeout."""
    if timeout_ms is None:
        timeout_ms = job_class.timeout_ms
    return RequestRecord(request_id, job_class.name, now_ms(), timeout_ms, work_ms, run_after)
