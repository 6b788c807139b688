"""A node's statistics in a form that another process of the same node can go on from.

Moments are given as ages, since each process has a clock of its own. The MessagePack form is what an older or
newer release reads at a handover: its field names stay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from burlmoor.policy.model.decayed_mean import DecayedMean

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.statistics.demand import DemandStatistics
    from burlmoor.policy.statistics.endpoint_statistics import EndpointStatistics
    from burlmoor.policy.statistics.node_statistics import NodeStatistics

MeanSnapshot = tuple[float, float, float]  # a mean's total, its weight and its age
EMPTY_MEAN: MeanSnapshot = (0.0, 0.0, 0.0)


class EndpointSnapshot(msgspec.Struct):
    """What is known of one endpoint."""

    capacity: float = msgspec.field(name="room")
    consecutive_faults: int = msgspec.field(name="faults")
    last_heard_age: float = msgspec.field(name="heard")
    next_probe_in: float = msgspec.field(name="test_in")
    slow_start_credit: tuple[float, float] = msgspec.field(name="cold")  # the credit and its age
    slowness: MeanSnapshot = msgspec.field(name="slow")
    clean_rate: MeanSnapshot = msgspec.field(name="clean")
    start_delay: MeanSnapshot = msgspec.field(name="delay")
    slowness_by_work_class: dict[int, MeanSnapshot] = msgspec.field(name="cells")
    cached_key_ages: dict[str, float] = msgspec.field(name="keys")
    weight_rate: MeanSnapshot = msgspec.field(name="value", default=EMPTY_MEAN)


class StatisticsSnapshot(msgspec.Struct):
    """All statistics of a node."""

    endpoints: dict[str, EndpointSnapshot] = msgspec.field(name="workers", default={})
    means: dict[str, MeanSnapshot] = {}
    kind_slowness: dict[str, MeanSnapshot] = msgspec.field(name="kind_slow", default={})
    typical_start_delay: list[tuple[str, str, MeanSnapshot]] = msgspec.field(name="usual_delay", default=[])
    fastest_start_ms: dict[str, float] = msgspec.field(name="prompt", default={})
    jobs_by_tenant: dict[str, MeanSnapshot] = msgspec.field(name="sent_by", default={})
    run_by_class: dict[str, MeanSnapshot] = msgspec.field(name="class_work", default={})
    longest_timeout_ms: dict[str, float] = msgspec.field(name="full_patience", default={})
    mean_weight: MeanSnapshot = msgspec.field(name="mean_worth", default=EMPTY_MEAN)
    highest_weight_density: float = msgspec.field(name="top_worth", default=0.0)
    kind_weight_rate: dict[str, MeanSnapshot] = msgspec.field(name="kind_value", default={})
    # By class, the mean of the error's logarithm and of its square.
    estimate_errors: dict[str, tuple[MeanSnapshot, MeanSnapshot]] = msgspec.field(name="off", default={})
    requested: dict[str, MeanSnapshot] = msgspec.field(name="asked", default={})
    served: dict[str, MeanSnapshot] = {}


def _single_means(statistics: EndpointStatistics) -> dict[str, DecayedMean]:
    """Return the means that there is one of, by their names in the snapshot."""
    return {
        "fleet_slow": statistics.fleet_slowness,
        "fleet_clean": statistics.fleet_clean_rate,
        "promptness": statistics.prompt_start_rate,
        "hit": statistics.cache_hit_excess,
        "miss": statistics.cache_miss_excess,
        "mean_work": statistics.mean_work,
        "mean_run": statistics.mean_run,
        "fleet_value": statistics.fleet_weight_rate,
    }


def _take_mean(mean: DecayedMean, now: float) -> MeanSnapshot:
    return mean.total, mean.weight, now - mean.updated_at


def _take_means(means: Mapping[str, DecayedMean], now: float) -> dict[str, MeanSnapshot]:
    return {name: _take_mean(mean, now) for name, mean in means.items()}


def take_snapshot(
    statistics: NodeStatistics, endpoints: Mapping[str, Endpoint], now: float
) -> StatisticsSnapshot:
    """Return a snapshot of a node's statistics and of what it knows of these endpoints."""
    measured, demand, estimates = statistics.endpoints, statistics.demand, statistics.estimates
    return StatisticsSnapshot(
        endpoints={endpoint.id: _take_endpoint(endpoint, now) for endpoint in endpoints.values()},
        means=_take_means(_single_means(measured), now),
        kind_slowness=_take_means(measured.kind_slowness, now),
        typical_start_delay=[
            (zone, kind, _take_mean(mean, now)) for (zone, kind), mean in measured.typical_start_delay.items()
        ],
        fastest_start_ms=dict(measured.fastest_start_ms),
        jobs_by_tenant=_take_means(demand.jobs_by_tenant, now),
        run_by_class=_take_means(demand.run_by_class, now),
        longest_timeout_ms=dict(demand.longest_timeout_ms),
        mean_weight=_take_mean(demand.mean_weight, now),
        highest_weight_density=demand.highest_weight_density,
        kind_weight_rate=_take_means(measured.kind_weight_rate, now),
        estimate_errors={
            name: (_take_mean(mean, now), _take_mean(estimates.log_error_squared[name], now))
            for name, mean in list(estimates.log_error.items())
        },
        requested=_take_means(statistics.class_weights.requested, now),
        served=_take_means(statistics.class_weights.served, now),
    )


def _take_endpoint(endpoint: Endpoint, now: float) -> EndpointSnapshot:
    return EndpointSnapshot(
        capacity=endpoint.capacity,
        consecutive_faults=endpoint.consecutive_faults,
        last_heard_age=now - endpoint.last_reported_at,
        next_probe_in=endpoint.next_probe_at - now,
        slow_start_credit=(endpoint.slow_start_credit, now - endpoint.slow_start_credit_at),
        slowness=_take_mean(endpoint.slowness, now),
        clean_rate=_take_mean(endpoint.clean_rate, now),
        start_delay=_take_mean(endpoint.start_delay, now),
        slowness_by_work_class={
            work_class: _take_mean(mean, now) for work_class, mean in endpoint.slowness_by_work_class.items()
        },
        cached_key_ages={key: now - at for key, at in endpoint.cached_keys.items()},
        weight_rate=_take_mean(endpoint.weight_rate, now),
    )


def _restore_mean(mean: DecayedMean, given: MeanSnapshot, now: float) -> None:
    mean.total, mean.weight, age = given
    mean.updated_at = now - age


def _restore_means(
    means: dict[str, DecayedMean],
    given: Mapping[str, MeanSnapshot],
    now: float,
    allowed: Container[str] | None = None,
) -> None:
    """Restore each of the means given, where `allowed` is given only those named there."""
    for name, mean in given.items():
        if allowed is None or name in allowed:
            _restore_mean(means.setdefault(name, DecayedMean()), mean, now)


def restore_snapshot(
    statistics: NodeStatistics, endpoints: Mapping[str, Endpoint], given: StatisticsSnapshot, now: float
) -> None:
    """Go on from a snapshot. Endpoints, classes and tenants that this node doesn't know are left out."""
    _restore_endpoint_statistics(statistics.endpoints, given, now)
    _restore_demand(statistics.demand, given, now)
    classes = statistics.demand.run_by_class.keys()
    for name, (mean, square) in given.estimate_errors.items():
        if name in classes:
            _restore_mean(statistics.estimates.log_error[name], mean, now)
            _restore_mean(statistics.estimates.log_error_squared[name], square, now)
    _restore_means(statistics.class_weights.requested, given.requested, now, classes)
    _restore_means(statistics.class_weights.served, given.served, now, classes)
    for name, of_endpoint in given.endpoints.items():
        if name in endpoints:
            _restore_endpoint(endpoints[name], of_endpoint, now)


def _restore_endpoint_statistics(
    statistics: EndpointStatistics, given: StatisticsSnapshot, now: float
) -> None:
    means = _single_means(statistics)
    _restore_means(means, given.means, now, means.keys())
    _restore_means(statistics.kind_slowness, given.kind_slowness, now)
    _restore_means(statistics.kind_weight_rate, given.kind_weight_rate, now)
    for zone, kind, mean in given.typical_start_delay:
        _restore_mean(statistics.typical_start_delay[zone, kind], mean, now)
    statistics.fastest_start_ms.update(given.fastest_start_ms)


def _restore_demand(demand: DemandStatistics, given: StatisticsSnapshot, now: float) -> None:
    classes = demand.run_by_class.keys()
    _restore_means(demand.jobs_by_tenant, given.jobs_by_tenant, now, {"", *demand.quotas_per_second})
    _restore_means(demand.run_by_class, given.run_by_class, now, classes)
    for name, timeout_ms in given.longest_timeout_ms.items():
        if name in classes:
            demand.longest_timeout_ms[name] = timeout_ms
    _restore_mean(demand.mean_weight, given.mean_weight, now)
    demand.highest_weight_density = max(demand.highest_weight_density, given.highest_weight_density)


def _restore_endpoint(endpoint: Endpoint, given: EndpointSnapshot, now: float) -> None:
    endpoint.capacity = given.capacity
    endpoint.consecutive_faults = given.consecutive_faults
    endpoint.last_reported_at = now - given.last_heard_age
    endpoint.next_probe_at = now + given.next_probe_in
    endpoint.slow_start_credit, credit_age = given.slow_start_credit
    endpoint.slow_start_credit_at = now - credit_age
    _restore_mean(endpoint.slowness, given.slowness, now)
    _restore_mean(endpoint.clean_rate, given.clean_rate, now)
    _restore_mean(endpoint.start_delay, given.start_delay, now)
    _restore_mean(endpoint.weight_rate, given.weight_rate, now)
    _restore_means_by_work_class(endpoint, given, now)
    endpoint.cached_keys = {key: now - age for key, age in given.cached_key_ages.items()}


def _restore_means_by_work_class(endpoint: Endpoint, given: EndpointSnapshot, now: float) -> None:
    for work_class, mean in given.slowness_by_work_class.items():
        _restore_mean(endpoint.slowness_by_work_class[work_class], mean, now)
