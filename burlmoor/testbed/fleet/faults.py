"""Faults as data: what goes wrong, with which nodes and executors, and when.

Times are seconds from the beginning of the load. Fields keep the names that they have in stored schedules and
records through `msgspec.field(name=...)`.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from burlmoor.testbed.fleet.fault_kinds import FaultKind


class LinkDirection(StrEnum):
    """Which way the bytes flow that a link fault affects; forward is from nodes to their peers."""

    BOTH = "both"
    FORWARD = "forward"
    BACK = "back"


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault, from `start` for `duration` seconds, of the nodes and executors that its selectors name.

    Selectors are described in `fault_selectors.py`; `peers` selects the other nodes of links between nodes.
    The direction forward is from nodes to executors (or from `nodes` to `peers`). `magnitude` is in ms for a
    delay of links or of discovery and for reordering; the share of messages affected for loss, resets,
    corruption and duplication; bytes a second for throttling; how many times slower for a slowdown; and a
    number of signals or clients for a restart, a reload and a connection flood. The duration of a restart is
    the time between the end and the next start.
    """

    kind: FaultKind = msgspec.field(name="what")
    start: float = msgspec.field(name="at")
    duration: float = msgspec.field(name="lasts")
    nodes: str = ""
    executors: str = ""
    peers: str = ""
    direction: LinkDirection = LinkDirection.BOTH
    magnitude: float = msgspec.field(default=0.0, name="size")
    # Seconds until discovery announces that an executor has died, is cut off or is back.
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

    def is_active(self, at_seconds: float) -> bool:
        """Whether the fault is in effect at a moment for the first of those that it affects."""
        return self.start <= at_seconds < self.end


class FaultSchedule(msgspec.Struct, frozen=True):
    """All faults of a run, and the seed from which selectors draw."""

    seed: int
    faults: tuple[Fault, ...] = msgspec.field(default=(), name="troubles")
