"""The settings of one node, as the policy and the engine use them.

`burlmoor.config.settings` decodes them, with the platform's defaults. The defaults here differ from these;
they apply to settings that code makes without a configuration, as tests do.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from burlmoor.errors import BurlmoorError


class InvalidSettingError(BurlmoorError, ValueError):
    """A setting is invalid; the message is one line that names it."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class Idempotency(Enum):
    """Whether jobs of a class may run more than once."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENT_WITH_KEY = "keyed"  # repeats are dropped within the deduplication scope and window
    NON_IDEMPOTENT = "once"  # must never run twice


class DeduplicationScope(Enum):
    """The group of executors within which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of requests."""

    name: str
    priority_weight: float = 1.0  # of a job served in time, relative to other classes
    latency_objective_ms: float = 1000.0  # a job served within it earns its full weight
    objective_stretch: float = 0.0  # the objective grows by this multiple of the job's own work
    deadline_ms: float = 10_000.0  # how long a client waits in total, including its retries
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # from the first attempt that may have run
    late_fraction: float = 0.0  # the fraction of its weight that a job served after the objective earns
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
    may_hedge: bool = False  # may have two attempts of a job open concurrently
    sends_retry_after: bool = False
    max_retry_after_ms: float = 1000.0  # the longest delay that clients respect
    connect_timeout_ms: float = 250.0

    @property
    def max_open_attempts(self) -> int:
        """The maximum number of concurrently open attempts of one job."""
        return 2 if self.may_hedge else 1


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the rules that every node must follow."""

    response_slack_ms: float = 0.0  # how long after the client's deadline an answer still counts
    drain_grace_ms: float = 1000.0  # the time within which sends to a draining or removed endpoint must stop
    initial_capacity_fraction: float = 0.2  # of its full capacity that an executor has at its start
    slow_start_ms: float = 10_000.0  # time from its start until an executor has its full capacity
    # An executor in slow start fails under a load of more than `overload_multiple` times its present capacity
    # for `overload_window_ms`.
    overload_multiple: float = 2.0
    overload_window_ms: float = 2000.0
    poll_interval_ms: float = 10_000.0  # the time within which a node without a watch must fetch the list

    def check(self) -> None:
        """Check that no time is negative.

        Raises:
            InvalidSettingError: a time is negative; only the first is reported, by its name in `times_ms`.
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
                raise InvalidSettingError(field, f"must not be negative, got {time_ms:g} ms")


@dataclass(frozen=True, slots=True)
class Penalties:
    """Penalties subtracted from the objective, as fractions of the total priority weight per unit."""

    cross_zone: float = 0.0  # for attempts sent to another zone, per first attempt
    waste: float = 0.0  # for executors' work that led to no answer, per work offered
    health_check: float = 0.0  # for health checks, per first attempt
    late_failure: float = 0.0  # for jobs that ended unserved after their objective


@dataclass(frozen=True, slots=True)
class ObjectiveWeights:
    """The relative weights of the objective's components."""

    overall: float = 1.0
    worst_class: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one node, as its configuration gives them."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = Limits()
    rules: Rules = Rules()
    penalties: Penalties = Penalties()
    objective: ObjectiveWeights = ObjectiveWeights()
    zone: str = ""
    node_index: int | None = None  # this node's number, from 0 and below `node_count`
    node_count: int = 1
    pulls_endpoint_list: bool = False  # whether no agent sends list updates: it fetches or watches
    tick_ms: float = 1.0  # the shortest time between two calls to the policy
    progress_interval_ms: float = 0.0  # between progress reports of a running job; 0: none
    reports_start: bool = False  # whether executors report that a job has started
    weight_by_work: bool = False  # whether a job's weight is proportional to its work
    over_quota_fraction: float = 1.0  # the fraction of its weight that a job over its tenant's quota keeps

    def check(self) -> None:
        """Check that there is a class, that no time or stretch is negative, and that the tick is positive.

        Raises:
            InvalidSettingError: one of these checks fails; only the first failure is reported.
        """
        if not self.classes:
            field = "classes"
            raise InvalidSettingError(field, "at least one class is required")
        for job_class in self.classes:
            non_negative = (
                job_class.latency_objective_ms,
                job_class.deadline_ms,
                job_class.deduplication_window_ms,
                job_class.objective_stretch,
            )
            if min(non_negative) < 0.0:
                field = f"classes.{job_class.name}"
                raise InvalidSettingError(
                    field, f"a time or stretch must not be negative, got {min(non_negative):g}"
                )
        self.rules.check()
        if self.tick_ms <= 0.0:
            field = "tick"
            raise InvalidSettingError(field, f"must be above 0 ms, got {self.tick_ms:g} ms")
