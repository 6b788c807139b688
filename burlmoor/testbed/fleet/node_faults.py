"""Injects the faults of node processes: killed, stopped, restarted, reloaded, crowded by idle clients."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.fleet.addresses import Ports, node_address
from burlmoor.testbed.fleet.idle_crowd import IdleCrowd
from burlmoor.testbed.fleet.node_processes import READY_SECONDS, NodeProcesses
from burlmoor.testbed.fleet.record import FaultInterval, RunRecord
from burlmoor.testbed.job_classes import JOB_CLASSES

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.faults import Fault

# Seconds after SIGTERM until SIGKILL may come: the longest deadline, this at most, and a fixed part.
_MAX_COUNTED_DEADLINE_SECONDS = 3.0
_KILL_MARGIN_SECONDS = 0.7
_RELOAD_PAUSE_SECONDS = 0.15  # between two reloads of a series
_SERIES = (signal.SIGTERM, signal.SIGHUP)  # signals that come again while a node shuts down


def kill_after_seconds() -> float:
    """Return the earliest moment after SIGTERM at which the platform may kill a node."""
    longest = max(job_class.timeout_ms for job_class in JOB_CLASSES) / 1000.0
    return min(longest, _MAX_COUNTED_DEADLINE_SECONDS) + _KILL_MARGIN_SECONDS


async def sleep_until(record: RunRecord, at_seconds: float) -> None:
    """Sleep until so many seconds after the start of the load."""
    await trio.sleep(max(0.0, (record.start_ms - now_ms()) / 1000.0 + at_seconds))


def begin_interval(record: RunRecord, fault: Fault, subject: str) -> FaultInterval:
    """Record that a fault begins now, with its planned end until the real one is known."""
    start_ms = now_ms()
    interval = FaultInterval(fault.kind, subject, start_ms, start_ms + fault.duration * 1000.0)
    record.fault_intervals.append(interval)
    return interval


class NodeFaultInjector:
    """Injects one fault into one node at a time; the processes are owned by others."""

    def __init__(self, record: RunRecord, nodes: NodeProcesses, ports: Ports) -> None:
        self._record = record
        self._nodes = nodes
        self._ports = ports
        self._rng = random.Random(record.plan.seed)

    async def inject(self, fault: Fault, number: int) -> None:
        """Wait for the fault's time and inject it into a node."""
        await sleep_until(self._record, fault.start)
        match fault.kind:
            case "stop":
                await self._stop(fault, number)
            case "restart":
                await self._restart(fault, number)
            case "reload":
                await self._reload(fault, number)
            case "crowd":
                await self._crowd(fault, number)
            case _:
                await self._end(fault, number)

    def _begin(self, fault: Fault, number: int) -> FaultInterval:
        return begin_interval(self._record, fault, self._nodes.names[number])

    async def _stop(self, fault: Fault, number: int) -> None:
        interval = self._begin(fault, number)
        process = self._nodes.pause(number)
        await sleep_until(self._record, fault.end)
        self._nodes.resume(process)
        interval.end = now_ms()

    async def _end(self, fault: Fault, number: int) -> None:
        """Kill or terminate a node, and start it again at the fault's end."""
        if self._nodes.is_ended_by_fault(number):
            return  # by another fault, which starts it again
        interval = self._begin(fault, number)
        await self._nodes.end_by_fault(number, fault.kind)
        await sleep_until(self._record, fault.end)
        await self._start_again(number, interval)

    async def _restart(self, fault: Fault, number: int) -> None:
        """Restart a node as the platform does: SIGTERM, more signals, SIGKILL as early as it may come.

        It is started again once the fault's duration has passed since its end.
        """
        if self._nodes.is_ended_by_fault(number):
            return
        interval = self._begin(fault, number)
        await self._nodes.terminate(number, kill_after_seconds(), self._draw_series(int(fault.magnitude)))
        await trio.sleep(fault.duration)
        await self._start_again(number, interval)

    def _draw_series(self, count: int) -> list[tuple[float, signal.Signals]]:
        """Draw signals that follow the first SIGTERM: seconds after it, and which."""
        longest = kill_after_seconds()
        return sorted((self._rng.uniform(0.0, longest), self._rng.choice(_SERIES)) for _ in range(count))

    async def _start_again(self, number: int, interval: FaultInterval) -> None:
        self._nodes.start(number)
        with trio.move_on_after(READY_SECONDS):
            await self._nodes.wait_until_ready(number)
        interval.end = now_ms()

    async def _reload(self, fault: Fault, number: int) -> None:
        """Let a node read its configuration again, several times in a row."""
        self._begin(fault, number)
        for _ in range(max(1, int(fault.magnitude))):
            if not self._nodes.is_ended_by_fault(number):
                self._nodes.send_signal(number, signal.SIGHUP)
            await trio.sleep(_RELOAD_PAUSE_SECONDS)

    async def _crowd(self, fault: Fault, number: int) -> None:
        interval = self._begin(fault, number)
        crowd = IdleCrowd((node_address(number), self._ports.node_http), int(fault.magnitude))
        await crowd.run(fault.duration)
        interval.end = now_ms()
