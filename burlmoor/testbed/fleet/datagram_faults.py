"""Applies link faults to the datagrams between nodes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import LinkDirection
from burlmoor.testbed.fleet.link_faults import BLOCKING_FAULTS, DELAY_JITTER, DirectedLink, corrupt_byte

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.link_faults import LinkFault


class DatagramCopy(NamedTuple):
    """One datagram to deliver after a delay."""

    delay_seconds: float
    payload: bytes


class DatagramFaults:
    """Owns the link faults that are in effect, and applies them to datagrams."""

    def __init__(self, seed: int) -> None:
        self.link_faults: list[LinkFault] = []
        self._rng = random.Random(seed)

    def apply(self, payload: bytes, source: int, destination: int) -> list[DatagramCopy]:
        """Return the copies that arrive of a datagram between two nodes: none, one or several.

        The forward direction of a fault is from its `nodes` to its `peers`, so a datagram from one of its
        `peers` to one of its `nodes` goes in the back direction.
        """
        copies = [DatagramCopy(0.0, payload)]
        forward = DirectedLink(source, destination, LinkDirection.FORWARD)
        back = DirectedLink(destination, source, LinkDirection.BACK)
        for fault in self.link_faults:
            if fault.affects(forward) or fault.affects(back):
                copies = self._apply_fault(fault, copies)
            if not copies:
                break
        return copies

    def _apply_fault(self, fault: LinkFault, copies: list[DatagramCopy]) -> list[DatagramCopy]:
        # Drawn for a fault of any kind, but used only where the magnitude is a probability: for loss,
        # duplication and corruption.
        is_affected = self._rng.random() < fault.magnitude
        if fault.kind in BLOCKING_FAULTS or (fault.kind is FaultKind.LINK_LOSS and is_affected):
            return []
        if fault.kind is FaultKind.LINK_DUPLICATION and is_affected:
            return [*copies, copies[0]]
        if fault.kind is FaultKind.LINK_DELAY:
            return [_delay(copy, fault.magnitude * self._rng.uniform(*DELAY_JITTER) / 1e3) for copy in copies]
        if fault.kind is FaultKind.LINK_REORDERING:
            return [_delay(copy, self._rng.uniform(0.0, fault.magnitude) / 1e3) for copy in copies]
        if fault.kind is FaultKind.LINK_CORRUPTION and copies[0].payload and is_affected:
            position = self._rng.randrange(len(copies[0].payload))
            return [copy._replace(payload=corrupt_byte(copy.payload, position)) for copy in copies]
        return copies


def _delay(copy: DatagramCopy, seconds: float) -> DatagramCopy:
    return copy._replace(delay_seconds=copy.delay_seconds + seconds)
