"""The events that a host reports to a node's policy."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.types.outcome import Outcome


class EndpointListUpdate(NamedTuple):
    """The list of executors, or changes to it."""

    kind: ListKind
    entries: Sequence[EndpointEntry] = ()


class JobRequest(NamedTuple):
    """A request that this node now owes one final answer within `patience`."""

    id: int
    job_class: str
    timeout_ms: float
    work_ms: float = 0.0  # hinted time on a standard core; 0: no hint
    slots: float = 1.0
    memory: float = 0.0
    tenant: str = ""
    affinity_key: str = ""
    is_client_retry: bool = False
    deferred_ms: float = 0.0  # how much of what its client allows has gone in waiting for leave to run
    deferral_credit: float = 0.0  # from 0 to 1: what that waiting has earned


class AttemptStarted(NamedTuple):
    """An attempt's job has begun to run."""

    id: int
    attempt: int
    endpoint: str


class AttemptProgressed(NamedTuple):
    """A running attempt has done this share of its job."""

    id: int
    attempt: int
    endpoint: str
    fraction: float


class ResponseStarted(NamedTuple):
    """The answer has begun to flow: the attempt belongs to the client now."""

    id: int
    attempt: int
    endpoint: str


class AttemptEnded(NamedTuple):
    """How an attempt ended; `closed` when the request is over with it."""

    id: int
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    is_job_closed: bool


class ClientDisconnected(NamedTuple):
    """The client left: nothing more is owed."""

    id: int


class HealthChecked(NamedTuple):
    """What a probe found."""

    endpoint: str
    outcome: Outcome
    elapsed_ms: float


class PeerMessageReceived(NamedTuple):
    """Another node wrote."""

    sender: int
    data: bytes


class HandoverChanged(NamedTuple):
    """Whether another process of this same node takes its jobs, and its budgets, in this one's place."""

    is_handed_over: bool


class TimerFired(NamedTuple):
    """A timer that was set has come due."""

    token: int


Event = (
    EndpointListUpdate
    | JobRequest
    | AttemptStarted
    | AttemptProgressed
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | HealthChecked
    | PeerMessageReceived
    | HandoverChanged
    | TimerFired
)
