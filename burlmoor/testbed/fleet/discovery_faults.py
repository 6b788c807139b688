"""Injects faults of discovery and of the nodes' watches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.fleet.fault_kinds import FaultKind, UnsupportedFaultError
from burlmoor.testbed.fleet.fault_timing import begin_interval, sleep_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.testbed.discovery import DiscoveryService
    from burlmoor.testbed.fleet.faults import Fault
    from burlmoor.testbed.fleet.record import RunRecord


class DiscoveryFaultInjector:
    """Injects faults of discovery, each for one node; an overload or an outage affects all nodes."""

    def __init__(self, record: RunRecord, node_names: Sequence[str], discovery: DiscoveryService) -> None:
        self._record = record
        self._node_names = node_names
        self._discovery = discovery

    async def inject(self, fault: Fault, number: int) -> None:
        """Wait until the fault starts, inject it for a node, and revert it at its end.

        An overload or an outage of the service ends with the first fault of its kind that ends.

        Raises:
            UnsupportedFaultError: the fault is not a discovery fault.
        """
        await sleep_until(self._record, fault.start)
        node = self._node_names[number]
        begin_interval(self._record, fault, node)
        match fault.kind:
            case FaultKind.WATCH_STALL:
                self._discovery.stall_watches(node)
            case FaultKind.WATCH_RESET:
                self._discovery.reset_watches(node)
            case FaultKind.DISCOVERY_DELAY:
                await self._delay_changes(fault, node)
            case FaultKind.NODE_ISOLATION:
                await self._isolate(fault, node)
            case FaultKind.DISCOVERY_OVERLOAD:
                await self._overload(fault)
            case FaultKind.DISCOVERY_OUTAGE:
                await self._take_down(fault)
            case _:
                raise UnsupportedFaultError(fault.kind)

    async def _delay_changes(self, fault: Fault, node: str) -> None:
        self._discovery.delay_ms_by_node[node] = fault.magnitude
        await sleep_until(self._record, fault.end)
        self._discovery.delay_ms_by_node.pop(node, None)

    async def _isolate(self, fault: Fault, node: str) -> None:
        self._discovery.isolate(node)
        await sleep_until(self._record, fault.end)
        self._discovery.reconnect(node)

    async def _overload(self, fault: Fault) -> None:
        self._discovery.is_overloaded = True
        await sleep_until(self._record, fault.end)
        self._discovery.is_overloaded = False

    async def _take_down(self, fault: Fault) -> None:
        self._discovery.is_down = True
        await sleep_until(self._record, fault.end)
        self._discovery.is_down = False
