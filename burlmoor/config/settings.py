"""The platform's settings object, decoded once into what the decisions and the node use.

Both hosts read it here: the simulator's from its wire, the real node from its configuration. What is absent
or null takes its default; what is unknown is skipped.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec

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

_T = TypeVar("_T")
_EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
_GROUPS = {group.value: group for group in DeduplicationScope}


class _Table(msgspec.Struct, rename="pascal"):
    """A part of the settings object; the platform writes its names in capitals."""


class _Class(_Table):
    name: str
    credit: float | None = None
    target: float | None = None
    aim_stretch: float | None = None
    hard_limit: float | None = None
    idempotency: str | None = None
    dedup_scope: str | None = None
    repeat_window: float | None = None
    late_worth: float | None = None


class _Org(_Table):
    name: str
    portion: float | None = None
    quota_rps: float | None = None


class _Limits(_Table):
    send_cap: float | None = None
    cancel: bool | None = None
    probes: bool | None = None
    second_copies: bool | None = None
    retry_after: bool | None = None
    max_retry_after: float | None = None
    connect_timeout: float | None = None
    keepalive: float | None = None


class _Rules(_Table):
    answer_slack: float | None = None
    stop_sending_within: float | None = None
    start_capacity: float | None = None
    cold: float | None = None
    fall_multiple: float | None = None
    overload_for: float | None = None
    must_ask_in: float | None = None


class _Prices(_Table):
    cross_zone: float | None = None
    waste: float | None = None
    probe: float | None = None
    late_fail: float | None = None


class _Blend(_Table):
    whole: float | None = None
    worst_class: float | None = None


class _Specifics(_Table):
    class_kind: list[int | None] | None = None
    class_priority: list[int | None] | None = None
    class_stretch: list[float | None] | None = None
    progress: float | None = None
    tells_start: bool | None = None


class _Options(_Table):
    request_classes: list[_Class] | None = None
    orgs: list[_Org] | None = None
    limits: _Limits | None = None
    rules: _Rules | None = None
    prices: _Prices | None = None
    blend: _Blend | None = None
    specifics: _Specifics | None = None
    kinds: list[str] | None = None
    zone: str | None = None
    me: int | None = None
    balancers: int | None = None
    registry_mode: str | None = None
    tick: float | None = None
    worth_by: str | None = None
    over_share_worth: float | None = None


def _or(value: _T | None, default: _T) -> _T:
    return default if value is None else value


class NodeSettings(NamedTuple):
    """The settings of the decisions, and those that only a node on real sockets needs."""

    policy: Settings
    keepalive_ms: float  # ms after which a target's machine closes an idle connection


def parse_settings(options: Any) -> NodeSettings:
    """The typed settings of the settings object; ValueError naming what cannot be meant."""
    given = msgspec.convert(options, _Options)
    limits, rules = given.limits or _Limits(), given.rules or _Rules()
    prices, specifics = given.prices or _Prices(), given.specifics or _Specifics()
    blend = given.blend or _Blend()
    decisions = Settings(
        classes=tuple(_classes(given, specifics)),
        tenants=tuple(
            Tenant(org.name, _or(org.portion, 0.0), _or(org.quota_rps, 0.0)) for org in given.orgs or ()
        ),
        limits=Limits(
            max_attempts=int(_or(limits.send_cap, 3.0)),
            may_cancel=bool(limits.cancel),
            may_check_health=bool(limits.probes),
            may_hedge=bool(limits.second_copies),
            sends_retry_after=bool(limits.retry_after),
            max_retry_after_ms=_or(limits.max_retry_after, 1000.0),
            connect_timeout_ms=_or(limits.connect_timeout, 250.0),
        ),
        rules=Rules(
            response_slack_ms=_or(rules.answer_slack, 0.0),
            drain_grace_ms=_or(rules.stop_sending_within, 0.0),
            initial_capacity=_or(rules.start_capacity, 0.1),
            slow_start_ms=_or(rules.cold, 0.0),
            overload_multiple=_or(rules.fall_multiple, 1.0),
            overload_window_ms=_or(rules.overload_for, 1000.0),
            poll_interval_ms=_or(rules.must_ask_in, 10_000.0),
        ),
        prices=Prices(
            cross_zone=_or(prices.cross_zone, 0.0),
            waste=_or(prices.waste, 0.0),
            health_check=_or(prices.probe, 0.0),
            late_failure=_or(prices.late_fail, 0.0),
        ),
        objective=ObjectiveWeights(_or(blend.whole, 1.0), _or(blend.worst_class, 0.0)),
        zone=_or(given.zone, ""),
        node_index=given.me,
        node_count=max(1, _or(given.balancers, 1)),
        must_poll=given.registry_mode == "ask",
        tick_ms=_or(given.tick, 1.0),
        progress_interval_ms=_or(specifics.progress, 0.0),
        reports_start=bool(specifics.tells_start),
        weight_by_work=given.worth_by == "work",
        over_quota_fraction=_or(given.over_share_worth, 1.0),
    )
    return NodeSettings(decisions, _or(limits.keepalive, 30_000.0))


def _classes(given: _Options, specifics: _Specifics) -> list[JobClass]:
    kinds = given.kinds or []
    return [
        JobClass(
            name=row.name,
            priority_weight=_or(row.credit, 1.0),
            latency_objective_ms=_or(row.target, 1000.0),
            objective_stretch=_or(_at(specifics.class_stretch, index), _or(row.aim_stretch, 0.0)),
            deadline_ms=_or(row.hard_limit, 10_000.0),
            idempotency=_EFFECTS.get(row.idempotency or "", Idempotency.NON_IDEMPOTENT),
            deduplication_scope=_GROUPS.get(row.dedup_scope or "", DeduplicationScope.CELL),
            deduplication_window_ms=_or(row.repeat_window, 0.0),
            late_fraction=_or(row.late_worth, 0.0),
            required_kind=_at(kinds, _or(_at(specifics.class_kind, index), -1)),
            priority=_or(_at(specifics.class_priority, index), 0),
        )
        for index, row in enumerate(given.request_classes or ())
    ]


def _at(values: Sequence[_T | None] | None, index: int) -> _T | None:
    return values[index] if values and 0 <= index < len(values) else None
