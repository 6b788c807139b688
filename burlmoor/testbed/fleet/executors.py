"""A share of the stand-in executors, in a process of its own: `python -m burlmoor.testbed.fleet.executors`.

Told by a line of JSON, then by a line for each thing that befalls an executor. It ends with its input, and
writes its ledger when it is told to end.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Literal

import msgspec
import trio

from burlmoor.testbed.event_record import AnyRequestId, EventRecord
from burlmoor.testbed.executor import Executor
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.testbed.fleet.addresses import Ports, ends
from burlmoor.testbed.fleet.addresses import executor as executor_at
from burlmoor.testbed.fleet.notifications import lines, play


class Plan(msgspec.Struct):
    """The executors of this process, by number and name."""

    ports: Ports
    specs: dict[str, ExecutorSpec]
    numbers: dict[str, int]
    ledger: str  # where it is written in the end


class Order(msgspec.Struct):
    """What befalls an executor; its name is left out of `end`, which is for all."""

    do: Literal["die", "back", "hand_back", "still", "slow", "fail", "end"]
    name: str = ""
    size: float = 0.0  # slow: how many times slower; still, fail: 1 on, 0 off


async def _obey(order: Order, each: Executor) -> None:
    if order.do == "die" and each.is_alive:
        each.kill()
    elif order.do == "back" and not each.is_alive:
        await each.restart()
    elif order.do == "hand_back":
        await each.return_queued_jobs()
    elif order.do == "still":
        each.set_stalled(order.size > 0.0)
    elif order.do == "slow":
        each.set_slowdown(max(1.0, order.size))
    elif order.do == "fail":
        each.is_failing = order.size > 0.0


async def serve(plan: Plan) -> None:
    """Run the executors until the input ends, or they are told to end."""

    def caller(source: str) -> tuple[str, tuple[str, int]]:
        return str(ends(source)[0]), (source, plan.ports.backwards)

    async with trio.open_nursery() as nursery:
        ledger = EventRecord(requests=AnyRequestId())
        executors = {name: Executor(name, spec, ledger, nursery) for name, spec in plan.specs.items()}
        for name, each in executors.items():
            await each.listen_for_all_nodes((executor_at(plan.numbers[name]), plan.ports.jobs), caller)
        print("{}", flush=True)
        async for line in lines():
            order = msgspec.json.decode(line, type=Order)
            if order.do == "end":
                Path(plan.ledger).write_bytes(msgspec.json.encode(ledger.attempts))
                print("{}", flush=True)
                break
            await _obey(order, executors[order.name])
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(play(serve, Plan))
