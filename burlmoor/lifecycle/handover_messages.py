"""The messages that two processes of one node send each other during a handover.

Tags and encoded field names match the release in production, because either process may run that release.
"""

from __future__ import annotations

import msgspec

from burlmoor.admin.overrides import Overrides
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.policy.statistics.snapshot import StatisticsSnapshot

PROTOCOL_VERSION = 2


class Hello(msgspec.Struct, tag="Hello"):
    """Successor to predecessor: requests a `Snapshot`, in order to take over."""

    version: int = PROTOCOL_VERSION


class Snapshot(msgspec.Struct, tag="Snapshot"):
    """Predecessor to successor: overrides, endpoint list, statistics, ids of jobs and connection counts.

    The ids are those of open jobs and of recent ones that may have run.
    """

    overrides: Overrides = msgspec.field(name="by_hand")
    endpoints: DiscoveredList | None = msgspec.field(name="hosts")
    statistics: StatisticsSnapshot = msgspec.field(name="learnt")
    job_ids: list[str] = msgspec.field(name="ids")
    downstream_connections: int = msgspec.field(name="clients")
    upstream_connections: int = msgspec.field(name="targets")


class Accepting(msgspec.Struct, tag="Accepting"):
    """Successor to predecessor: the successor accepts connections from now on."""


class ConnectionCounts(msgspec.Struct, tag="Holds"):
    """Predecessor to successor: it has stopped accepting, and still has these numbers of connections open."""

    downstream_connections: int = msgspec.field(name="clients")
    upstream_connections: int = msgspec.field(name="targets")


class JobOpened(msgspec.Struct, tag="Opened"):
    """In either direction: the sender admitted a job since the `Snapshot`, or was notified of one."""

    request_id: str = msgspec.field(name="id")


class ApplyOverride(msgspec.Struct, tag="Obey"):
    """In either direction: an override that the sender has applied. Answered by `Acknowledged`."""

    number: int
    path: str
    name: str


class ForwardedCallback(msgspec.Struct, tag="CalledBack"):
    """In either direction: a call-back for a job unknown to the sender. Answered by `Acknowledged`."""

    number: int
    body: bytes


class Acknowledged(msgspec.Struct, tag="Taken"):
    """In either direction: the message with this number was handled and need not be repeated."""

    number: int


class PassedConnection(msgspec.Struct, tag="Client"):
    """Predecessor to successor: an idle client connection, whose descriptor is passed with the message."""

    has_been_used: bool = msgspec.field(name="used")
    age_seconds: float = msgspec.field(name="age")  # since it was accepted


class Fragment(msgspec.Struct, tag="Part"):
    """In either direction: a fragment of a message that does not fit into one datagram."""

    data: bytes
    is_last: bool = msgspec.field(name="last")


Message = (
    Hello
    | Snapshot
    | Accepting
    | ConnectionCounts
    | JobOpened
    | ApplyOverride
    | ForwardedCallback
    | Acknowledged
    | PassedConnection
    | Fragment
)
