"""Injects the faults of a schedule into a run, at their times, and notes when each took place."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.fleet.executors import Action
from burlmoor.testbed.fleet.faults import (
    DISCOVERY_FAULTS,
    EXECUTOR_FAULTS,
    LINK_FAULTS,
    NODE_FAULTS,
    PARTITION_FAULTS,
    Fault,
    resolve_selector,
)
from burlmoor.testbed.fleet.link_faults import active_executor_link_faults, active_node_link_faults
from burlmoor.testbed.fleet.node_faults import NodeFaultInjector, begin_interval, sleep_until
from burlmoor.testbed.fleet.record import FaultInterval, RunRecord

if TYPE_CHECKING:
    from burlmoor.testbed.discovery import DiscoveryService
    from burlmoor.testbed.fleet.addresses import Ports
    from burlmoor.testbed.fleet.helper_processes import HelperProcesses
    from burlmoor.testbed.fleet.node_processes import NodeProcesses

_HAND_BACK_DELAY_SECONDS = 0.1  # from when a drain is announced until the executor hands its queue back

_InjectOne = Callable[[Fault, int], Awaitable[None]]


class FaultInjector:
    """Injects the faults of a run; everything it acts on is owned by others."""

    def __init__(
        self,
        record: RunRecord,
        nodes: NodeProcesses,
        helpers: HelperProcesses,
        discovery: DiscoveryService,
        ports: Ports,
    ) -> None:
        self._record = record
        self._nodes = nodes
        self._node_faults = NodeFaultInjector(record, nodes, ports)
        self._helpers = helpers
        self._discovery = discovery

    async def run(self) -> None:
        """Inject all faults; returns when the last one is over."""
        async with trio.open_nursery() as nursery:
            for fault in self._record.plan.schedule.faults:
                nursery.start_soon(self._inject, fault)
            nursery.start_soon(self._update_link_faults)

    async def _inject(self, fault: Fault) -> None:
        """Inject one fault into each of those that it selects, staggered by its parameters."""
        if fault.kind in LINK_FAULTS:
            start_ms = self._record.start_ms + fault.start * 1000.0
            end_ms = self._record.start_ms + fault.end * 1000.0
            self._record.fault_intervals.append(FaultInterval(fault.kind, "links", start_ms, end_ms))
            return
        inject_one = self._select_injection(fault.kind)
        seed = self._record.plan.schedule.seed
        if fault.kind in EXECUTOR_FAULTS:
            numbers = resolve_selector(self._record.executor_population(), fault.executors, seed)
        else:
            numbers = resolve_selector(self._record.node_population(), fault.nodes, seed)
        async with trio.open_nursery() as nursery:
            for place, number in enumerate(numbers):
                start = fault.start + fault.stagger * place / len(numbers)
                duration = fault.duration + fault.restart_stagger * place / len(numbers)
                staggered = msgspec.structs.replace(fault, start=start, duration=duration)
                nursery.start_soon(inject_one, staggered, number)

    def _select_injection(self, kind: str) -> _InjectOne:
        special: dict[str, _InjectOne] = {
            "die": self._kill_executor,
            "drain": self._drain_executor,
            "vanish": self._announce_vanished_executor,
        }
        if kind in special:
            return special[kind]
        if kind in NODE_FAULTS:
            return self._node_faults.inject
        if kind in EXECUTOR_FAULTS:
            return self._degrade_executor
        assert kind in DISCOVERY_FAULTS
        return self._disturb_discovery

    # --- executors ------------------------------------------------------------------------------

    async def _kill_executor(self, fault: Fault, number: int) -> None:
        await sleep_until(self._record, fault.start)
        name = self._record.executor_names()[number]
        interval = begin_interval(self._record, fault, name)
        self._helpers.command_executor(name, "die")
        await trio.sleep(fault.notification_delay)
        self._discovery.set_entry(name, health="left")
        await sleep_until(self._record, fault.end)
        self._restart_executor(name)
        interval.end = now_ms()

    async def _drain_executor(self, fault: Fault, number: int) -> None:
        await sleep_until(self._record, fault.start)
        name = self._record.executor_names()[number]
        interval = begin_interval(self._record, fault, name)
        self._discovery.set_entry(name, health="leaving")
        await trio.sleep(_HAND_BACK_DELAY_SECONDS)
        self._helpers.command_executor(name, "hand_back")
        await sleep_until(self._record, fault.end)
        self._helpers.command_executor(name, "die")
        self._restart_executor(name)
        interval.end = now_ms()

    async def _announce_vanished_executor(self, fault: Fault, number: int) -> None:
        """Let discovery announce an executor that is cut off, and that it is back; its process goes on."""
        await sleep_until(self._record, fault.start)
        name = self._record.executor_names()[number]
        interval = begin_interval(self._record, fault, name)
        with trio.move_on_after(fault.duration):
            await trio.sleep(fault.notification_delay)
            self._discovery.set_entry(name, health="left")
        await sleep_until(self._record, fault.end)
        interval.end = now_ms()
        await trio.sleep(fault.notification_delay)
        self._discovery.set_entry(name, health="active")

    def _restart_executor(self, name: str) -> None:
        self._helpers.command_executor(name, "restart")
        self._discovery.set_entry(name, health="active", started_unix_ms=time.time() * 1000.0)

    async def _degrade_executor(self, fault: Fault, number: int) -> None:
        """Let an executor stand still, be slow or fail every job at once."""
        await sleep_until(self._record, fault.start)
        name = self._record.executor_names()[number]
        interval = begin_interval(self._record, fault, name)
        action = msgspec.convert(fault.kind, Action)
        self._helpers.command_executor(name, action, max(1.0, fault.magnitude))
        await sleep_until(self._record, fault.end)
        self._helpers.command_executor(name, action, 0.0)
        interval.end = now_ms()

    # --- discovery and links --------------------------------------------------------------------

    async def _disturb_discovery(self, fault: Fault, number: int) -> None:
        await sleep_until(self._record, fault.start)
        name = self._nodes.names[number]
        begin_interval(self._record, fault, name)
        if fault.kind == "late":
            self._discovery.delay_ms_by_node[name] = fault.magnitude
            await sleep_until(self._record, fault.end)
            self._discovery.delay_ms_by_node.pop(name, None)
        elif fault.kind == "silent":
            self._discovery.stall_watches(name)
        elif fault.kind == "broken":
            self._discovery.reset_watches(name)
        elif fault.kind == "isolate":
            self._discovery.isolate(name)
            await sleep_until(self._record, fault.end)
            self._discovery.reconnect(name)
        elif fault.kind == "crowded":
            self._discovery.is_overloaded = True
            await sleep_until(self._record, fault.end)
            self._discovery.is_overloaded = False
        else:
            self._discovery.is_down = True
            await sleep_until(self._record, fault.end)
            self._discovery.is_down = False

    async def _update_link_faults(self) -> None:
        """Send the link faults in effect to the relays and the switch at each change."""
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
