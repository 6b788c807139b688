"""Decodes the platform's settings object into typed settings for the policy and the node.

Both the simulator adapter and the node use this module. Absent or null fields take their defaults, and so do
fields that name an unknown idempotency or deduplication scope. Unknown fields are ignored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

from burlmoor.config.settings_object import (
    EncodedJobClass,
    EncodedLimits,
    EncodedObjective,
    EncodedPenalties,
    EncodedRules,
    EncodedSettings,
    EncodedSpecifics,
    EncodedTenant,
)
from burlmoor.types.settings import (
    DeduplicationScope,
    Idempotency,
    JobClass,
    Limits,
    ObjectiveWeights,
    Penalties,
    Rules,
    Settings,
    Tenant,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

_T = TypeVar("_T")
# Defaults of absent or null settings, from the platform's documentation (docs/settings.md).
_DEFAULT_LATENCY_OBJECTIVE_MS = 1000.0
_DEFAULT_DEADLINE_MS = 10_000.0
_DEFAULT_MAX_ATTEMPTS = 3.0
_DEFAULT_MAX_RETRY_AFTER_MS = 1000.0
_DEFAULT_CONNECT_TIMEOUT_MS = 250.0
_DEFAULT_KEEPALIVE_MS = 30_000.0
_DEFAULT_INITIAL_CAPACITY_FRACTION = 0.1  # a fraction
_DEFAULT_OVERLOAD_WINDOW_MS = 1000.0
_DEFAULT_POLL_INTERVAL_MS = 10_000.0
# By the names in settings, which are not those of the enum's values.
_IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
# By the names in settings, which are the enum's values.
_DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}


class NodeSettings(NamedTuple):
    """The policy's settings, and those that only a node needs."""

    policy: Settings
    keepalive_ms: float  # idle time after which an executor closes a connection


def parse_settings(settings_object: object) -> NodeSettings:
    """Decode the settings object.

    Raises:
        msgspec.ValidationError: a field has the wrong type; the message names it.
    """
    encoded = msgspec.convert(settings_object, EncodedSettings)
    limits = encoded.limits or EncodedLimits()
    specifics = encoded.specifics or EncodedSpecifics()
    policy = Settings(
        classes=_make_classes(encoded, specifics),
        tenants=tuple(_make_tenant(encoded) for encoded in encoded.tenants or ()),
        limits=_make_limits(limits),
        rules=_make_rules(encoded.rules or EncodedRules()),
        penalties=_make_penalties(encoded.penalties or EncodedPenalties()),
        objective=_make_objective(encoded.objective or EncodedObjective()),
        zone=_or_default(encoded.zone, ""),
        node_index=encoded.node_index,
        node_count=max(1, _or_default(encoded.node_count, 1)),
        pulls_endpoint_list=encoded.registry_mode == "ask",
        tick_ms=_or_default(encoded.tick, 1.0),
        progress_interval_ms=_or_default(specifics.progress_interval, 0.0),
        reports_start=bool(specifics.reports_start),
        weight_by_work=encoded.weight_by == "work",
        over_quota_fraction=_or_default(encoded.over_quota_fraction, 1.0),
    )
    return NodeSettings(policy, keepalive_ms=_or_default(limits.keepalive, _DEFAULT_KEEPALIVE_MS))


def _make_classes(encoded: EncodedSettings, specifics: EncodedSpecifics) -> tuple[JobClass, ...]:
    kinds = encoded.kinds or []
    return tuple(
        _make_class(encoded, index, specifics, kinds) for index, encoded in enumerate(encoded.classes or ())
    )


def _make_class(
    encoded: EncodedJobClass, index: int, specifics: EncodedSpecifics, kinds: list[str]
) -> JobClass:
    """Build the class at `index` from its entry and from the items at `index` in the lists of `specifics`."""
    objective_stretch = _or_default(encoded.objective_stretch, 0.0)
    return JobClass(
        name=encoded.name,
        priority_weight=_or_default(encoded.priority_weight, 1.0),
        latency_objective_ms=_or_default(encoded.latency_objective, _DEFAULT_LATENCY_OBJECTIVE_MS),
        objective_stretch=_or_default(_get_item(specifics.class_stretch, index), objective_stretch),
        deadline_ms=_or_default(encoded.deadline, _DEFAULT_DEADLINE_MS),
        idempotency=_IDEMPOTENCY.get(encoded.idempotency or "", Idempotency.NON_IDEMPOTENT),
        deduplication_scope=_DEDUPLICATION_SCOPES.get(
            encoded.deduplication_scope or "", DeduplicationScope.CELL
        ),
        deduplication_window_ms=_or_default(encoded.deduplication_window, 0.0),
        late_fraction=_or_default(encoded.late_fraction, 0.0),
        required_kind=_get_item(kinds, _or_default(_get_item(specifics.class_kind, index), -1)),
        priority=_or_default(_get_item(specifics.class_priority, index), 0),
    )


def _make_tenant(encoded: EncodedTenant) -> Tenant:
    return Tenant(
        name=encoded.name,
        share=_or_default(encoded.share, 0.0),
        quota_per_second=_or_default(encoded.quota_per_second, 0.0),
    )


def _make_limits(encoded: EncodedLimits) -> Limits:
    return Limits(
        max_attempts=int(_or_default(encoded.max_attempts, _DEFAULT_MAX_ATTEMPTS)),
        may_cancel=bool(encoded.may_cancel),
        may_check_health=bool(encoded.may_check_health),
        may_hedge=bool(encoded.may_hedge),
        sends_retry_after=bool(encoded.sends_retry_after),
        max_retry_after_ms=_or_default(encoded.max_retry_after, _DEFAULT_MAX_RETRY_AFTER_MS),
        connect_timeout_ms=_or_default(encoded.connect_timeout, _DEFAULT_CONNECT_TIMEOUT_MS),
    )


def _make_rules(encoded: EncodedRules) -> Rules:
    return Rules(
        response_slack_ms=_or_default(encoded.response_slack, 0.0),
        drain_grace_ms=_or_default(encoded.drain_grace, 0.0),
        initial_capacity_fraction=_or_default(
            encoded.initial_capacity_fraction, _DEFAULT_INITIAL_CAPACITY_FRACTION
        ),
        slow_start_ms=_or_default(encoded.slow_start, 0.0),
        overload_multiple=_or_default(encoded.overload_multiple, 1.0),
        overload_window_ms=_or_default(encoded.overload_window, _DEFAULT_OVERLOAD_WINDOW_MS),
        poll_interval_ms=_or_default(encoded.poll_interval, _DEFAULT_POLL_INTERVAL_MS),
    )


def _make_penalties(encoded: EncodedPenalties) -> Penalties:
    return Penalties(
        cross_zone=_or_default(encoded.cross_zone, 0.0),
        waste=_or_default(encoded.waste, 0.0),
        health_check=_or_default(encoded.health_check, 0.0),
        late_failure=_or_default(encoded.late_failure, 0.0),
    )


def _make_objective(encoded: EncodedObjective) -> ObjectiveWeights:
    return ObjectiveWeights(
        overall=_or_default(encoded.overall, 1.0),
        worst_class=_or_default(encoded.worst_class, 0.0),
    )


def _or_default(value: _T | None, default: _T) -> _T:
    return default if value is None else value


def _get_item(values: Sequence[_T | None] | None, index: int) -> _T | None:
    """Return the value at `index`; None if there is none."""
    return values[index] if values and 0 <= index < len(values) else None
