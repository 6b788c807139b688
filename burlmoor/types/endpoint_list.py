"""The entries of the endpoint list and the kinds of update to it (protocol: "Discovery")."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list."""

    LIVE = "live"
    DRAINING = "draining"  # finishes its jobs; nothing new may be sent
    GONE = "gone"  # removed; only in a DELTA


class ListKind(Enum):
    """The kind of an `EndpointListUpdate`, which determines the entries that it has."""

    DELTA = "changes"  # the entries that changed
    SNAPSHOT = "full"  # all entries
    CACHED = "cached"  # all entries of the last list that this node received; may be stale
    FAILED = "failed"  # none: a call failed or the watch ended; the previous list remains valid


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list."""

    endpoint: str  # its name, the same at every node
    state: EndpointState = EndpointState.LIVE
    zone: str = ""
    weight: float = 1.0  # relative size, without a unit
    cell: int = 0  # the small group of endpoints that share a record of the idempotency keys they have seen
    kind: str = ""  # the kind of machine
    started_at: float = 0.0  # the time of its last start, in ms on the policy's clock; 0: long ago
