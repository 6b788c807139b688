"""The platform's settings object in its encoded form.

All fields except `Name` may be absent or null; unknown fields are ignored. The encoded names are the
platform's (docs/settings.md); the attributes have the names of `burlmoor.types.settings`.
"""

from __future__ import annotations

import msgspec
from msgspec import field


class EncodedObject(msgspec.Struct):
    """Base class of the settings object and of its parts."""


class EncodedJobClass(EncodedObject):
    """An entry of `RequestClasses`; times are in ms."""

    name: str = field(name="Name")
    priority_weight: float | None = field(name="Credit", default=None)
    latency_objective: float | None = field(name="Target", default=None)
    objective_stretch: float | None = field(name="AimStretch", default=None)
    deadline: float | None = field(name="HardLimit", default=None)
    idempotency: str | None = field(name="Idempotency", default=None)
    deduplication_scope: str | None = field(name="DedupScope", default=None)
    deduplication_window: float | None = field(name="RepeatWindow", default=None)
    late_fraction: float | None = field(name="LateWorth", default=None)


class EncodedTenant(EncodedObject):
    """An entry of `Orgs`."""

    name: str = field(name="Name")
    share: float | None = field(name="Portion", default=None)
    quota_per_second: float | None = field(name="QuotaRps", default=None)


class EncodedLimits(EncodedObject):
    """`Limits`; times are in ms."""

    max_attempts: float | None = field(name="SendCap", default=None)
    may_cancel: bool | None = field(name="Cancel", default=None)
    may_check_health: bool | None = field(name="Probes", default=None)
    may_hedge: bool | None = field(name="SecondCopies", default=None)
    sends_retry_after: bool | None = field(name="RetryAfter", default=None)
    max_retry_after: float | None = field(name="MaxRetryAfter", default=None)
    connect_timeout: float | None = field(name="ConnectTimeout", default=None)
    keepalive: float | None = field(name="Keepalive", default=None)


class EncodedRules(EncodedObject):
    """`Rules`; times are in ms."""

    response_slack: float | None = field(name="AnswerSlack", default=None)
    drain_grace: float | None = field(name="StopSendingWithin", default=None)
    initial_capacity_fraction: float | None = field(name="StartCapacity", default=None)
    slow_start: float | None = field(name="Cold", default=None)
    overload_multiple: float | None = field(name="FallMultiple", default=None)
    overload_window: float | None = field(name="OverloadFor", default=None)
    poll_interval: float | None = field(name="MustAskIn", default=None)


class EncodedPenalties(EncodedObject):
    """`Prices`: penalties as fractions of the total priority weight."""

    cross_zone: float | None = field(name="CrossZone", default=None)
    waste: float | None = field(name="Waste", default=None)
    health_check: float | None = field(name="Probe", default=None)
    late_failure: float | None = field(name="LateFail", default=None)


class EncodedObjective(EncodedObject):
    """`Blend`: the weights of the objective's parts."""

    overall: float | None = field(name="Whole", default=None)
    worst_class: float | None = field(name="WorstClass", default=None)


class EncodedSpecifics(EncodedObject):
    """`Specifics`; each list has one item per class, in the order of `RequestClasses`."""

    class_kind: list[int | None] | None = field(name="ClassKind", default=None)  # indexes into `Kinds`
    class_priority: list[int | None] | None = field(name="ClassPriority", default=None)
    class_stretch: list[float | None] | None = field(name="ClassStretch", default=None)
    progress_interval: float | None = field(name="Progress", default=None)  # ms
    reports_start: bool | None = field(name="TellsStart", default=None)


class EncodedSettings(EncodedObject):
    """The whole settings object."""

    classes: list[EncodedJobClass] | None = field(name="RequestClasses", default=None)
    tenants: list[EncodedTenant] | None = field(name="Orgs", default=None)
    limits: EncodedLimits | None = field(name="Limits", default=None)
    rules: EncodedRules | None = field(name="Rules", default=None)
    penalties: EncodedPenalties | None = field(name="Prices", default=None)
    objective: EncodedObjective | None = field(name="Blend", default=None)
    specifics: EncodedSpecifics | None = field(name="Specifics", default=None)
    kinds: list[str] | None = field(name="Kinds", default=None)
    zone: str | None = field(name="Zone", default=None)
    node_index: int | None = field(name="Me", default=None)
    node_count: int | None = field(name="Balancers", default=None)
    registry_mode: str | None = field(name="RegistryMode", default=None)
    tick: float | None = field(name="Tick", default=None)  # ms
    weight_by: str | None = field(name="WorthBy", default=None)
    over_quota_fraction: float | None = field(name="OverShareWorth", default=None)
