"""The processes around the nodes of a run: relays, the datagram switch, executors and clients."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from burlmoor.errors import BurlmoorError
from burlmoor.testbed.event_record import AttemptRecord
from burlmoor.testbed.fleet.child_process import ChildProcess
from burlmoor.testbed.fleet.clients import ClientsConfig, ClientsOutput
from burlmoor.testbed.fleet.executors import Action, ExecutorCommand, ExecutorsConfig
from burlmoor.testbed.fleet.tcp_relay import RelayConfig

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path
    from types import TracebackType

    from burlmoor.testbed.fleet.addresses import Ports
    from burlmoor.testbed.fleet.link_faults import LinkFault
    from burlmoor.testbed.fleet.record import RunRecord

_START_SECONDS = 20.0  # until a process must be ready, or have written its output
_LOG_TAIL_CHARACTERS = 2000
_SMALL_FLEET_NODES = 40  # up to which one process of each kind is enough
_HELPER_CORES = 3  # kept for the processes around the nodes, where there are at least twice as many


class ProcessCounts(msgspec.Struct):
    """How many processes of each kind there are around the nodes."""

    relays: int = 2
    executors: int = 3
    clients: int = 2

    @classmethod
    def for_nodes(cls, nodes: int) -> ProcessCounts:
        """Return what a drill of so many nodes needs: a small one leaves most of the machine to its nodes."""
        return cls() if nodes > _SMALL_FLEET_NODES else cls(relays=1, executors=1, clients=1)


class CoreAllocation(NamedTuple):
    """The cores for nodes, and for the processes around them; empty: all."""

    nodes: frozenset[int]
    helpers: frozenset[int]


def allocate_cores() -> CoreAllocation:
    """Return separate cores for nodes and helpers, where there are enough.

    Without this, hundreds of nodes that start at once would delay the clients and executors, whose
    observations count. Nice levels don't help where the kernel schedules each session as a group.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2 * _HELPER_CORES:
        return CoreAllocation(frozenset(), frozenset())
    return CoreAllocation(frozenset(cores[_HELPER_CORES:]), frozenset(cores[:_HELPER_CORES]))


class ProcessError(BurlmoorError, RuntimeError):
    """A process of a run that did not do its part, with the end of what it logged."""

    def __init__(self, process: str, reason: str, log: str = "") -> None:
        super().__init__(f"{process} {reason}\n{log}".rstrip())
        self.process = process
        self.reason = reason
        self.log = log


class HelperProcesses:
    """Owns the processes around the nodes; as a context manager it kills them at its end."""

    def __init__(self, record: RunRecord, ports: Ports, folder: Path, cores: frozenset[int]) -> None:
        self._record = record
        self._ports = ports
        self._folder = folder
        self._cores = cores
        self._relays: list[ChildProcess] = []
        self._switches: list[ChildProcess] = []
        self._executors: list[ChildProcess] = []
        self._clients: list[ChildProcess] = []
        self._numbers = {name: number for number, name in enumerate(record.executor_names())}

    async def __aenter__(self) -> HelperProcesses:
        return self

    async def __aexit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        for process in (*self._relays, *self._switches, *self._executors, *self._clients):
            await process.kill()

    async def start(self, counts: ProcessCounts) -> None:
        """Start all but the clients, and wait until they are ready; raises ProcessError."""
        plan = self._record.plan
        for number in range(counts.relays):
            config = RelayConfig(self._ports, plan.seed * 10 + number)
            self._relays.append(self._start_process("tcp_relay", number, config))
        if any(fault.peers for fault in plan.schedule.faults):
            config = RelayConfig(self._ports, plan.seed)
            self._switches.append(self._start_process("datagram_switch", 0, config))
        self._start_executors(max(1, min(counts.executors, plan.executors)))
        for kind, processes in (
            ("tcp_relay", self._relays),
            ("datagram_switch", self._switches),
            ("executors", self._executors),
        ):
            for process in processes:
                if not await process.wait_for_line(_START_SECONDS):
                    raise self._error(kind, "did not start")

    def _start_executors(self, count: int) -> None:
        names = self._record.executor_names()
        for number in range(count):
            specs = {name: self._record.specs[name] for name in names[number::count]}
            config = ExecutorsConfig(self._ports, specs, self._numbers, str(self._attempts_path(number)))
            self._executors.append(self._start_process("executors", number, config))

    def start_clients(self, count: int) -> None:
        """Start the clients, which wait for the start of the load."""
        record = self._record
        for number in range(count):
            path = str(self._requests_path(number))
            config = ClientsConfig(self._ports, record.load, number, count, record.start_ms, path)
            self._clients.append(self._start_process("clients", number, config))

    def _start_process(self, module: str, number: int, config: msgspec.Struct) -> ChildProcess:
        process = ChildProcess(
            ["-m", f"burlmoor.testbed.fleet.{module}"],
            self._folder / f"{module}-{number}.log",
            has_pipes=True,
            cores=self._cores,
        )
        process.send_line(config)
        return process

    def _attempts_path(self, number: int) -> Path:
        return self._folder / f"attempts-{number}.json"

    def _requests_path(self, number: int) -> Path:
        return self._folder / f"requests-{number}.json"

    def _error(self, kind: str, reason: str) -> ProcessError:
        """Return an error with the logs of that kind: the folder may be gone later."""
        paths = sorted(self._folder.glob(f"{kind}-*.log"))
        log = "".join(path.read_text()[-_LOG_TAIL_CHARACTERS:] for path in paths)
        return ProcessError(f"a process of {kind}", reason, log)

    def apply_link_faults(self, executor_links: list[LinkFault], node_links: list[LinkFault]) -> None:
        """Replace the link faults that are in effect."""
        for process in self._relays:
            process.send_line(executor_links)
        for process in self._switches:
            process.send_line(node_links)

    def command_executor(self, name: str, action: Action, magnitude: float = 0.0) -> None:
        """Send a command for one executor to the process that runs it."""
        process = self._executors[self._numbers[name] % len(self._executors)]
        process.send_line(ExecutorCommand(action, name, magnitude))

    async def wait_for_clients(self, timeout_seconds: float) -> None:
        """Wait until the clients have all answers; raises ProcessError."""
        for process in self._clients:
            if not await process.wait_for_line(timeout_seconds):
                raise self._error("clients", f"did not finish ({process.exit_status})")

    async def finish_executors(self) -> None:
        """Finish the executors, and wait until they have written their attempts; raises ProcessError.

        Also raised where a relay has ended by itself: from then on the run has tested nothing.
        """
        if not all(process.is_running for process in (*self._relays, *self._switches)):
            raise self._error("tcp_relay", "ended before the run was over")
        for process in self._executors:
            process.send_line(ExecutorCommand("finish"))
        for process in self._executors:
            if not await process.wait_for_line(_START_SECONDS):
                raise self._error("executors", "did not write their attempts")

    def take_client_outputs(self) -> Iterator[ClientsOutput]:
        """Yield what each process of clients has written, and remove the files."""
        for number in range(len(self._clients)):
            yield msgspec.json.decode(_take_file(self._requests_path(number)), type=ClientsOutput)

    def take_attempts(self) -> Iterator[list[AttemptRecord]]:
        """Yield what each process of executors has written, and remove the files."""
        for number in range(len(self._executors)):
            yield msgspec.json.decode(_take_file(self._attempts_path(number)), type=list[AttemptRecord])


def _take_file(path: Path) -> bytes:
    """Return the contents of a file and remove it."""
    data = path.read_bytes()
    path.unlink()
    return data
