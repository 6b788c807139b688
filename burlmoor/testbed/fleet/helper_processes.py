"""The helper processes of a run, all but the nodes: relays, the datagram switch, executors and clients."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from burlmoor.testbed.event_record import AttemptRecord
from burlmoor.testbed.fleet.child_process import ChildProcess, ProcessError
from burlmoor.testbed.fleet.clients import ClientsConfig, ClientsOutput
from burlmoor.testbed.fleet.executors import ExecutorAction, ExecutorCommand, ExecutorsConfig
from burlmoor.testbed.fleet.link_faults import LinkProcessConfig

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path
    from types import TracebackType

    from burlmoor.testbed.fleet.addresses import Ports
    from burlmoor.testbed.fleet.link_faults import LinkFault
    from burlmoor.testbed.fleet.process_allocation import ProcessCounts
    from burlmoor.testbed.fleet.record import RunRecord

_REPLY_TIMEOUT_SECONDS = 20.0  # until a process is ready, or has written its output
_LOG_TAIL_CHARACTERS = 2000


class HelperKind(StrEnum):
    """The kinds of helper processes; each value is the name of the module and the prefix of the log files."""

    TCP_RELAY = "tcp_relay"
    DATAGRAM_SWITCH = "datagram_switch"
    EXECUTORS = "executors"
    CLIENTS = "clients"


class HelperProcesses:
    """Owns the helper processes; kills them when its context is left."""

    def __init__(self, record: RunRecord, ports: Ports, folder: Path, cores: frozenset[int]) -> None:
        self._record = record
        self._ports = ports
        self._folder = folder
        self._cores = cores
        self._processes: dict[HelperKind, list[ChildProcess]] = {kind: [] for kind in HelperKind}
        self._numbers = {name: number for number, name in enumerate(record.executor_names())}

    async def __aenter__(self) -> HelperProcesses:
        return self

    async def __aexit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        for processes in self._processes.values():
            for process in processes:
                await process.kill()

    async def start(self, counts: ProcessCounts) -> None:
        """Start all processes but the clients, and wait until they are ready.

        Raises:
            ProcessError: a process ended, or was not ready in time.
        """
        plan = self._record.plan
        for number in range(counts.relays):
            self._start(HelperKind.TCP_RELAY, LinkProcessConfig(self._ports, plan.seed * 10 + number))
        if any(fault.peers for fault in plan.schedule.faults):
            self._start(HelperKind.DATAGRAM_SWITCH, LinkProcessConfig(self._ports, plan.seed))
        self._start_executors(max(1, min(counts.executors, plan.executors)))
        for kind in (HelperKind.TCP_RELAY, HelperKind.DATAGRAM_SWITCH, HelperKind.EXECUTORS):
            await self._wait_for_line(kind, _REPLY_TIMEOUT_SECONDS, "ended or was not ready in time")

    def _start_executors(self, count: int) -> None:
        names = self._record.executor_names()
        for number in range(count):
            specs = {name: self._record.specs[name] for name in names[number::count]}
            config = ExecutorsConfig(self._ports, specs, self._numbers, str(self._attempts_path(number)))
            self._start(HelperKind.EXECUTORS, config)

    def start_clients(self, count: int) -> None:
        """Start the clients, which send no job before the start of the load."""
        record = self._record
        for number in range(count):
            path = str(self._requests_path(number))
            config = ClientsConfig(self._ports, record.load, number, count, record.start_ms, path)
            self._start(HelperKind.CLIENTS, config)

    def _start(self, kind: HelperKind, config: msgspec.Struct) -> None:
        """Start another process of this kind."""
        processes = self._processes[kind]
        process = ChildProcess(
            ["-m", f"burlmoor.testbed.fleet.{kind}"],
            self._folder / f"{kind}-{len(processes)}.log",
            has_pipes=True,
            cores=self._cores,
        )
        process.send_line(config)
        processes.append(process)

    def apply_link_faults(self, executor_links: list[LinkFault], node_links: list[LinkFault]) -> None:
        """Replace the link faults that are in effect, on links to executors and on links between nodes."""
        for process in self._processes[HelperKind.TCP_RELAY]:
            process.send_line(executor_links)
        for process in self._processes[HelperKind.DATAGRAM_SWITCH]:
            process.send_line(node_links)

    def command_executor(self, name: str, action: ExecutorAction, magnitude: float = 0.0) -> None:
        """Send a command to the process that runs this executor."""
        processes = self._processes[HelperKind.EXECUTORS]
        process = processes[self._numbers[name] % len(processes)]
        process.send_line(ExecutorCommand(action, name, magnitude))

    async def _wait_for_line(self, kind: HelperKind, timeout_seconds: float, failure: str) -> None:
        """Wait for the next line of each process of this kind; raises ProcessError."""
        for process in self._processes[kind]:
            if not await process.wait_for_line(timeout_seconds):
                raise self._process_error(kind, failure)

    def _process_error(self, kind: HelperKind, reason: str) -> ProcessError:
        """Return an error with the ends of the logs, as their folder may be deleted before it is reported."""
        paths = sorted(self._folder.glob(f"{kind}-*.log"))
        log = "".join(path.read_text()[-_LOG_TAIL_CHARACTERS:] for path in paths)
        return ProcessError(f"a process of {kind}", reason, log)

    async def wait_for_clients(self, timeout_seconds: float) -> None:
        """Wait until the clients have all answers.

        Raises:
            ProcessError: a process ended, or did not finish in time.
        """
        for process in self._processes[HelperKind.CLIENTS]:
            if not await process.wait_for_line(timeout_seconds):
                raise self._process_error(
                    HelperKind.CLIENTS, f"did not finish (exit status {process.exit_status})"
                )

    async def finish_executors(self) -> None:
        """Stop the executors, and wait until they have written their attempts.

        Raises:
            ProcessError: a process of executors ended or was too slow, or a relay or the switch ended before
                the run was over, after which the run has tested nothing.
        """
        relays = (*self._processes[HelperKind.TCP_RELAY], *self._processes[HelperKind.DATAGRAM_SWITCH])
        if not all(process.is_running for process in relays):
            raise self._process_error(
                HelperKind.TCP_RELAY, f"or {HelperKind.DATAGRAM_SWITCH} ended before the run was over"
            )
        for process in self._processes[HelperKind.EXECUTORS]:
            process.send_line(ExecutorCommand(ExecutorAction.FINISH))
        await self._wait_for_line(
            HelperKind.EXECUTORS, _REPLY_TIMEOUT_SECONDS, "did not write its attempts in time"
        )

    def take_client_outputs(self) -> Iterator[ClientsOutput]:
        """Yield the output of each process of clients, and remove the files."""
        for number in range(len(self._processes[HelperKind.CLIENTS])):
            yield msgspec.json.decode(_read_and_remove(self._requests_path(number)), type=ClientsOutput)

    def take_attempts(self) -> Iterator[list[AttemptRecord]]:
        """Yield the attempts that each process of executors has written, and remove the files."""
        for number in range(len(self._processes[HelperKind.EXECUTORS])):
            yield msgspec.json.decode(_read_and_remove(self._attempts_path(number)), type=list[AttemptRecord])

    def _attempts_path(self, number: int) -> Path:
        return self._folder / f"attempts-{number}.json"

    def _requests_path(self, number: int) -> Path:
        return self._folder / f"requests-{number}.json"


def _read_and_remove(path: Path) -> bytes:
    """Return the contents of a file and remove it."""
    data = path.read_bytes()
    path.unlink()
    return data
