"""Decodes the platform's settings object into typed settings for the policy and the node.

Both the simulator adapter and the node use this module. Absent or null fields take their defaults; unknown
fields are ignored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

from burlmoor.config.settings_object import (
    JobClassTable,
    LimitsTable,
    ObjectiveTable,
    PricesTable,
    RulesTable,
    SettingsObject,
    SpecificsTable,
    TenantTable,
)
from burlmoor.types.settings import (
    DeduplicationScope,
    Idempotency,
    JobClass,
    Limits,
    ObjectiveWeights,
    Prices,
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
_DEFAULT_INITIAL_CAPACITY = 0.1  # a fraction
_DEFAULT_OVERLOAD_WINDOW_MS = 1000.0
_DEFAULT_POLL_INTERVAL_MS = 10_000.0
_IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}


class NodeSettings(NamedTuple):
    """The policy's settings, and those that only a node needs."""

    policy: Settings
    keepalive_ms: float  # idle time after which an executor closes a connection


def parse_settings(settings_object: object) -> NodeSettings:
    """Decode the settings object.

    Raises:
        msgspec.ValidationError: a field is invalid; the message names it.
    """
    tables = msgspec.convert(settings_object, SettingsObject)
    limits = tables.limits or LimitsTable()
    specifics = tables.specifics or SpecificsTable()
    policy = Settings(
        classes=_make_classes(tables, specifics),
        tenants=tuple(_make_tenant(table) for table in tables.tenants or ()),
        limits=_make_limits(limits),
        rules=_make_rules(tables.rules or RulesTable()),
        prices=_make_prices(tables.prices or PricesTable()),
        objective=_make_objective(tables.objective or ObjectiveTable()),
        zone=_or_default(tables.zone, ""),
        node_index=tables.node_index,
        node_count=max(1, _or_default(tables.node_count, 1)),
        must_poll=tables.registry_mode == "ask",
        tick_ms=_or_default(tables.tick, 1.0),
        progress_interval_ms=_or_default(specifics.progress_interval, 0.0),
        reports_start=bool(specifics.reports_start),
        weight_by_work=tables.weight_by == "work",
        over_quota_fraction=_or_default(tables.over_quota_fraction, 1.0),
    )
    return NodeSettings(policy, keepalive_ms=_or_default(limits.keepalive, _DEFAULT_KEEPALIVE_MS))


def _make_classes(tables: SettingsObject, specifics: SpecificsTable) -> tuple[JobClass, ...]:
    kinds = tables.kinds or []
    return tuple(
        _make_class(table, index, specifics, kinds) for index, table in enumerate(tables.classes or ())
    )


def _make_class(table: JobClassTable, index: int, specifics: SpecificsTable, kinds: list[str]) -> JobClass:
    """Build the class at `index` from its entry and from the items at `index` in the lists of `specifics`."""
    objective_stretch = _or_default(table.objective_stretch, 0.0)
    return JobClass(
        name=table.name,
        priority_weight=_or_default(table.priority_weight, 1.0),
        latency_objective_ms=_or_default(table.latency_objective, _DEFAULT_LATENCY_OBJECTIVE_MS),
        objective_stretch=_or_default(_get_item(specifics.class_stretch, index), objective_stretch),
        deadline_ms=_or_default(table.deadline, _DEFAULT_DEADLINE_MS),
        idempotency=_IDEMPOTENCY.get(table.idempotency or "", Idempotency.NON_IDEMPOTENT),
        deduplication_scope=_DEDUPLICATION_SCOPES.get(
            table.deduplication_scope or "", DeduplicationScope.CELL
        ),
        deduplication_window_ms=_or_default(table.deduplication_window, 0.0),
        late_fraction=_or_default(table.late_fraction, 0.0),
        required_kind=_get_item(kinds, _or_default(_get_item(specifics.class_kind, index), -1)),
        priority=_or_default(_get_item(specifics.class_priority, index), 0),
    )


def _make_tenant(table: TenantTable) -> Tenant:
    return Tenant(
        name=table.name,
        share=_or_default(table.share, 0.0),
        quota_per_second=_or_default(table.quota_per_second, 0.0),
    )


def _make_limits(table: LimitsTable) -> Limits:
    return Limits(
        max_attempts=int(_or_default(table.max_attempts, _DEFAULT_MAX_ATTEMPTS)),
        may_cancel=bool(table.may_cancel),
        may_check_health=bool(table.may_check_health),
        may_hedge=bool(table.may_hedge),
        sends_retry_after=bool(table.sends_retry_after),
        max_retry_after_ms=_or_default(table.max_retry_after, _DEFAULT_MAX_RETRY_AFTER_MS),
        connect_timeout_ms=_or_default(table.connect_timeout, _DEFAULT_CONNECT_TIMEOUT_MS),
    )


def _make_rules(table: RulesTable) -> Rules:
    return Rules(
        response_slack_ms=_or_default(table.response_slack, 0.0),
        drain_grace_ms=_or_default(table.drain_grace, 0.0),
        initial_capacity=_or_default(table.initial_capacity, _DEFAULT_INITIAL_CAPACITY),
        slow_start_ms=_or_default(table.slow_start, 0.0),
        overload_multiple=_or_default(table.overload_multiple, 1.0),
        overload_window_ms=_or_default(table.overload_window, _DEFAULT_OVERLOAD_WINDOW_MS),
        poll_interval_ms=_or_default(table.poll_interval, _DEFAULT_POLL_INTERVAL_MS),
    )


def _make_prices(table: PricesTable) -> Prices:
    return Prices(
        cross_zone=_or_default(table.cross_zone, 0.0),
        waste=_or_default(table.waste, 0.0),
        health_check=_or_default(table.health_check, 0.0),
        late_failure=_or_default(table.late_failure, 0.0),
    )


def _make_objective(table: ObjectiveTable) -> ObjectiveWeights:
    return ObjectiveWeights(
        overall=_or_default(table.overall, 1.0),
        worst_class=_or_default(table.worst_class, 0.0),
    )


def _or_default(value: _T | None, default: _T) -> _T:
    return default if value is None else value


def _get_item(values: Sequence[_T | None] | None, index: int) -> _T | None:
    """Return the value at `index`; None if there is none."""
    return values[index] if values and 0 <= index < len(values) else None
