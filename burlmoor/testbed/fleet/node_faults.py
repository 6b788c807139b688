"""Injects faults of node processes: kills, pauses, restarts, reloads and floods."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import msgspec
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import RequestRecord
from burlmoor.testbed.fleet import input_flood, persistent_clients
from burlmoor.testbed.fleet.addresses import Ports, node_address
from burlmoor.testbed.fleet.child_process import ChildProcess, ProcessError
from burlmoor.testbed.fleet.connection_flood import ConnectionFlood
from burlmoor.testbed.fleet.fault_kinds import FaultKind, UnsupportedFaultError
from burlmoor.testbed.fleet.fault_timing import begin_interval, sleep_until
from burlmoor.testbed.fleet.node_processes import READY_TIMEOUT_SECONDS, DelayedSignal, NodeProcesses
from burlmoor.testbed.fleet.persistent_clients import PersistentClientsConfig
from burlmoor.testbed.job_classes import JOB_CLASSES

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.fleet.faults import Fault
    from burlmoor.testbed.fleet.record import FaultInterval, RunRecord

# The earliest SIGKILL after SIGTERM is the longest job deadline, up to this limit, plus the margin.
_MAX_COUNTED_DEADLINE_SECONDS = 3.0
_KILL_MARGIN_SECONDS = 0.7
_RELOAD_PAUSE_SECONDS = 0.15  # between consecutive reloads
_CLIENTS_FINISH_TIMEOUT_SECONDS = 15.0  # for its last answers
_MIN_STALL_MS = 40.0
# Between two stalls of a node.
_MIN_STALL_GAP_SECONDS = 0.1
_MAX_STALL_GAP_SECONDS = 0.6
_FURTHER_SIGNALS = (signal.SIGTERM, signal.SIGHUP)  # sent to a node while it shuts down


def kill_after_seconds() -> float:
    """Return the earliest time after SIGTERM at which the platform may kill a node."""
    longest_deadline_seconds = max(job_class.timeout_ms for job_class in JOB_CLASSES) / 1000.0
    return min(longest_deadline_seconds, _MAX_COUNTED_DEADLINE_SECONDS) + _KILL_MARGIN_SECONDS


class NodeFaultInjector:
    """Injects faults, each into one node; does not own the processes."""

    def __init__(self, record: RunRecord, nodes: NodeProcesses, ports: Ports, folder: Path) -> None:
        self._record = record
        self._nodes = nodes
        self._ports = ports
        self._folder = folder
        self._rng = random.Random(record.plan.seed)
        self._stall_rng = random.Random(f"{record.plan.seed}:stalls")
        self._flood_rng = random.Random(f"{record.plan.seed}:floods")
        self._paused: set[int] = set()

    async def inject(self, fault: Fault, number: int) -> None:
        """Wait until the fault starts, and inject it into a node.

        Raises:
            UnsupportedFaultError: the fault is not a node fault.
        """
        await sleep_until(self._record, fault.start)
        match fault.kind:
            case FaultKind.NODE_PAUSE:
                await self._pause(fault, number)
            case FaultKind.NODE_RESTART:
                await self._restart(fault, number)
            case FaultKind.NODE_RELOAD:
                await self._reload(fault, number)
            case FaultKind.CONNECTION_FLOOD | FaultKind.INPUT_FLOOD:
                await self._flood(fault, number)
            case FaultKind.PERSISTENT_CLIENTS:
                await self._run_persistent_clients(fault, number)
            case FaultKind.NODE_STALLS:
                await self._stall_repeatedly(fault, number)
            case FaultKind.NODE_KILL | FaultKind.NODE_TERMINATION:
                await self._end(fault, number)
            case _:
                raise UnsupportedFaultError(fault.kind)

    def _begin(self, fault: Fault, number: int) -> FaultInterval:
        return begin_interval(self._record, fault, self._nodes.names[number])

    async def _pause(self, fault: Fault, number: int) -> None:
        interval = self._begin(fault, number)
        self._paused.add(number)
        process = self._nodes.pause(number)
        await sleep_until(self._record, fault.end)
        self._nodes.resume(process)
        self._paused.discard(number)
        interval.end_ms = now_ms()

    async def _end(self, fault: Fault, number: int) -> None:
        """Kill or terminate a node, and start it again when the fault ends."""
        if self._nodes.is_ended_by_fault(number):
            return  # the other fault starts the node again
        interval = self._begin(fault, number)
        await self._nodes.kill_or_terminate(number, fault.kind)
        await sleep_until(self._record, fault.end)
        await self._start_again(number, interval)

    async def _restart(self, fault: Fault, number: int) -> None:
        """Restart a node as the platform does: SIGTERM, more signals, then SIGKILL as early as allowed.

        The node is started again after the fault's duration, counted from the end of its process.
        """
        if self._nodes.is_ended_by_fault(number):
            return
        interval = self._begin(fault, number)
        await self._nodes.stop_for_restart(
            number, kill_after_seconds(), self._draw_signals(int(fault.magnitude))
        )
        await trio.sleep(fault.duration)
        await self._start_again(number, interval)

    def _draw_signals(self, count: int) -> list[DelayedSignal]:
        """Draw the signals that follow the first SIGTERM, ordered by time."""
        latest_seconds = kill_after_seconds()
        return sorted(
            DelayedSignal(self._rng.uniform(0.0, latest_seconds), self._rng.choice(_FURTHER_SIGNALS))
            for _ in range(count)
        )

    async def _start_again(self, number: int, interval: FaultInterval) -> None:
        self._nodes.start(number)
        with trio.move_on_after(READY_TIMEOUT_SECONDS):
            await self._nodes.wait_until_ready(number)
        interval.end_ms = now_ms()

    async def _reload(self, fault: Fault, number: int) -> None:
        """Make a node reload its configuration, several times in a row."""
        self._begin(fault, number)
        for _ in range(max(1, int(fault.magnitude))):
            if not self._nodes.is_ended_by_fault(number):
                self._nodes.send_signal(number, signal.SIGHUP)
            await trio.sleep(_RELOAD_PAUSE_SECONDS)

    async def _flood(self, fault: Fault, number: int) -> None:
        """Take up a node's connections with idle clients, or flood it with input."""
        interval = self._begin(fault, number)
        if fault.kind is FaultKind.INPUT_FLOOD:
            await self._flood_with_input(fault, number)
        else:
            flood = ConnectionFlood((node_address(number), self._ports.node_http), int(fault.magnitude))
            await flood.run(fault.duration)
        interval.end_ms = now_ms()

    async def _flood_with_input(self, fault: Fault, number: int) -> None:
        """Flood a node with input of a kind that is drawn."""
        kind = self._flood_rng.choice(input_flood.KINDS_WITHOUT_JOBS)
        address = [node_address(number), str(self._ports.node_http)]
        process = ChildProcess(
            ["-m", input_flood.__name__, kind, *address, str(int(fault.magnitude)), str(fault.duration)],
            self._folder / "input-flood.log",
        )
        try:
            await sleep_until(self._record, fault.end)
        finally:
            await process.kill()

    async def _run_persistent_clients(self, fault: Fault, number: int) -> None:
        """Let persistent clients use a node, and add their requests to the record.

        Raises:
            ProcessError: the process of the clients ended, or did not finish in time.
        """
        interval = self._begin(fault, number)
        output = self._folder / f"clients-of-{number}.json"
        config = PersistentClientsConfig(
            address=(node_address(number), self._ports.node_http),
            node=number,
            clients=int(fault.magnitude),
            seconds=fault.duration,
            seed=self._record.plan.seed,
            output_path=str(output),
        )
        process = ChildProcess(
            ["-m", persistent_clients.__name__], self._folder / "persistent-clients.log", has_pipes=True
        )
        try:
            process.send_line(config)
            if not await process.wait_for_line(fault.duration + _CLIENTS_FINISH_TIMEOUT_SECONDS):
                reason = f"did not finish (exit status {process.exit_status})"
                raise ProcessError(persistent_clients.__name__, reason)
        finally:
            await process.kill()
        self._record.requests += msgspec.json.decode(output.read_bytes(), type=list[RequestRecord])
        interval.end_ms = now_ms()

    async def _stall_repeatedly(self, fault: Fault, number: int) -> None:
        """Stop a node for short times; one that is paused already is left alone."""
        interval = self._begin(fault, number)
        end_ms = now_ms() + fault.duration * 1000.0
        while now_ms() < end_ms:
            await trio.sleep(self._stall_rng.uniform(_MIN_STALL_GAP_SECONDS, _MAX_STALL_GAP_SECONDS))
            if number in self._paused:
                continue
            process = self._nodes.pause(number)
            await trio.sleep(self._stall_rng.uniform(_MIN_STALL_MS, fault.magnitude) / 1000.0)
            if number not in self._paused:
                self._nodes.resume(process)
        interval.end_ms = now_ms()
