"""The entries of the endpoint list and the kinds of update to it (protocol: "Discovery")."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointState(Enum):
    """The state of an endpoint as the list has it."""

    LIVE = "live"
    DRAINING = "draining"  # finishes what it has; nothing new may be sent
    GONE = "gone"  # removed; among changes only


class ListKind(Enum):
    """What an `EndpointListUpdate` holds."""

    DELTA = "changes"  # the entries that changed
    SNAPSHOT = "full"  # all entries
    CACHED = "cached"  # all entries as this node last saw them; perhaps stale
    FAILED = "failed"  # nothing: a call failed or the watch ended, and the list so far stays in force


class EndpointEntry(NamedTuple):
    """One endpoint as the list has it."""

    endpoint: str  # its name, the same at every node
    state: EndpointState = EndpointState.LIVE
    zone: str = ""
    weight: float = 1.0  # relative size, without a unit
    cell: int = 0  # the small set of endpoints with which it shares the keys that it has seen
    kind: str = ""  # of machine
    started_at: float = 0.0  # last start, ms on the policy's clock; 0: long ago
