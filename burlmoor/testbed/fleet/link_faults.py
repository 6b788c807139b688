"""Determines which link faults are active at a time; the relays and the datagram switch apply them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from burlmoor.testbed.fleet.addresses import Ports
from burlmoor.testbed.fleet.fault_kinds import LINK_FAULTS, FaultKind
from burlmoor.testbed.fleet.fault_selectors import Population, resolve_selector
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule, LinkDirection

BLOCKING_FAULTS = (FaultKind.LINK_PARTITION, FaultKind.LINK_STALL)  # nothing passes while active
DELAY_JITTER = (0.8, 1.2)  # the range of the uniformly drawn factor that a delay is multiplied by
_CORRUPTED_BIT = 0x20


class LinkProcessConfig(msgspec.Struct):
    """The configuration of a process that applies link faults: a relay, or the datagram switch."""

    ports: Ports
    seed: int  # for the random draws of link faults


class DirectedLink(NamedTuple):
    """One direction of a link between a node and a peer, which is an executor or another node."""

    node: int
    peer: int
    direction: LinkDirection  # FORWARD is from the node to the peer; never BOTH

    def reverse(self) -> DirectedLink:
        """Return the other direction of the same link."""
        if self.direction is LinkDirection.FORWARD:
            return self._replace(direction=LinkDirection.BACK)
        return self._replace(direction=LinkDirection.FORWARD)


class LinkFault(msgspec.Struct, frozen=True):
    """An active fault of some links."""

    kind: FaultKind
    nodes: frozenset[int]
    peers: frozenset[int] | None  # numbers of executors or of other nodes; None means all
    direction: LinkDirection = LinkDirection.BOTH
    magnitude: float = 0.0

    def affects(self, link: DirectedLink) -> bool:
        """Return whether the fault affects this direction of this link."""
        matches_direction = self.direction in (LinkDirection.BOTH, link.direction)
        return (
            matches_direction and link.node in self.nodes and (self.peers is None or link.peer in self.peers)
        )


def active_executor_link_faults(
    schedule: FaultSchedule, at_seconds: float, nodes: Population, executors: Population
) -> list[LinkFault]:
    """Return the link faults between nodes and executors that are active at a time."""
    active = [fault for fault in _active_faults(schedule, at_seconds) if not fault.peers]
    link_faults = [_resolve(fault, schedule.seed, nodes, executors, fault.executors) for fault in active]
    every_node = frozenset(range(len(nodes.names)))
    for fault in schedule.faults:
        if not fault.is_active(at_seconds):
            continue
        if fault.kind is FaultKind.EXECUTOR_PARTITION:
            partitioned = frozenset(resolve_selector(executors, fault.executors, schedule.seed))
            link_faults.append(LinkFault(FaultKind.LINK_PARTITION, every_node, partitioned))
        elif fault.kind is FaultKind.NODE_ISOLATION:
            isolated = frozenset(resolve_selector(nodes, fault.nodes, schedule.seed))
            link_faults.append(LinkFault(FaultKind.LINK_PARTITION, isolated, None))
    return link_faults


def active_node_link_faults(schedule: FaultSchedule, at_seconds: float, nodes: Population) -> list[LinkFault]:
    """Return the link faults between nodes that are active at a time."""
    active = [fault for fault in _active_faults(schedule, at_seconds) if fault.peers]
    return [_resolve(fault, schedule.seed, nodes, nodes, fault.peers) for fault in active]


def _active_faults(schedule: FaultSchedule, at_seconds: float) -> list[Fault]:
    return [fault for fault in schedule.faults if fault.kind in LINK_FAULTS and fault.is_active(at_seconds)]


def _resolve(fault: Fault, seed: int, nodes: Population, peers: Population, peer_selector: str) -> LinkFault:
    selected = frozenset(resolve_selector(peers, peer_selector, seed)) if peer_selector else None
    return LinkFault(
        fault.kind,
        frozenset(resolve_selector(nodes, fault.nodes, seed)),
        selected,
        fault.direction,
        fault.magnitude,
    )


def corrupt_byte(data: bytes, position: int) -> bytes:
    """Return the data with one bit flipped in the byte at this position."""
    return data[:position] + bytes([data[position] ^ _CORRUPTED_BIT]) + data[position + 1 :]
