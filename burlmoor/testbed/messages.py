"""The bodies of requests and responses that stand-ins write and read: JSON, by the published protocol."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import UNSET, UnsetType


class JobState(StrEnum):
    """What an executor reports of a job."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # not started, by an executor that drains


class JobParameters(msgspec.Struct):
    """The body of a job, which tells its executor what to do."""

    work_ms: float = msgspec.field(name="work")  # on one core of speed 1, for each slot
    slots: int = 1
    is_failing: bool = msgspec.field(name="fails", default=False)  # whether it is to be reported as failed


class JobEvent(msgspec.Struct):
    """A call-back: what an executor reports of a job to the node that sent it."""

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
