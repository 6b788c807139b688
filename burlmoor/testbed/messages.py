"""The JSON bodies that stand-ins read and write, as the published protocol defines them."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import UNSET, UnsetType


class JobState(StrEnum):
    """The state of a job in a call-back."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # by a draining executor, not started


class JobParameters(msgspec.Struct):
    """The body of a job, which tells its executor what to do."""

    work_ms: float = msgspec.field(name="work")  # ms on one core of speed 1, for each slot
    slots: int = 1
    reports_failure: bool = msgspec.field(name="fails", default=False)  # the executor reports it as failed


class JobEvent(msgspec.Struct):
    """A call-back: an executor's report on a job to the node that sent it."""

    id: str
    executor: str = msgspec.field(name="from")
    state: JobState
    done_fraction: float | UnsetType = msgspec.field(name="share", default=UNSET)
    result: str | UnsetType = UNSET


class EndpointHealth(StrEnum):
    """The health of an endpoint as discovery reports it."""

    ACTIVE = "active"
    DRAINING = "leaving"
    GONE = "left"


class EndpointEntry(msgspec.Struct, frozen=True):
    """One endpoint on the endpoint list."""

    name: str = msgspec.field(name="host")
    zone: str = msgspec.field(name="site", default="a")
    kind: str = msgspec.field(name="class", default="m")
    cell: int = msgspec.field(name="block", default=1)
    health: EndpointHealth = EndpointHealth.ACTIVE
    weight: float = msgspec.field(name="share", default=1.0)
    started_unix_ms: float = msgspec.field(name="born_ms", default=0)  # 0: long ago
    address: str = msgspec.field(name="dial", default="")  # `host:port`; differs by node


class EndpointListMessage(msgspec.Struct, frozen=True):
    """The endpoint list, or the entries that changed since an earlier version."""

    version: int = msgspec.field(name="seq")
    is_complete: bool = msgspec.field(name="whole")
    entries: list[EndpointEntry] = msgspec.field(name="hosts")
