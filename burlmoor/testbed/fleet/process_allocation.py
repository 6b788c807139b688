"""The numbers of helper processes of a run, and the cores that they and the nodes run on."""

from __future__ import annotations

import os
from typing import NamedTuple

import msgspec

_SMALL_FLEET_NODES = 40  # the largest fleet that needs only one process of each kind
_HELPER_CORES = 3  # reserved for helper processes if the machine has at least twice as many


class ProcessCounts(msgspec.Struct):
    """The number of helper processes of each kind."""

    relays: int = 2
    executors: int = 3
    clients: int = 2

    @classmethod
    def for_nodes(cls, nodes: int) -> ProcessCounts:
        """Return the numbers for a drill; a small fleet leaves most of the machine to its nodes."""
        return cls() if nodes > _SMALL_FLEET_NODES else cls(relays=1, executors=1, clients=1)


class CoreAllocation(NamedTuple):
    """The cores of the nodes and of the helper processes; empty means all cores."""

    nodes: frozenset[int]
    helpers: frozenset[int]


def allocate_cores() -> CoreAllocation:
    """Return separate cores for nodes and helper processes, if there are enough.

    On shared cores, hundreds of nodes that start at once would delay the clients and executors and distort
    what these observe. Nice levels don't help where the kernel schedules each session as a group.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2 * _HELPER_CORES:
        return CoreAllocation(frozenset(), frozenset())
    return CoreAllocation(frozenset(cores[_HELPER_CORES:]), frozenset(cores[:_HELPER_CORES]))
