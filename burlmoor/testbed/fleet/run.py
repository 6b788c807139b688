"""Runs a fleet: starts the processes, sends the load, injects the faults and collects the observations."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import psutil
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.discovery import DiscoveryService
from burlmoor.testbed.fleet.addresses import find_free_ports
from burlmoor.testbed.fleet.fault_injection import FaultInjector
from burlmoor.testbed.fleet.fault_timing import sleep_until
from burlmoor.testbed.fleet.helper_processes import HelperProcesses
from burlmoor.testbed.fleet.load import Load, mean_job_work_ms
from burlmoor.testbed.fleet.node_configuration import set_up_discovery
from burlmoor.testbed.fleet.node_processes import NodeProcesses
from burlmoor.testbed.fleet.process_allocation import ProcessCounts, allocate_cores
from burlmoor.testbed.fleet.record import RunPlan, RunRecord
from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.local_cluster import executor_specs, total_capacity

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

_LOAD_START_DELAY_SECONDS = 1.0  # after all nodes are ready
_CLIENT_FINISH_TIMEOUT_SECONDS = 12.0  # after the longest timeout of a job
_PROGRESS_INTERVAL_SECONDS = 10
_ZONE_NAMES = "abcdefgh"


def make_record(plan: RunPlan) -> RunRecord:
    """Return the record of a run that has not started."""
    specs = executor_specs(plan.executors)
    scale = plan.utilization * total_capacity(specs) * 1000.0 / (plan.rate * mean_job_work_ms())
    load = Load(
        rate=plan.rate,
        seconds=plan.seconds,
        nodes=plan.nodes,
        seed=plan.seed,
        scale=scale,
        skew=plan.skew,
        first_node_factor=plan.first_node_factor,
        hot_key_fraction=plan.hot_key_fraction,
        key_count=plan.key_count,
    )
    return RunRecord(
        plan,
        load,
        specs,
        node_zones=[_ZONE_NAMES[number % plan.zones] for number in range(plan.nodes)],
        executor_zones=[_ZONE_NAMES[number % plan.zones] for number in range(plan.executors)],
        start_ms=0.0,
    )


class Fleet:
    """Runs a plan; passes each progress message to `report_progress`."""

    def __init__(
        self, plan: RunPlan, folder: Path, report_progress: Callable[[str], None] = lambda _: None
    ) -> None:
        self.plan = plan
        self.record = make_record(plan)
        self._folder = folder
        self._report_progress = report_progress

    async def run(self, counts: ProcessCounts | None = None) -> RunRecord:
        """Run the plan and return the record; all processes have ended when it returns or raises.

        Raises:
            ProcessError: a process failed.
            trio.TooSlowError: the nodes were not ready in time.
        """
        counts = counts or ProcessCounts()
        self._folder.mkdir(parents=True, exist_ok=True)
        ports = find_free_ports()
        cores = allocate_cores()
        async with (
            trio.open_nursery() as nursery,
            HelperProcesses(self.record, ports, self._folder, cores.helpers) as helpers,
        ):
            discovery = DiscoveryService(nursery)
            await helpers.start(counts)
            configurations = await set_up_discovery(self.record, ports, discovery)
            async with NodeProcesses(
                self.record, ports, self._folder, cores.nodes, discovery, configurations
            ) as nodes:
                await self._start_nodes(nodes)
                injector = FaultInjector(self.record, nodes, helpers, discovery, ports, self._folder)
                await self._run_load(injector, helpers, counts)
                await self._collect_observations(nodes, helpers, discovery)
            nursery.cancel_scope.cancel()
        return self.record

    async def _start_nodes(self, nodes: NodeProcesses) -> None:
        started = time.monotonic()
        await nodes.start_all()
        self.record.startup_seconds = time.monotonic() - started
        self._report_progress(f"{self.plan.nodes} nodes ready after {self.record.startup_seconds:.1f} s")

    async def _run_load(
        self, injector: FaultInjector, helpers: HelperProcesses, counts: ProcessCounts
    ) -> None:
        """Send the load and inject the faults; return when both are over and the clients have all answers."""
        record = self.record
        record.start_ms = now_ms() + _LOAD_START_DELAY_SECONDS * 1000.0
        helpers.start_clients(counts.clients)
        await trio.sleep(_LOAD_START_DELAY_SECONDS)
        psutil.cpu_percent()  # the next call returns the usage since this one
        async with trio.open_nursery() as nursery:
            nursery.start_soon(injector.run)
            for second in range(1, int(self.plan.seconds) + 1):
                await sleep_until(record, float(second))
                if second % _PROGRESS_INTERVAL_SECONDS == 0:
                    self._report_progress(f"{second} of {self.plan.seconds:.0f} s")
        record.cores_used = psutil.cpu_percent() / 100.0 * (psutil.cpu_count() or 1)
        longest_timeout_seconds = max(job_class.timeout_ms for job_class in JOB_CLASSES) / 1000.0
        await helpers.wait_for_clients(longest_timeout_seconds + _CLIENT_FINISH_TIMEOUT_SECONDS)

    async def _collect_observations(
        self, nodes: NodeProcesses, helpers: HelperProcesses, discovery: DiscoveryService
    ) -> None:
        """Stop the executors and nodes, and add what was observed to the record."""
        record = self.record
        nodes.record_usage_and_exits()
        await helpers.finish_executors()
        await nodes.stop_all()
        record.notifications = list(discovery.notifications)
        for attempts in helpers.take_attempts():
            record.attempts += attempts
        for output in helpers.take_client_outputs():
            record.requests += output.requests
            record.max_send_delay_ms = max(record.max_send_delay_ms, output.max_send_delay_ms)
