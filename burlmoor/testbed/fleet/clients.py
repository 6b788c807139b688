"""The clients of a share of the nodes, in a process of their own: `python -m burlmoor.testbed.fleet.clients`.

Each job is sent at its time, whatever became of others, to the node that it was drawn for. Where that node
takes no connection, the front in place of which this stands goes to another, as often as told; a job that a
node may have taken is never sent again. It ends with its input, or when all jobs are answered and written
down.
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

import msgspec
import trio

from burlmoor.testbed.clients import ClientPool
from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import EventRecord, RequestRecord
from burlmoor.testbed.fleet.addresses import Ports
from burlmoor.testbed.fleet.addresses import node as node_at
from burlmoor.testbed.fleet.load import Job, Load, draw
from burlmoor.testbed.fleet.notifications import lines, play


class Plan(msgspec.Struct):
    """The load, and which part of it is this process's."""

    ports: Ports
    load: Load
    part: int  # the jobs of nodes of which the number leaves this rest
    parts: int
    begin: float  # ms on the machine's clock
    ledger: str
    moves: int = 3


class Front:
    """Owns the connections to all nodes that its jobs go to."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.ledger = EventRecord()
        self._rng = random.Random(plan.load.seed * 1000 + plan.part)
        self._clients: dict[int, ClientPool] = {}
        self.behind = 0.0  # ms by which a job was sent late, at most

    async def run(self) -> None:
        """Send every job and wait for all answers."""
        async with trio.open_nursery() as nursery:
            for job in draw(self._plan.load):
                if job.node % self._plan.parts != self._plan.part:
                    continue
                due = self._plan.begin + job.at * 1000.0
                if due - now_ms() > 0.5:
                    await trio.sleep((due - now_ms()) / 1000.0)
                self.behind = max(self.behind, now_ms() - due)
                nursery.start_soon(self._one, job, due)

    async def _one(self, job: Job, due: float) -> None:
        asked = RequestRecord(
            f"j{job.number}", job.kind.name, due, job.kind.timeout_ms, job.work, slots=job.slots
        )
        asked.node = job.node
        for moves in range(self._plan.moves + 1):
            asked.node_changes = moves
            await self._at(asked.node).send(asked, slots=job.slots, key=job.key)
            if not asked.is_unsent or now_ms() > due + job.kind.timeout_ms:
                return
            # The front knows that nobody is there, and tries the next that comes to its mind.
            asked.node, asked.is_unsent = self._rng.randrange(self._plan.load.nodes), False
        asked.is_unsent = True

    def _at(self, node: int) -> ClientPool:
        if node not in self._clients:
            address = (node_at(node), self._plan.ports.clients)
            self._clients[node] = ClientPool(address, self.ledger, may_resend=False)
        return self._clients[node]


async def serve(plan: Plan) -> None:
    """Send all jobs, write what became of them, unless the input ends first."""
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            async for _ in lines():
                pass
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        front = Front(plan)
        await front.run()
        rows = list(front.ledger.requests.values())
        Path(plan.ledger).write_bytes(msgspec.json.encode({"asked": rows, "behind": front.behind}))
        print("{}", flush=True)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(play(serve, Plan))
