"""A process of stand-in executors, so that load generator, executors and node run in separate interpreters.

The process reads its plan as one line of JSON from standard input, and exits at the end of that input. It
writes one line, a JSON object that maps the name of each executor to its address.
"""

from __future__ import annotations

import sys

import msgspec
import trio

from burlmoor.testbed.event_record import AnyRequestId, EventRecord
from burlmoor.testbed.executor import Executor
from burlmoor.testbed.executor_model import ExecutorSpec

_NODE = "n0"


class ExecutorProcessPlan(msgspec.Struct):
    """The executors of the process, and the node's address for call-backs."""

    executors: dict[str, ExecutorSpec]
    callback_address: tuple[str, int]


async def _serve(plan: ExecutorProcessPlan) -> None:
    async with trio.open_nursery() as nursery:
        record = EventRecord(requests=AnyRequestId())
        addresses = {}
        for name, spec in plan.executors.items():
            executor = Executor(name, spec, record, nursery)
            addresses[name] = await executor.listen_for_node(_NODE, plan.callback_address)
        print(msgspec.json.encode(addresses).decode(), flush=True)
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


def main() -> int:
    """Run until standard input ends; return the exit status."""
    trio.run(_serve, msgspec.json.decode(sys.stdin.readline().encode(), type=ExecutorProcessPlan))
    return 0
