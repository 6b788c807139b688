"""What a host tells a `Dispatcher` and what a `Dispatcher` asks of its host.

Three groups: the settings given once, the events that happen to one node, and the actions that it
answers with. All times are milliseconds as floats. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """What a repeat of a request of a class would do."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENT_WITH_KEY = "keyed"  # repeats are dropped inside a group of executors, for a while
    NON_IDEMPOTENT = "once"  # must never run twice


class DeduplicationScope(Enum):
    """The executors that drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"

    @property
    def proves_not_started(self) -> bool:
        """True where the outcome proves that the attempt did not run."""
        return self in _PROVES_NOT_STARTED


_PROVES_NOT_STARTED = frozenset((Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.UNSENT))


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


# --- settings ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of requests."""

    name: str
    priority_weight: float = 1.0
    latency_objective_ms: float = 1000.0
    objective_stretch: float = 0.0  # the aim grows by this multiple of the job's own work
    deadline_ms: float = 10_000.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # how long repeats of a keyed request are dropped
    late_fraction: float = 0.0
    required_kind: str | None = None  # the only kind of executor that runs it
    priority: int = 0  # at executors that serve their queue by priority


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and what it may send: `quota` in requests a second over all nodes."""

    name: str
    share: float = 0.0
    quota_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a node may do."""

    max_attempts: int = 3
    may_cancel: bool = False
    may_check_health: bool = False
    may_hedge: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 1000.0
    connect_timeout_ms: float = 250.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures behind the rules that every node keeps alone."""

    response_slack_ms: float = 0.0
    drain_grace_ms: float = 1000.0
    initial_capacity: float = 0.2  # a started executor has at least this share of its capacity
    slow_start_ms: float = 10_000.0  # and is warm after this long at most
    overload_multiple: float = 2.0
    overload_window_ms: float = 2000.0
    poll_interval_ms: float = 10_000.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, as fractions of all worth, per unit."""

    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = 0.0
    late_failure: float = 0.0


@dataclass(frozen=True, slots=True)
class ObjectiveWeights:
    """How much the parts of the result count beside one another."""

    overall: float = 1.0
    worst_class: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a node is told at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = Limits()
    rules: Rules = Rules()
    prices: Prices = Prices()
    objective: ObjectiveWeights = ObjectiveWeights()
    zone: str = ""
    node_index: int | None = None  # this node's number, below `balancers`
    node_count: int = 1
    must_poll: bool = False  # the list comes only to those who ask
    tick_ms: float = 1.0  # the shortest time between two calls of `handle`
    progress_interval_ms: float = 0.0  # between progress notes of a running job; 0: none
    reports_start: bool = False
    weight_by_work: bool = False
    over_quota_fraction: float = 1.0

    def check(self) -> None:
        """Raise a `ValueError` naming the setting that cannot be meant."""
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        for job_class in self.classes:
            if (
                min(
                    job_class.latency_objective_ms,
                    job_class.deadline_ms,
                    job_class.deduplication_window_ms,
                    job_class.objective_stretch,
                )
                < 0.0
            ):
                raise ValueError(f"classes: {job_class.name}: a time is negative")
        times = {
            "answer_slack": self.rules.response_slack_ms,
            "drain_grace": self.rules.drain_grace_ms,
            "cold": self.rules.slow_start_ms,
            "fall_window": self.rules.overload_window_ms,
            "ask_within": self.rules.poll_interval_ms,
        }
        for name, time_ms in times.items():
            if time_ms < 0.0:
                raise ValueError(f"rules.{name}: a time is negative")
        if self.tick_ms <= 0.0:
            raise ValueError("tick: must be above 0")


# --- events -----------------------------------------------------------------------------------


class EndpointEntry(NamedTuple):
    """One executor as the list tells it. `started` 0: long ago."""

    endpoint: str
    state: EndpointState = EndpointState.LIVE
    zone: str = ""
    weight: float = 1.0
    cell: int = 0
    kind: str = ""
    started_at: float = 0.0


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


# --- actions ----------------------------------------------------------------------------------


class StartAttempt(NamedTuple):
    """Start an attempt; it is dropped after `give_up` (0: when the client leaves)."""

    id: int
    endpoint: str
    timeout_ms: float = 0.0


class RejectJob(NamedTuple):
    """Final answer: turned away, a retry does no harm after `retry_after`."""

    id: int
    retry_after_ms: float = 0.0


class FailJob(NamedTuple):
    """Final answer: failed; promises nothing."""

    id: int


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a `Timer` event after `delay`."""

    delay_ms: float
    token: int


class WatchEndpoints(NamedTuple):
    """Ask to be told of changes to the list from now on."""


class FetchEndpoints(NamedTuple):
    """Ask once for the whole list."""


class CheckHealth(NamedTuple):
    """Look at an executor."""

    endpoint: str


class LogWarning(NamedTuple):
    """A line for the operators."""

    text: str


Action = (
    StartAttempt
    | RejectJob
    | FailJob
    | CancelAttempt
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | CheckHealth
    | LogWarning
)
