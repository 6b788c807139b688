"""The settings of one node, as the policy and the engine use them; `burlmoor.config` decodes them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from burlmoor.errors import BurlmoorError


class InvalidSettingError(BurlmoorError, ValueError):
    """A setting is invalid; its text is one line."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class Idempotency(Enum):
    """The effect of running a job of a class twice."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENT_WITH_KEY = "keyed"  # repeats are dropped within the deduplication scope, for a while
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
    priority_weight: float = 1.0  # of a job served in time, relative to other classes
    latency_objective_ms: float = 1000.0  # a job served within this yields its full weight
    objective_stretch: float = 0.0  # the objective grows by this multiple of the job's own work
    deadline_ms: float = 10_000.0  # how long a client waits in all, over its retries
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # from the first attempt that may have run
    late_fraction: float = 0.0  # of its weight that a job served after the objective yields
    required_kind: str | None = None  # the only kind of executor that runs it
    priority: int = 0  # at executors that serve their queue by priority


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its quota."""

    name: str
    share: float = 0.0  # of the service, from 0 to 1
    quota_per_second: float = 0.0  # requests, over all nodes


@dataclass(frozen=True, slots=True)
class Limits:
    """What a node is allowed to do."""

    max_attempts: int = 3  # of one job
    may_cancel: bool = False
    may_check_health: bool = False
    may_hedge: bool = False  # have two attempts of a job open concurrently
    sends_retry_after: bool = False
    max_retry_after_ms: float = 1000.0  # the longest that clients follow
    connect_timeout_ms: float = 250.0

    @property
    def max_open_attempts(self) -> int:
        """How many attempts of one job may be open concurrently."""
        return 2 if self.may_hedge else 1


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the rules that every node has to keep."""

    response_slack_ms: float = 0.0  # how long after the client's deadline an answer still counts
    drain_grace_ms: float = 1000.0  # sends to a draining or removed endpoint have to stop within it
    initial_capacity: float = 0.2  # the fraction of its capacity that an executor has at least when it starts
    slow_start_ms: float = 10_000.0  # after which it has all of it
    overload_multiple: float = 2.0  # a load of more than this many times its present capacity,
    overload_window_ms: float = 2000.0  # for this long, brings down an executor in slow start
    poll_interval_ms: float = 10_000.0  # within which a node without a watch has to fetch the list

    def check(self) -> None:
        """Check the times.

        Raises:
            InvalidSettingError: a time is negative; the first one, under the name that errors have for it.
        """
        times_ms = {
            "answer_slack": self.response_slack_ms,
            "drain_grace": self.drain_grace_ms,
            "cold": self.slow_start_ms,
            "fall_window": self.overload_window_ms,
            "ask_within": self.poll_interval_ms,
        }
        for name, time_ms in times_ms.items():
            if time_ms < 0.0:
                field = f"rules.{name}"
                raise InvalidSettingError(field, "a time is negative")


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, as fractions of all weight, per unit."""

    cross_zone: float = 0.0  # for attempts in another zone, per first attempt
    waste: float = 0.0  # for executors' work without an answer, per work offered
    health_check: float = 0.0  # per first attempt
    late_failure: float = 0.0  # for jobs that ended unserved after their objective


@dataclass(frozen=True, slots=True)
class ObjectiveWeights:
    """The relative weights of the components of the result."""

    overall: float = 1.0
    worst_class: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one node, as its configuration gives them."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = Limits()
    rules: Rules = Rules()
    prices: Prices = Prices()
    objective: ObjectiveWeights = ObjectiveWeights()
    zone: str = ""
    node_index: int | None = None  # this node's number, from 0 and below `node_count`
    node_count: int = 1
    must_poll: bool = False  # list updates come only to a node that fetches or watches
    tick_ms: float = 1.0  # the shortest time between two calls of the policy
    progress_interval_ms: float = 0.0  # between progress reports of a running job; 0: none
    reports_start: bool = False  # whether executors report that a job has started
    weight_by_work: bool = False  # whether a job's weight counts by its work
    over_quota_fraction: float = 1.0  # of its weight that a job over its tenant's quota has

    def check(self) -> None:
        """Check all settings.

        Raises:
            InvalidSettingError: a setting is invalid; the first one.
        """
        if not self.classes:
            field = "classes"
            raise InvalidSettingError(field, "at least one class is needed")
        for job_class in self.classes:
            times_ms = (
                job_class.latency_objective_ms,
                job_class.deadline_ms,
                job_class.deduplication_window_ms,
                job_class.objective_stretch,
            )
            if min(times_ms) < 0.0:
                field = f"classes.{job_class.name}"
                raise InvalidSettingError(field, "a time is negative")
        self.rules.check()
        if self.tick_ms <= 0.0:
            field = "tick"
            raise InvalidSettingError(field, "must be above 0")
