"""A whole installation on loopback: discovery, executors, nodes as real processes, and their clients."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import trio

from burlmoor.testbed.clients import Clients
from burlmoor.testbed.discovery import Discovery
from burlmoor.testbed.event_record import Asked, Ledger
from burlmoor.testbed.executor import Executor, now
from burlmoor.testbed.executor_model import Spec
from burlmoor.testbed.node_process import Node


class Kind(NamedTuple):
    """One class of jobs as clients send it; times in ms."""

    name: str
    share: float  # of all jobs
    work: float  # on average, on one core of speed 1
    patience: float
    once: bool = False
    worth: float = 2.0
    aim: float = 300.0
    stretch: float = 2.0


KINDS = (
    Kind("slot-search", 0.43, 400.0, 6000.0),
    Kind("visit-details", 0.38, 200.0, 5000.0),
    Kind("confirm-booking", 0.19, 200.0, 5000.0, once=True, worth=10.0, stretch=2.5),
)
# (cores, slots, speed of a core) of executors, in turn
SIZES = ((4.0, 6, 2.0), (5.0, 7, 1.2), (5.0, 7, 0.8))


def settings(kinds: Sequence[Kind] = KINDS, nodes: int = 1, zone: str = "a") -> dict[str, Any]:
    """A platform's settings object for an installation of the rig."""
    return {
        "Balancers": nodes,
        "RequestClasses": [
            {"Name": kind.name, "Credit": kind.worth, "Target": kind.aim, "HardLimit": kind.patience,
             "Idempotency": "once" if kind.once else "repeatable"}
            for kind in kinds
        ],
        "Specifics": {"ClassStretch": [kind.stretch for kind in kinds], "TellsStart": True,
                      "Progress": 2000.0},
        "Limits": {"SendCap": 5, "Cancel": True, "SecondCopies": True, "ConnectTimeout": 250.0,
                   "Keepalive": 30_000.0, "MaxRetryAfter": 2000.0, "RetryAfter": True},
        "Rules": {"AnswerSlack": 8.0, "StopSendingWithin": 250.0, "MustAskIn": 10_000.0, "Cold": 10_000.0,
                  "StartCapacity": 0.15, "FallMultiple": 4.0, "OverloadFor": 1000.0},
        "RegistryMode": "ask", "Tick": 2.0, "Zone": zone, "WorthBy": "work", "OverShareWorth": 0.1,
    }  # fmt: skip


def capacity(specs: Mapping[str, Spec]) -> float:
    """Work (ms on a core of speed 1) that warm executors do in a ms."""
    return sum(spec.able for spec in specs.values())


def fleet(count: int, sizes: Sequence[tuple[float, int, float]] = SIZES, queue: int = 24) -> dict[str, Spec]:
    """Executors of mixed sizes."""
    return {
        f"s-{number:03d}": Spec(cores=cores, slots=slots, speed=speed, queue=queue)
        for number, (cores, slots, speed) in ((n, sizes[n % len(sizes)]) for n in range(count))
    }


class Town:
    """Owns all parties of one installation and the ledger of what its far sides saw."""

    def __init__(self, nursery: trio.Nursery, folder: Path, specs: Mapping[str, Spec], nodes: int) -> None:
        self.nursery, self.ledger = nursery, Ledger()
        self.discovery = Discovery(nursery)
        self.executors = {name: Executor(name, spec, self.ledger, nursery) for name, spec in specs.items()}
        self.specs = dict(specs)
        self.nodes = [Node(f"n{number}", folder / f"n{number}") for number in range(nodes)]
        self.clients: list[Clients] = []
        self.settings = settings(nodes=nodes)
        self._discovery_at: dict[str, str] = {}

    async def start(self) -> None:
        """Open every stand-in, then start the nodes and wait until they take jobs."""
        for node in self.nodes:
            dials = {name: await each.listen(node.name, node.listen) for name, each in self.executors.items()}
            self._discovery_at[node.name] = await self.discovery.listen(node.name, dials)
        for name in self.executors:
            self.discovery.tell(name)
        async with trio.open_nursery() as starting:
            for node in self.nodes:
                starting.start_soon(self.start_node, node)
        self.clients = [Clients(node.listen, self.ledger) for node in self.nodes]

    async def start_node(self, node: Node) -> None:
        """Start one node's process (again)."""
        known = self.discovery.whole(node.name)
        await node.start(self.nursery, self.settings, self._discovery_at[node.name], known)

    # --- failures that discovery has a part in ----------------------------------------------------

    async def kill(self, name: str, told_after: float, back_after: float) -> None:
        """An executor's process dies; discovery hears of it late, and it comes back cold. Seconds."""
        executor = self.executors[name]
        executor.die()
        await trio.sleep(told_after)
        self.discovery.tell(name, health="left")
        await trio.sleep(max(0.0, back_after - told_after))
        await executor.come_back()
        self.discovery.tell(name, health="active", born_ms=executor.born_ms)

    async def drain(self, name: str, for_seconds: float) -> None:
        """An executor leaves: it hands back what waits, and comes back as a new process."""
        self.discovery.tell(name, health="leaving")
        await trio.sleep(0.1)
        await self.executors[name].hand_back()
        await trio.sleep(for_seconds)
        executor = self.executors[name]
        executor.die()
        await executor.come_back()
        self.discovery.tell(name, health="active", born_ms=executor.born_ms)

    async def end(self) -> None:
        """Stop the nodes in order and close what lies idle."""
        with trio.CancelScope(shield=True):
            for clients in self.clients:
                clients.close()
            async with trio.open_nursery() as stopping:
                for node in self.nodes:
                    if node.process is not None:
                        stopping.start_soon(node.stop)


@asynccontextmanager
async def town(
    folder: Path,
    specs: Mapping[str, Spec],
    nodes: int = 1,
    options: str | None = None,
    start: bool = True,
    **changes: Any,
) -> AsyncIterator[Town]:
    """An installation that is up, unless `start` is left to others; `changes` alter the settings."""
    async with trio.open_nursery() as nursery:
        made = Town(nursery, folder, specs, nodes)
        made.settings = {**made.settings, **changes}
        for node in made.nodes:
            node.options = options
        try:
            if start:
                await made.start()
            yield made
            await made.end()
        finally:
            with trio.CancelScope(shield=True):
                for node in made.nodes:
                    await node.kill()
        nursery.cancel_scope.cancel()


def asked(ref: str, kind: Kind, work: float, **more: Any) -> Asked:
    """A client's row for a job that is sent now."""
    return Asked(ref, kind.name, now(), more.pop("patience", kind.patience), work, **more)


def unix() -> float:
    """Unix time in ms, as every machine reads it."""
    return time.time() * 1000.0
