"""The entries of the endpoint list and the kinds of update to it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointState(Enum):
    """What the list says of an executor."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What kind of list a `Members` event brings."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"  # a full list as this node last saw it: perhaps stale
    FAILED = "failed"  # a call failed or the subscription dropped; the old list holds


class EndpointEntry(NamedTuple):
    """One executor as the list tells it. `started` 0: long ago."""

    endpoint: str
    state: EndpointState = EndpointState.LIVE
    zone: str = ""
    weight: float = 1.0
    cell: int = 0
    kind: str = ""
    started_at: float = 0.0
