"""Injects the faults of a schedule into a run on time, and records their intervals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from burlmoor.testbed.fleet.discovery_faults import DiscoveryFaultInjector
from burlmoor.testbed.fleet.executor_faults import ExecutorFaultInjector
from burlmoor.testbed.fleet.fault_kinds import EXECUTOR_FAULTS, LINK_FAULTS, NODE_FAULTS, PARTITION_FAULTS
from burlmoor.testbed.fleet.fault_selectors import resolve_selector
from burlmoor.testbed.fleet.fault_timing import sleep_until
from burlmoor.testbed.fleet.link_faults import active_executor_link_faults, active_node_link_faults
from burlmoor.testbed.fleet.node_faults import NodeFaultInjector
from burlmoor.testbed.fleet.record import LINKS_SUBJECT, FaultInterval, RunRecord

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.discovery import DiscoveryService
    from burlmoor.testbed.fleet.addresses import Ports
    from burlmoor.testbed.fleet.faults import Fault
    from burlmoor.testbed.fleet.helper_processes import HelperProcesses
    from burlmoor.testbed.fleet.node_processes import NodeProcesses


class FaultInjector:
    """Injects the faults of a run; does not own the processes or services that it acts on."""

    def __init__(
        self,
        record: RunRecord,
        nodes: NodeProcesses,
        helpers: HelperProcesses,
        discovery: DiscoveryService,
        ports: Ports,
        folder: Path,
    ) -> None:
        self._record = record
        self._helpers = helpers
        self._node_faults = NodeFaultInjector(record, nodes, ports, folder)
        self._executor_faults = ExecutorFaultInjector(record, helpers, discovery)
        self._discovery_faults = DiscoveryFaultInjector(record, nodes.names, discovery)

    async def run(self) -> None:
        """Inject all faults, and return when the last one is over."""
        async with trio.open_nursery() as nursery:
            for fault in self._record.plan.schedule.faults:
                if fault.kind in LINK_FAULTS:
                    self._record_link_fault(fault)
                else:
                    nursery.start_soon(self._inject, fault)
            nursery.start_soon(self._update_link_faults)

    def _record_link_fault(self, fault: Fault) -> None:
        start_ms = self._record.start_ms + fault.start * 1000.0
        end_ms = self._record.start_ms + fault.end * 1000.0
        self._record.fault_intervals.append(FaultInterval(fault.kind, LINKS_SUBJECT, start_ms, end_ms))

    async def _inject(self, fault: Fault) -> None:
        """Inject a fault into each selected node or executor, staggered as the fault specifies."""
        numbers = self._select_members(fault)
        async with trio.open_nursery() as nursery:
            for position, number in enumerate(numbers):
                start = fault.start + fault.stagger * position / len(numbers)
                duration = fault.duration + fault.restart_stagger * position / len(numbers)
                staggered = msgspec.structs.replace(fault, start=start, duration=duration)
                nursery.start_soon(self._inject_into, staggered, number)

    def _select_members(self, fault: Fault) -> list[int]:
        """Return the numbers of the nodes or executors that a fault selects."""
        seed = self._record.plan.schedule.seed
        if fault.kind in EXECUTOR_FAULTS:
            return resolve_selector(self._record.executor_population(), fault.executors, seed)
        return resolve_selector(self._record.node_population(), fault.nodes, seed)

    async def _inject_into(self, fault: Fault, number: int) -> None:
        if fault.kind in EXECUTOR_FAULTS:
            await self._executor_faults.inject(fault, number)
        elif fault.kind in NODE_FAULTS:
            await self._node_faults.inject(fault, number)
        else:
            await self._discovery_faults.inject(fault, number)

    async def _update_link_faults(self) -> None:
        """Send the active link faults to the relays and the switch whenever they change."""
        schedule = self._record.plan.schedule
        nodes = self._record.node_population()
        executors = self._record.executor_population()
        faults = [fault for fault in schedule.faults if fault.kind in (*LINK_FAULTS, *PARTITION_FAULTS)]
        for at_seconds in sorted({at for fault in faults for at in (fault.start, fault.end)}):
            await sleep_until(self._record, at_seconds)
            self._helpers.apply_link_faults(
                active_executor_link_faults(schedule, at_seconds, nodes, executors),
                active_node_link_faults(schedule, at_seconds, nodes),
            )
