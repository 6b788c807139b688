"""Injects faults of executors: kills, drains, partitions, hangs, slowdowns, and errors for every job."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.fleet.executors import ExecutorAction
from burlmoor.testbed.fleet.fault_kinds import FaultKind, UnsupportedFaultError
from burlmoor.testbed.fleet.fault_timing import begin_interval, sleep_until
from burlmoor.testbed.messages import EndpointHealth

if TYPE_CHECKING:
    from burlmoor.testbed.discovery import DiscoveryService
    from burlmoor.testbed.fleet.faults import Fault
    from burlmoor.testbed.fleet.helper_processes import HelperProcesses
    from burlmoor.testbed.fleet.record import FaultInterval, RunRecord

# From the announcement of a drain until the executor returns its queued jobs.
_RETURN_DELAY_SECONDS = 0.1
_DEGRADATIONS = {
    FaultKind.EXECUTOR_HANG: ExecutorAction.HANG,
    FaultKind.EXECUTOR_SLOWDOWN: ExecutorAction.SLOW_DOWN,
    FaultKind.EXECUTOR_ERRORS: ExecutorAction.FAIL_JOBS,
}


class ExecutorFaultInjector:
    """Injects faults, each into one executor; does not own the processes or discovery."""

    def __init__(self, record: RunRecord, helpers: HelperProcesses, discovery: DiscoveryService) -> None:
        self._record = record
        self._helpers = helpers
        self._discovery = discovery

    async def inject(self, fault: Fault, number: int) -> None:
        """Wait until the fault starts, inject it into an executor, and revert it at its end.

        Raises:
            UnsupportedFaultError: the fault is not an executor fault.
        """
        await sleep_until(self._record, fault.start)
        name = self._record.executor_names()[number]
        interval = begin_interval(self._record, fault, name)
        match fault.kind:
            case FaultKind.EXECUTOR_KILL:
                await self._kill(fault, name, interval)
            case FaultKind.EXECUTOR_DRAIN:
                await self._drain(fault, name, interval)
            case FaultKind.EXECUTOR_PARTITION:
                await self._announce_partition(fault, name, interval)
            case FaultKind.EXECUTOR_HANG | FaultKind.EXECUTOR_SLOWDOWN | FaultKind.EXECUTOR_ERRORS:
                await self._degrade(fault, name, interval)
            case _:
                raise UnsupportedFaultError(fault.kind)

    async def _kill(self, fault: Fault, name: str, interval: FaultInterval) -> None:
        self._helpers.command_executor(name, ExecutorAction.KILL)
        await trio.sleep(fault.notification_delay)
        self._discovery.set_entry(name, health=EndpointHealth.GONE)
        await sleep_until(self._record, fault.end)
        self._restart(name)
        interval.end_ms = now_ms()

    async def _drain(self, fault: Fault, name: str, interval: FaultInterval) -> None:
        self._discovery.set_entry(name, health=EndpointHealth.DRAINING)
        await trio.sleep(_RETURN_DELAY_SECONDS)
        self._helpers.command_executor(name, ExecutorAction.RETURN_QUEUED)
        await sleep_until(self._record, fault.end)
        self._helpers.command_executor(name, ExecutorAction.KILL)
        self._restart(name)
        interval.end_ms = now_ms()

    async def _announce_partition(self, fault: Fault, name: str, interval: FaultInterval) -> None:
        """Announce a partitioned executor as gone, and as active afterwards; its process keeps running."""
        with trio.move_on_after(fault.duration):
            await trio.sleep(fault.notification_delay)
            self._discovery.set_entry(name, health=EndpointHealth.GONE)
        await sleep_until(self._record, fault.end)
        interval.end_ms = now_ms()
        await trio.sleep(fault.notification_delay)
        self._discovery.set_entry(name, health=EndpointHealth.ACTIVE)

    async def _degrade(self, fault: Fault, name: str, interval: FaultInterval) -> None:
        """Make an executor hang, slow down or fail every job immediately, until the fault ends."""
        action = _DEGRADATIONS[fault.kind]
        self._helpers.command_executor(name, action, max(1.0, fault.magnitude))
        await sleep_until(self._record, fault.end)
        self._helpers.command_executor(name, action, 0.0)  # a magnitude of 0 ends the degradation
        interval.end_ms = now_ms()

    def _restart(self, name: str) -> None:
        self._helpers.command_executor(name, ExecutorAction.RESTART)
        self._discovery.set_entry(name, health=EndpointHealth.ACTIVE, started_unix_ms=time.time() * 1000.0)
