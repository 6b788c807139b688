"""Process that runs some of the stand-in executors: `python -m burlmoor.testbed.fleet.executors`.

The first line of its input is its configuration, each further line a command. The process ends when its input
ends, or on the command `FINISH`, after it has written what the executors observed.
"""

from __future__ import annotations

import sys
from enum import StrEnum
from functools import partial
from pathlib import Path

import msgspec
import trio

from burlmoor.testbed.event_record import AnyRequestId, EventRecord
from burlmoor.testbed.executor import CallingNode, Executor
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.fleet.addresses import Ports, executor_address, parse_link_address
from burlmoor.testbed.fleet.line_protocol import read_lines, run_process, send_status_line


class ExecutorAction(StrEnum):
    """The actions that a command asks of an executor, or of a process of executors."""

    KILL = "kill"
    RESTART = "restart"
    RETURN_QUEUED = "hand_back"  # return the jobs that have not started
    HANG = "hang"
    SLOW_DOWN = "slow_down"
    FAIL_JOBS = "fail_jobs"
    FINISH = "finish"  # for the whole process: write what its executors observed, and end


class ExecutorsConfig(msgspec.Struct):
    """The executors of this process: their specifications and numbers, by name."""

    ports: Ports
    specs: dict[str, ExecutorSpec]
    numbers: dict[str, int]
    output_path: str  # the file that the attempts are written to at the end


class ExecutorCommand(msgspec.Struct):
    """A command for one executor; `FINISH` applies to all of them and has no name."""

    action: ExecutorAction
    name: str = ""
    magnitude: float = 0.0  # SLOW_DOWN: the slowdown factor; HANG, FAIL_JOBS: above 0 is on, 0 is off


async def execute_command(command: ExecutorCommand, executor: Executor) -> None:
    """Apply a command other than `FINISH`."""
    match command.action:
        case ExecutorAction.KILL if executor.is_alive:
            executor.kill()
        case ExecutorAction.RESTART if not executor.is_alive:
            await executor.restart()
        case ExecutorAction.RETURN_QUEUED:
            executor.jobs.return_queued()
        case ExecutorAction.HANG:
            executor.jobs.set_stalled(is_stalled=command.magnitude > 0.0)
        case ExecutorAction.SLOW_DOWN:
            executor.jobs.set_slowdown(max(1.0, command.magnitude))
        case ExecutorAction.FAIL_JOBS:
            executor.answers_with_error = command.magnitude > 0.0


async def serve(config: ExecutorsConfig) -> None:
    """Run the executors until the input ends or `FINISH` arrives."""
    identify_node = partial(_identify_node, callback_port=config.ports.relay_to_nodes)
    async with trio.open_nursery() as nursery:
        event_record = EventRecord(requests=AnyRequestId())
        executors = {name: Executor(name, spec, event_record, nursery) for name, spec in config.specs.items()}
        for name, executor in executors.items():
            address = (executor_address(config.numbers[name]), config.ports.executor_http)
            await executor.listen_for_all_nodes(address, identify_node)
        send_status_line()
        async for line in read_lines():
            command = msgspec.json.decode(line, type=ExecutorCommand)
            if command.action is ExecutorAction.FINISH:
                _write_output(config, event_record)
                send_status_line()
                break
            await execute_command(command, executors[command.name])
        nursery.cancel_scope.cancel()


def _identify_node(source: str, callback_port: int) -> CallingNode:
    """Return the node that a connection comes from, given its source address, which is that of the link."""
    return CallingNode(str(parse_link_address(source).node), (source, callback_port))


def _write_output(config: ExecutorsConfig, event_record: EventRecord) -> None:
    """Write the attempts. This blocks the event loop, but later events are not recorded anyway."""
    Path(config.output_path).write_bytes(msgspec.json.encode(event_record.attempts))


if __name__ == "__main__":
    sys.exit(run_process(serve, ExecutorsConfig))
