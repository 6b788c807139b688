"""The events that a host reports to the policy; `id` is the job's number at this host, never reused."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.types.endpoint_list import EndpointEntry, ListKind
    from burlmoor.types.outcome import Outcome


class EndpointListUpdate(NamedTuple):
    """The endpoint list, changes to it, or the news that receiving it failed."""

    kind: ListKind
    entries: Sequence[EndpointEntry] = ()


class JobRequest(NamedTuple):
    """A request that the node has admitted; it must get one final answer within its timeout."""

    id: int
    job_class: str
    timeout_ms: float  # from this event on
    work_ms: float = 0.0  # expected time on a standard core; 0: unknown
    slots: float = 1.0  # number that the job occupies at an endpoint
    memory: float = 0.0  # units that the job occupies at an endpoint, where memory is limited
    tenant: str = ""
    affinity_key: str = ""  # identifies the data that the job needs; "": none
    is_client_retry: bool = False  # known only where clients mark their retries
    deferred_ms: float = 0.0  # the part of the client's timeout for which the job was deferred
    deferral_credit: float = 0.0  # priority added for the deferral, from 0 to 1


class AttemptStarted(NamedTuple):
    """The endpoint has begun to run the job."""

    id: int
    attempt: int
    endpoint: str


class AttemptProgressed(NamedTuple):
    """The endpoint has completed a fraction, from 0 to 1, of the job."""

    id: int
    attempt: int
    endpoint: str
    fraction: float


class ResponseStarted(NamedTuple):
    """A streamed response has begun: the job is bound to this attempt, and no timeout applies any more."""

    id: int
    attempt: int
    endpoint: str


class AttemptCancelling(NamedTuple):
    """The node has cancelled an attempt, which ends only once its endpoint is known not to hold the job."""

    id: int
    attempt: int
    endpoint: str
    outcome: Outcome  # of the attempt, unless the endpoint reports another one first


class AttemptEnded(NamedTuple):
    """The end of an attempt; each attempt that the policy starts ends exactly once."""

    id: int
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed_ms: float  # since the attempt was sent
    is_job_closed: bool  # whether the job no longer needs a final answer


class JobClosed(NamedTuple):
    """The job no longer needs a final answer: its client has disconnected, or the host has answered it."""

    id: int


class HealthChecked(NamedTuple):
    """The result of a health check."""

    endpoint: str
    outcome: Outcome
    elapsed_ms: float


class PeerMessageReceived(NamedTuple):
    """A message from another node."""

    sender: int  # the node's index
    data: bytes


class HandoverChanged(NamedTuple):
    """Whether another process of this node now admits its jobs and uses its budgets in place of this one."""

    is_handed_over: bool


class TimerFired(NamedTuple):
    """A timer that the policy has set has fired."""

    token: int


Event = (
    EndpointListUpdate
    | JobRequest
    | AttemptStarted
    | AttemptProgressed
    | ResponseStarted
    | AttemptCancelling
    | AttemptEnded
    | JobClosed
    | HealthChecked
    | PeerMessageReceived
    | HandoverChanged
    | TimerFired
)
