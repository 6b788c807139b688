"""What a host tells a `Dispatcher` and what a `Dispatcher` asks of its host.

Three groups: the settings given once, the events that happen to one node, and the actions that it
answers with. All times are milliseconds as floats. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What a repeat of a request of a class would do."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"  # repeats are dropped inside a group of executors, for a while
    ONCE = "once"  # must never run twice


class Group(Enum):
    """The executors that drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the attempt did not run."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset((Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT))


class State(Enum):
    """What the list says of an executor."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class Form(Enum):
    """What kind of list a `Members` event brings."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"  # a full list as this node last saw it: perhaps stale
    FAILED = "failed"  # a call failed or the subscription dropped; the old list holds


# --- settings ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of requests."""

    name: str
    worth: float = 1.0
    aim: float = 1000.0
    stretch: float = 0.0  # the aim grows by this multiple of the job's own work
    deadline: float = 10_000.0
    effect: Effect = Effect.REPEATABLE
    group: Group = Group.ALL
    window: float = 0.0  # how long repeats of a keyed request are dropped
    late_worth: float = 0.0
    kind: str | None = None  # the only kind of executor that runs it
    priority: int = 0  # at executors that serve their queue by priority


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and what it may send: `quota` in requests a second over all nodes."""

    name: str
    share: float = 0.0
    quota: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a node may do."""

    attempts: int = 3
    cancel: bool = False
    probes: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: float = 1000.0
    connect_timeout: float = 250.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures behind the rules that every node keeps alone."""

    answer_slack: float = 0.0
    drain_grace: float = 1000.0
    cold_capacity: float = 0.2  # a started executor has at least this share of its capacity
    cold: float = 10_000.0  # and is warm after this long at most
    fall_multiple: float = 2.0
    fall_window: float = 2000.0
    ask_within: float = 10_000.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, as fractions of all worth, per unit."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Blend:
    """How much the parts of the result count beside one another."""

    whole: float = 1.0
    worst_class: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a node is told at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = Limits()
    rules: Rules = Rules()
    prices: Prices = Prices()
    blend: Blend = Blend()
    zone: str = ""
    me: int | None = None  # this node's number, below `balancers`
    balancers: int = 1
    must_ask: bool = False  # the list comes only to those who ask
    tick: float = 1.0  # the shortest time between two calls of `handle`
    progress_every: float = 0.0  # between progress notes of a running job; 0: none
    tells_start: bool = False
    worth_by_work: bool = False
    over_share_worth: float = 1.0

    def check(self) -> None:
        """Raise a `ValueError` naming the setting that cannot be meant."""
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        for job_class in self.classes:
            if min(job_class.aim, job_class.deadline, job_class.window, job_class.stretch) < 0.0:
                raise ValueError(f"classes: {job_class.name}: a time is negative")
        for name in ("answer_slack", "drain_grace", "cold", "fall_window", "ask_within"):
            if getattr(self.rules, name) < 0.0:
                raise ValueError(f"rules.{name}: a time is negative")
        if self.tick <= 0.0:
            raise ValueError("tick: must be above 0")


# --- events -----------------------------------------------------------------------------------


class Entry(NamedTuple):
    """One executor as the list tells it. `started` 0: long ago."""

    executor: str
    state: State = State.LIVE
    zone: str = ""
    weight: float = 1.0
    cell: int = 0
    kind: str = ""
    started: float = 0.0


class Members(NamedTuple):
    """The list of executors, or changes to it."""

    form: Form
    entries: Sequence[Entry] = ()


class Request(NamedTuple):
    """A request that this node now owes one final answer within `patience`."""

    id: int
    job_class: str
    patience: float
    work: float = 0.0  # hinted time on a standard core; 0: no hint
    slots: float = 1.0
    memory: float = 0.0
    tenant: str = ""
    key: str = ""
    retry: bool = False
    waited: float = 0.0  # how much of what its client allows has gone in waiting for leave to run
    claim: float = 0.0  # from 0 to 1: what that waiting has earned


class Started(NamedTuple):
    """An attempt's job has begun to run."""

    id: int
    attempt: int
    executor: str


class Progress(NamedTuple):
    """A running attempt has done this share of its job."""

    id: int
    attempt: int
    executor: str
    share: float


class StreamOpened(NamedTuple):
    """The answer has begun to flow: the attempt belongs to the client now."""

    id: int
    attempt: int
    executor: str


class Ended(NamedTuple):
    """How an attempt ended; `closed` when the request is over with it."""

    id: int
    attempt: int
    executor: str
    outcome: Outcome
    elapsed: float
    closed: bool


class Gone(NamedTuple):
    """The client left: nothing more is owed."""

    id: int


class Probed(NamedTuple):
    """What a probe found."""

    executor: str
    outcome: Outcome
    elapsed: float


class PeerMessage(NamedTuple):
    """Another node wrote."""

    sender: int
    data: bytes


class Yielded(NamedTuple):
    """Whether another process of this same node takes its jobs, and its budgets, in this one's place."""

    yielded: bool


class Timer(NamedTuple):
    """A timer that was set has come due."""

    token: int


Event = (
    Members
    | Request
    | Started
    | Progress
    | StreamOpened
    | Ended
    | Gone
    | Probed
    | PeerMessage
    | Yielded
    | Timer
)


# --- actions ----------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start an attempt; it is dropped after `give_up` (0: when the client leaves)."""

    id: int
    executor: str
    give_up: float = 0.0


class Refuse(NamedTuple):
    """Final answer: turned away, a retry does no harm after `retry_after`."""

    id: int
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Final answer: failed; promises nothing."""

    id: int


class Cancel(NamedTuple):
    """Stop waiting for one attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a `Timer` event after `delay`."""

    delay: float
    token: int


class Subscribe(NamedTuple):
    """Ask to be told of changes to the list from now on."""


class Fetch(NamedTuple):
    """Ask once for the whole list."""


class Probe(NamedTuple):
    """Look at an executor."""

    executor: str


class Log(NamedTuple):
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Subscribe | Fetch | Probe | Log
