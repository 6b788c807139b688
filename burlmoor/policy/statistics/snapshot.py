"""Snapshots of a node's statistics, which a handover transfers to another process of the same node.

Times are stored as ages, since each process has its own clock. Older and newer releases read the
MessagePack encoding at a handover, so the encoded field names must not change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from burlmoor.policy.statistics.endpoint_snapshot import EndpointSnapshot, restore_endpoint, snapshot_endpoint
from burlmoor.policy.statistics.mean_snapshot import (
    EMPTY_MEAN,
    MeanSnapshot,
    restore_mean,
    restore_means,
    snapshot_mean,
    snapshot_means,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.policy.model.decayed_mean import DecayedMean
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.statistics.demand import DemandStatistics
    from burlmoor.policy.statistics.node_statistics import NodeStatistics


class StartDelaySnapshot(NamedTuple):
    """The typical start delay at one kind of endpoint in one zone."""

    zone: str
    kind: str
    delay: MeanSnapshot


class ErrorSnapshot(NamedTuple):
    """The estimate errors of one class."""

    log_error: MeanSnapshot
    log_error_squared: MeanSnapshot


class StatisticsSnapshot(msgspec.Struct):
    """The statistics of a node that a handover transfers.

    Not transferred are recent start delays, the mean cost and the fractions of keys, which the new process
    measures again.
    """

    endpoints: dict[str, EndpointSnapshot] = msgspec.field(name="workers", default={})
    means: dict[str, MeanSnapshot] = {}
    kind_slowness: dict[str, MeanSnapshot] = msgspec.field(name="kind_slow", default={})
    typical_start_delay: list[StartDelaySnapshot] = msgspec.field(name="usual_delay", default=[])
    fastest_start_ms: dict[str, float] = msgspec.field(name="prompt", default={})
    jobs_by_tenant: dict[str, MeanSnapshot] = msgspec.field(name="sent_by", default={})
    run_ms_by_class: dict[str, MeanSnapshot] = msgspec.field(name="class_work", default={})
    longest_timeout_ms: dict[str, float] = msgspec.field(name="full_patience", default={})
    mean_weight: MeanSnapshot = msgspec.field(name="mean_worth", default=EMPTY_MEAN)
    highest_weight_density: float = msgspec.field(name="top_worth", default=0.0)
    kind_log_yield: dict[str, MeanSnapshot] = msgspec.field(name="kind_value", default={})
    estimate_errors: dict[str, ErrorSnapshot] = msgspec.field(name="off", default={})  # by class
    requested: dict[str, MeanSnapshot] = msgspec.field(name="asked", default={})
    served: dict[str, MeanSnapshot] = {}


def _single_means(statistics: NodeStatistics) -> dict[str, DecayedMean]:
    """Return the means that are not grouped by kind, class or tenant, by their names in the snapshot."""
    runs, endpoints = statistics.runs, statistics.endpoints
    return {
        "fleet_slow": runs.fleet_slowness,
        "fleet_clean": endpoints.fleet_clean_rate,
        "promptness": statistics.start_delays.prompt_start_rate,
        "hit": runs.cache_hit_excess,
        "miss": runs.cache_miss_excess,
        "mean_work": runs.mean_work,
        "mean_run": runs.mean_run,
        "fleet_value": endpoints.fleet_log_yield,
    }


def take_snapshot(
    statistics: NodeStatistics, endpoints: Mapping[str, Endpoint], now: float
) -> StatisticsSnapshot:
    """Return a snapshot of the statistics of a node and of these endpoints."""
    start_delays, demand, estimate_errors = (
        statistics.start_delays,
        statistics.demand,
        statistics.estimate_errors,
    )
    return StatisticsSnapshot(
        endpoints={endpoint.name: snapshot_endpoint(endpoint, now) for endpoint in endpoints.values()},
        means=snapshot_means(_single_means(statistics), now),
        kind_slowness=snapshot_means(statistics.runs.kind_slowness, now),
        typical_start_delay=[
            StartDelaySnapshot(zone, kind, snapshot_mean(mean, now))
            for (zone, kind), mean in start_delays.typical_start_delay.items()
        ],
        fastest_start_ms=dict(start_delays.fastest_start_ms),
        jobs_by_tenant=snapshot_means(demand.jobs_by_tenant, now),
        run_ms_by_class=snapshot_means(demand.run_ms_by_class, now),
        longest_timeout_ms=dict(demand.longest_timeout_ms),
        mean_weight=snapshot_mean(demand.mean_weight, now),
        highest_weight_density=demand.highest_weight_density,
        kind_log_yield=snapshot_means(statistics.endpoints.kind_log_yield, now),
        estimate_errors={
            name: ErrorSnapshot(
                snapshot_mean(mean, now), snapshot_mean(estimate_errors.log_error_squared[name], now)
            )
            for name, mean in list(estimate_errors.log_error.items())
        },
        requested=snapshot_means(statistics.class_weights.requested, now),
        served=snapshot_means(statistics.class_weights.served, now),
    )


def restore_snapshot(
    statistics: NodeStatistics, endpoints: Mapping[str, Endpoint], snapshot: StatisticsSnapshot, now: float
) -> None:
    """Restore the statistics from a snapshot, without endpoints, classes and tenants unknown to this node."""
    _restore_fleet(statistics, snapshot, now)
    _restore_demand(statistics.demand, snapshot, now)
    classes = statistics.demand.run_ms_by_class.keys()
    for name, errors in snapshot.estimate_errors.items():
        if name in classes:
            restore_mean(statistics.estimate_errors.log_error[name], errors.log_error, now)
            restore_mean(statistics.estimate_errors.log_error_squared[name], errors.log_error_squared, now)
    restore_means(statistics.class_weights.requested, snapshot.requested, now, classes)
    restore_means(statistics.class_weights.served, snapshot.served, now, classes)
    for name, endpoint_snapshot in snapshot.endpoints.items():
        if name in endpoints:
            restore_endpoint(endpoints[name], endpoint_snapshot, now)


def _restore_fleet(statistics: NodeStatistics, snapshot: StatisticsSnapshot, now: float) -> None:
    means = _single_means(statistics)
    restore_means(means, snapshot.means, now, means.keys())
    restore_means(statistics.runs.kind_slowness, snapshot.kind_slowness, now)
    restore_means(statistics.endpoints.kind_log_yield, snapshot.kind_log_yield, now)
    start_delays = statistics.start_delays
    for zone, kind, delay in snapshot.typical_start_delay:
        restore_mean(start_delays.typical_start_delay[zone, kind], delay, now)
    start_delays.fastest_start_ms.update(snapshot.fastest_start_ms)


def _restore_demand(demand: DemandStatistics, snapshot: StatisticsSnapshot, now: float) -> None:
    classes = demand.run_ms_by_class.keys()
    restore_means(demand.jobs_by_tenant, snapshot.jobs_by_tenant, now, {"", *demand.quotas_per_second})
    restore_means(demand.run_ms_by_class, snapshot.run_ms_by_class, now, classes)
    for name, timeout_ms in snapshot.longest_timeout_ms.items():
        if name in classes:
            demand.longest_timeout_ms[name] = timeout_ms
    restore_mean(demand.mean_weight, snapshot.mean_weight, now)
    demand.highest_weight_density = max(demand.highest_weight_density, snapshot.highest_weight_density)
