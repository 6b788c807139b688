"""The settings of one node, as the policy and the engine use them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
