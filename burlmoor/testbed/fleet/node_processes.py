"""Starts, signals and stops the node processes of a run."""

from __future__ import annotations

import signal
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import psutil
import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.fleet.addresses import Ports, node_address
from burlmoor.testbed.fleet.child_process import ChildProcess, ProcessError
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.record import FaultInterval, ResourceUsage, RunRecord
from burlmoor.testbed.node_process import inherited_environment, send_http_request

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path
    from types import TracebackType

    from burlmoor.testbed.discovery import DiscoveryService
    from burlmoor.testbed.fleet.node_configuration import NodeConfigurations

READY_TIMEOUT_SECONDS = 90.0
STOP_TIMEOUT_SECONDS = 15.0  # after SIGTERM
_KILL_TIMEOUT_SECONDS = 5.0  # after SIGKILL
_READY_POLL_SECONDS = 0.2


class DelayedSignal(NamedTuple):
    """A signal that is sent to a node during its shutdown."""

    after_seconds: float  # after the first SIGTERM
    signal_number: signal.Signals


class NodeProcesses:
    """Owns the node processes; kills them when its context is left."""

    def __init__(
        self,
        record: RunRecord,
        ports: Ports,
        folder: Path,
        cores: frozenset[int],
        discovery: DiscoveryService,
        configurations: NodeConfigurations,
    ) -> None:
        self.names = record.node_names()
        self._record = record
        self._ports = ports
        self._folder = folder
        self._cores = cores
        self._discovery = discovery
        self._configurations = configurations
        self._processes: dict[int, ChildProcess] = {}
        self._ended_by_fault: set[int] = set()
        self._starting: set[int] = set()  # started, but not ready yet

    async def __aenter__(self) -> NodeProcesses:
        return self

    async def __aexit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        for process in self._processes.values():
            await process.kill()

    async def start_all(self) -> None:
        """Start all nodes at once, and wait until each is ready.

        Raises:
            ProcessError: a node ended by itself.
            trio.TooSlowError: a node was not ready in time.
        """
        for number in range(len(self.names)):
            self.start(number)
        with trio.fail_after(READY_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for number in range(len(self.names)):
                    nursery.start_soon(self.wait_until_ready, number)

    def start(self, number: int) -> None:
        """Start or restart a node."""
        name = self.names[number]
        folder = self._folder / name
        folder.mkdir(exist_ok=True)
        config_path = folder / "config.json"
        self._configurations.write(number, config_path)
        mutation = self._record.plan.mutation
        arguments = ["-m", "burlmoor"]
        if mutation is not None:
            arguments = ["-m", "burlmoor.testbed.mutations", mutation]
        environment = {**inherited_environment(), "RELAY_CONFIG": str(config_path), "TMPDIR": str(folder)}
        self._discovery.on_node_started(name)
        self._processes[number] = ChildProcess(arguments, folder / "log", environment, cores=self._cores)
        self._ended_by_fault.discard(number)
        self._starting.add(number)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a node accepts jobs.

        Raises:
            ProcessError: the node ended by itself.
        """
        address = (node_address(number), self._ports.node_http)
        while True:
            with suppress(OSError):
                if (await send_http_request(address, "GET", "/health/ready")).status == HTTPStatus.OK:
                    self._starting.discard(number)
                    return
            process = self._processes[number]
            if not process.is_running and number not in self._ended_by_fault:
                name = self.names[number]
                reason = f"ended with exit status {process.exit_status}; its log is in {self._folder / name}"
                raise ProcessError(name, reason)
            await trio.sleep(_READY_POLL_SECONDS)

    def pause(self, number: int) -> ChildProcess:
        """Pause a node by SIGSTOP and return its process, for `resume`."""
        process = self._processes[number]
        process.send_signal(signal.SIGSTOP)
        return process

    def resume(self, process: ChildProcess) -> None:
        """Let a paused process continue."""
        process.send_signal(signal.SIGCONT)

    def is_ended_by_fault(self, number: int) -> bool:
        """Whether a fault has killed or begun to stop the node, and it has not been restarted since."""
        return number in self._ended_by_fault

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a node if it is running."""
        self._processes[number].send_signal(signal_number)

    async def stop_for_restart(
        self, number: int, kill_after_seconds: float, further_signals: Sequence[DelayedSignal]
    ) -> None:
        """Send SIGTERM, then the further signals at their times, and SIGKILL after `kill_after_seconds`.

        A kill is recorded as a fault of its own. A node that ends by itself with a status other than 0 is
        recorded as an unexpected exit.
        """
        process = self._processes[number]
        self._ended_by_fault.add(number)
        process.send_signal(signal.SIGTERM)
        async with trio.open_nursery() as nursery:
            for further_signal in further_signals:
                nursery.start_soon(_send_later, process, further_signal)
            has_ended = await process.wait_until_ended(kill_after_seconds)
            nursery.cancel_scope.cancel()
        name = self.names[number]
        if not has_ended:
            killed_ms = now_ms()
            self._record.fault_intervals.append(
                FaultInterval(FaultKind.RESTART_KILL, name, killed_ms, killed_ms)
            )
            await process.kill()
        elif status := self._failure_status(number):
            self._record.unexpected_exits[f"{name} on restart"] = status

    def _failure_status(self, number: int) -> int:
        """Return the exit status of a node after SIGTERM; 0 for a graceful end, or while it is running.

        SIGTERM may end a node that is still starting, before it handles signals. That is no failure, since it
        has no job yet.
        """
        status = self._processes[number].exit_status or 0
        has_no_job = number in self._starting and status == -signal.SIGTERM
        return 0 if has_no_job else status

    async def kill_or_terminate(self, number: int, kind: FaultKind) -> None:
        """Kill or terminate a node.

        It is recorded as an unexpected exit if it does not end in time, or exits on SIGTERM with a status
        other than 0.
        """
        process = self._processes[number]
        name = self.names[number]
        self._ended_by_fault.add(number)
        process.send_signal(signal.SIGKILL if kind is FaultKind.NODE_KILL else signal.SIGTERM)
        if not await process.wait_until_ended(STOP_TIMEOUT_SECONDS):
            self._record.unexpected_exits[f"{name} on {kind}"] = 1
            process.send_signal(signal.SIGKILL)
            await process.wait_until_ended(_KILL_TIMEOUT_SECONDS)
        if kind is FaultKind.NODE_TERMINATION and (status := self._failure_status(number)):
            self._record.unexpected_exits[f"{name} on {kind}"] = status

    def record_usage_and_exits(self) -> None:
        """Record the CPU time and memory of each running node, and the exit status of each that has ended."""
        for number, process in self._processes.items():
            name = self.names[number]
            if not process.is_running:
                self._record.unexpected_exits[name] = process.exit_status or 0
                continue
            with suppress(psutil.Error):
                info = psutil.Process(process.pid)
                times = info.cpu_times()
                usage = ResourceUsage(times.user + times.system, info.memory_info().rss)
                self._record.resource_usage[name] = usage

    async def stop_all(self) -> None:
        """Terminate all nodes; record those that do not end in time, or exit with another status than 0."""
        for process in self._processes.values():
            process.send_signal(signal.SIGTERM)
        async with trio.open_nursery() as nursery:
            for number in self._processes:
                nursery.start_soon(self._record_exit, number)

    async def _record_exit(self, number: int) -> None:
        process = self._processes[number]
        name = self.names[number]
        if not await process.wait_until_ended(STOP_TIMEOUT_SECONDS):
            self._record.unexpected_exits[f"{name} at the end"] = 1
        elif status := self._failure_status(number):
            self._record.unexpected_exits.setdefault(name, status)


async def _send_later(process: ChildProcess, delayed: DelayedSignal) -> None:
    await trio.sleep(delayed.after_seconds)
    process.send_signal(delayed.signal_number)
