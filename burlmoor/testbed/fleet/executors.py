"""A part of the stand-in executors, in a process of its own: `python -m burlmoor.testbed.fleet.executors`.

Its configuration is the first line of its input, each further line a command for one executor. The process
ends with its input, or when it is told to finish, after it has written what the executors observed.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Literal

import msgspec
import trio

from burlmoor.testbed.event_record import AnyRequestId, EventRecord
from burlmoor.testbed.executor import CallingNode, Executor
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.fleet.addresses import Ports, executor_address, parse_link_address
from burlmoor.testbed.fleet.process_input import read_lines, run_process

Action = Literal["die", "restart", "hand_back", "still", "slow", "fail", "finish"]


class ExecutorsConfig(msgspec.Struct):
    """The executors of this process, by name."""

    ports: Ports
    specs: dict[str, ExecutorSpec]
    numbers: dict[str, int]
    output_path: str  # where the attempts are written in the end


class ExecutorCommand(msgspec.Struct):
    """What one executor is to do; `finish` is for all and has no name."""

    action: Action
    name: str = ""
    magnitude: float = 0.0  # slow: how many times slower; still, fail: above 0 for on, 0 for off


async def execute_command(command: ExecutorCommand, executor: Executor) -> None:
    """Apply a command other than `finish`."""
    if command.action == "die" and executor.is_alive:
        executor.kill()
    elif command.action == "restart" and not executor.is_alive:
        await executor.restart()
    elif command.action == "hand_back":
        executor.jobs.return_queued()
    elif command.action == "still":
        executor.jobs.set_stalled(is_stalled=command.magnitude > 0.0)
    elif command.action == "slow":
        executor.jobs.set_slowdown(max(1.0, command.magnitude))
    elif command.action == "fail":
        executor.is_failing = command.magnitude > 0.0


async def serve(config: ExecutorsConfig) -> None:
    """Run the executors until the input ends, or `finish` comes."""

    def identify_node(source: str) -> CallingNode:
        """Return the node that a connection comes from, and where its call-backs go."""
        return CallingNode(str(parse_link_address(source).node), (source, config.ports.relay_to_nodes))

    async with trio.open_nursery() as nursery:
        event_record = EventRecord(requests=AnyRequestId())
        executors = {name: Executor(name, spec, event_record, nursery) for name, spec in config.specs.items()}
        for name, executor in executors.items():
            address = (executor_address(config.numbers[name]), config.ports.executor_http)
            await executor.listen_for_all_nodes(address, identify_node)
        print("{}", flush=True)
        async for line in read_lines():
            command = msgspec.json.decode(line, type=ExecutorCommand)
            if command.action == "finish":
                _write_output(config, event_record)
                print("{}", flush=True)
                break
            await execute_command(command, executors[command.name])
        nursery.cancel_scope.cancel()


def _write_output(config: ExecutorsConfig, event_record: EventRecord) -> None:
    """Write the attempts. This blocks, but what the executors still do counts no more."""
    Path(config.output_path).write_bytes(msgspec.json.encode(event_record.attempts))


if __name__ == "__main__":
    sys.exit(run_process(serve, ExecutorsConfig))
