"""How many processes there are around the nodes of a run, and on which cores they and the nodes run."""

from __future__ import annotations

import os
from typing import NamedTuple

import msgspec

_SMALL_FLEET_NODES = 40  # up to which one process of each kind is enough
_HELPER_CORES = 3  # for the processes around the nodes, where there are at least twice as many


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
