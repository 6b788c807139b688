"""A fleet of stand-ins in a process of its own, told by one line of JSON and ended by the end of its input.

So that a load generator, the executors and the node don't share one interpreter: `python -m burlmoor.rig`.
"""

from __future__ import annotations

import json
import sys

import msgspec
import trio

from burlmoor.rig.discovery import Discovery
from burlmoor.rig.executor import Executor
from burlmoor.rig.ledger import Asked, Ledger
from burlmoor.rig.machine import Spec


class Plan(msgspec.Struct):
    """What the fleet is: executors, and the node that they call back."""

    executors: dict[str, Spec]
    relay: tuple[str, int]


class _Anybody(dict[str, Asked]):
    """Guards nothing: clients are in another process, so any id may be one of theirs."""

    def __contains__(self, key: object) -> bool:
        return bool(key)


async def _serve(plan: Plan) -> None:
    async with trio.open_nursery() as nursery:
        ledger = Ledger(asked=_Anybody())
        discovery = Discovery(nursery)
        executors = [Executor(name, spec, ledger, nursery) for name, spec in plan.executors.items()]
        dials = {each.name: await each.listen("n0", plan.relay) for each in executors}
        address = await discovery.listen("n0", dials)
        for each in executors:
            discovery.tell(each.name)
        print(json.dumps({"discovery": address, "known": discovery.whole("n0")}), flush=True)
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


def main() -> int:
    """Run until standard input ends; the exit status."""
    trio.run(_serve, msgspec.json.decode(sys.stdin.readline().encode(), type=Plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
