"""Data types for faults and fault schedules.

Times are in seconds since the start of the load. `msgspec.field(name=...)` gives the names that fields have
in stored schedules and records.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from burlmoor.testbed.fleet.fault_kinds import FaultKind


class LinkDirection(StrEnum):
    """The direction of traffic that a link fault affects; FORWARD is from nodes to peers."""

    BOTH = "both"
    FORWARD = "forward"
    BACK = "back"


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault, from `start` for `duration` seconds, of the nodes and executors that its selectors match.

    Selectors are described in `fault_selectors.py`; `peers` selects the other ends of links between nodes.
    The forward direction is from nodes to executors, or from `nodes` to `peers`. For a restart, `duration` is
    the time from the end of the process to its next start.

    `magnitude` depends on the kind:

    - link delay, discovery delay, reordering: a delay in ms;
    - loss, reset, corruption, duplication: the share of datagrams, or of chunks read from a connection;
    - throttling: bytes per second;
    - executor slowdown: the factor by which the executor is slower;
    - restart and reload: a number of signals;
    - connection flood, persistent clients: a number of clients;
    - stalls: the longest time for which a node is stopped, in ms.
    """

    kind: FaultKind = msgspec.field(name="what")
    start: float = msgspec.field(name="at")
    duration: float = msgspec.field(name="lasts")
    nodes: str = ""
    executors: str = ""
    peers: str = ""
    direction: LinkDirection = LinkDirection.BOTH
    magnitude: float = msgspec.field(default=0.0, name="size")
    # Seconds until discovery announces that an executor has died, is partitioned or is back.
    notification_delay: float = msgspec.field(default=1.0, name="told")
    # Seconds over which the fault's starts are spread across the nodes or executors; 0: all at once.
    stagger: float = msgspec.field(default=0.0, name="over")
    # Seconds over which the restarts of killed or terminated nodes are spread.
    restart_stagger: float = msgspec.field(default=0.0, name="back")

    @property
    def end(self) -> float:
        """The time when the fault is over for the first node or executor that it affects."""
        return self.start + self.duration

    @property
    def end_for_all(self) -> float:
        """The time when the fault is over for all nodes or executors that it affects."""
        return self.end + self.stagger + self.restart_stagger

    def is_active(self, at_seconds: float) -> bool:
        """Return whether the fault is in effect at a time for the first node or executor that it affects."""
        return self.start <= at_seconds < self.end


class FaultSchedule(msgspec.Struct, frozen=True):
    """All faults of a run, and the seed for selectors that draw members at random."""

    seed: int
    faults: tuple[Fault, ...] = msgspec.field(default=(), name="troubles")
