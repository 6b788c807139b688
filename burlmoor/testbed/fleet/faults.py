"""Faults as data: what goes wrong, with which nodes and executors, and when.

Times are seconds from the beginning of the load. Fields keep the names that they have in stored schedules and
records through `msgspec.field(name=...)`.
"""

from __future__ import annotations

import random
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING, Literal, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

# On links. `repeat` and `reorder` are for datagrams alone, `reset` and `throttle` for connections.
LINK_FAULTS = ("cut", "delay", "drop", "reset", "stall", "throttle", "corrupt", "repeat", "reorder")
# `restart` is SIGTERM, `magnitude` more signals, and SIGKILL as early as the platform may send it; `reload`
# is SIGHUP `magnitude` times in a row; `crowd` is as many idle clients.
NODE_FAULTS = ("kill", "stop", "term", "restart", "reload", "crowd")
# `vanish` cuts an executor's machine off: it stays up, discovery announces it as gone, and later as back.
EXECUTOR_FAULTS = ("die", "drain", "still", "slow", "fail", "vanish")
# `isolate` cuts nodes off from discovery and all executors, while clients still reach them; `crowded` lets
# calls wait for their turn until they fail.
DISCOVERY_FAULTS = ("late", "down", "crowded", "silent", "broken", "isolate")
# Those of them that cut links as well.
PARTITION_FAULTS = ("vanish", "isolate")
FAULT_KINDS = (*LINK_FAULTS, *NODE_FAULTS, *EXECUTOR_FAULTS, *DISCOVERY_FAULTS)
Direction = Literal["both", "forward", "back"]


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault, from `start` for `duration` seconds, of the nodes and executors that its selectors name.

    A selector is a list, separated by commas, of globs of names, shares of all (`30%`, drawn from the
    schedule's seed) and zones (`zone:a`). `peers` selects the other nodes of links between nodes. The
    direction `forward` is from nodes to executors (or from `nodes` to `peers`). `magnitude` is in ms for
    delay, late and reorder; the share of messages affected for drop, reset, corrupt and repeat; bytes a
    second for throttle; how many times slower for slow; and a number of signals or clients for restart,
    reload and crowd. The duration of a restart is the time between the end and the next start.
    """

    kind: str = msgspec.field(name="what")
    start: float = msgspec.field(name="at")
    duration: float = msgspec.field(name="lasts")
    nodes: str = ""
    executors: str = ""
    peers: str = ""
    direction: Direction = "both"
    magnitude: float = msgspec.field(default=0.0, name="size")
    # Seconds until discovery announces that an executor has died, vanished or come back.
    notification_delay: float = msgspec.field(default=1.0, name="told")
    # The nodes or executors fail one after another within so many seconds, rather than all at once.
    stagger: float = msgspec.field(default=0.0, name="over")
    # Nodes that were killed or terminated start again one after another within so many seconds.
    restart_stagger: float = msgspec.field(default=0.0, name="back")

    @property
    def end(self) -> float:
        """When the fault is over for the first of those that it affects."""
        return self.start + self.duration

    @property
    def end_for_all(self) -> float:
        """When the fault is over for all that it affects."""
        return self.end + self.stagger + self.restart_stagger


class FaultSchedule(msgspec.Struct, frozen=True):
    """All faults of a run, and the seed from which selectors draw."""

    seed: int
    faults: tuple[Fault, ...] = msgspec.field(default=(), name="troubles")


class Population(NamedTuple):
    """The nodes or the executors of a run, as selectors see them: names and zones by number."""

    names: Sequence[str]
    zones: Sequence[str]


def resolve_selector(population: Population, selector: str, seed: int) -> list[int]:
    """Return the numbers of the members that a selector names, in ascending order."""
    names = population.names
    selected: set[int] = set()
    for part in (each.strip() for each in selector.split(",")):
        if part.endswith("%") and part[:-1].replace(".", "", 1).isdigit():
            count = round(len(names) * float(part[:-1]) / 100.0)
            selected |= set(random.Random(f"{seed}:{part}").sample(range(len(names)), min(count, len(names))))
        elif part.startswith("zone:"):
            zone = part.removeprefix("zone:")
            selected |= {number for number, each in enumerate(population.zones) if each == zone}
        elif part:
            selected |= {number for number, name in enumerate(names) if fnmatchcase(name, part)}
    return sorted(selected)
