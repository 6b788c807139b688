"""Which faults affect which links at a moment; the relays and the datagram switch apply them."""

from __future__ import annotations

import msgspec

from burlmoor.testbed.fleet.faults import (
    LINK_FAULTS,
    Direction,
    Fault,
    FaultSchedule,
    Population,
    resolve_selector,
)


class LinkFault(msgspec.Struct, frozen=True):
    """A fault of some links that is in effect now."""

    kind: str
    nodes: frozenset[int]
    peers: frozenset[int] | None  # executors, or other nodes; None: all
    direction: Direction = "both"
    magnitude: float = 0.0

    def affects(self, node: int, peer: int, forward: bool) -> bool:
        """Whether it affects the link from this node to this peer, in this direction."""
        is_direction = self.direction == "both" or (self.direction == "forward") == forward
        return is_direction and node in self.nodes and (self.peers is None or peer in self.peers)


def active_executor_link_faults(
    schedule: FaultSchedule, at_seconds: float, nodes: Population, executors: Population
) -> list[LinkFault]:
    """Return the faults of links between nodes and executors at a moment."""
    active = [fault for fault in _active_faults(schedule, at_seconds) if not fault.peers]
    link_faults = [_resolve(fault, schedule.seed, nodes, executors, fault.executors) for fault in active]
    every_node = frozenset(range(len(nodes.names)))
    for fault in schedule.faults:
        if fault.kind == "vanish" and fault.start <= at_seconds < fault.end:
            vanished = frozenset(resolve_selector(executors, fault.executors, schedule.seed))
            link_faults.append(LinkFault("cut", every_node, vanished))
        elif fault.kind == "isolate" and fault.start <= at_seconds < fault.end:
            isolated = frozenset(resolve_selector(nodes, fault.nodes, schedule.seed))
            link_faults.append(LinkFault("cut", isolated, None))
    return link_faults


def active_node_link_faults(schedule: FaultSchedule, at_seconds: float, nodes: Population) -> list[LinkFault]:
    """Return the faults of links between nodes at a moment."""
    active = [fault for fault in _active_faults(schedule, at_seconds) if fault.peers]
    return [_resolve(fault, schedule.seed, nodes, nodes, fault.peers) for fault in active]


def _active_faults(schedule: FaultSchedule, at_seconds: float) -> list[Fault]:
    faults = [fault for fault in schedule.faults if fault.kind in LINK_FAULTS]
    return [fault for fault in faults if fault.start <= at_seconds < fault.end]


def _resolve(fault: Fault, seed: int, nodes: Population, peers: Population, peer_selector: str) -> LinkFault:
    selected = frozenset(resolve_selector(peers, peer_selector, seed)) if peer_selector else None
    return LinkFault(
        fault.kind,
        frozenset(resolve_selector(nodes, fault.nodes, seed)),
        selected,
        fault.direction,
        fault.magnitude,
    )
