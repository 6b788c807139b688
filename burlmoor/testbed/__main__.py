"""Stand-in executors in a process of their own, told by one line of JSON, ended by the end of input.

So that a load generator, the executors and the node don't share one interpreter:
`python -m burlmoor.testbed`.
What it says first is a line of JSON: where each executor listens.
"""

from __future__ import annotations

import json
import sys

import msgspec
import trio

from burlmoor.testbed.event_record import AnyRequestId, EventRecord
from burlmoor.testbed.executor import Executor
from burlmoor.testbed.executor_model import ExecutorSpec


class Plan(msgspec.Struct):
    """The executors, and the node that they call back."""

    executors: dict[str, ExecutorSpec]
    relay: tuple[str, int]


async def _serve(plan: Plan) -> None:
    async with trio.open_nursery() as nursery:
        ledger = EventRecord(requests=AnyRequestId())
        executors = [Executor(name, spec, ledger, nursery) for name, spec in plan.executors.items()]
        dials = {each.name: await each.listen_for_node("n0", plan.relay) for each in executors}
        print(json.dumps(dials), flush=True)
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


def main() -> int:
    """Run until standard input ends; the exit status."""
    trio.run(_serve, msgspec.json.decode(sys.stdin.readline().encode(), type=Plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
