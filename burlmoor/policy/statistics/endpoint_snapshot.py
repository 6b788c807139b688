"""The stored form of the statistics of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from burlmoor.policy.statistics.mean_snapshot import EMPTY_MEAN, MeanSnapshot, restore_mean, snapshot_mean

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint


class CreditSnapshot(NamedTuple):
    """A node's slow-start credit at an endpoint, in jobs of mean cost; stored as an array of two numbers."""

    jobs: float
    age_ms: float


class EndpointSnapshot(msgspec.Struct):
    """The statistics of one endpoint. Times and ages are in ms."""

    capacity: float = msgspec.field(name="room")
    consecutive_faults: int = msgspec.field(name="faults")
    last_reported_age: float = msgspec.field(name="heard")
    next_probe_in: float = msgspec.field(name="test_in")
    slow_start_credit: CreditSnapshot = msgspec.field(name="cold")
    slowness: MeanSnapshot = msgspec.field(name="slow")
    clean_rate: MeanSnapshot = msgspec.field(name="clean")
    start_delay: MeanSnapshot = msgspec.field(name="delay")
    slowness_by_work_bucket: dict[int, MeanSnapshot] = msgspec.field(name="cells")
    cached_key_ages: dict[str, float] = msgspec.field(name="keys")
    log_yield: MeanSnapshot = msgspec.field(name="value", default=EMPTY_MEAN)


def snapshot_endpoint(endpoint: Endpoint, now: float) -> EndpointSnapshot:
    """Return the snapshot of an endpoint."""
    return EndpointSnapshot(
        capacity=endpoint.capacity,
        consecutive_faults=endpoint.consecutive_faults,
        last_reported_age=now - endpoint.last_reported_at,
        next_probe_in=endpoint.next_probe_at - now,
        slow_start_credit=CreditSnapshot(endpoint.slow_start_credit, now - endpoint.slow_start_credit_at),
        slowness=snapshot_mean(endpoint.slowness, now),
        clean_rate=snapshot_mean(endpoint.clean_rate, now),
        start_delay=snapshot_mean(endpoint.start_delay, now),
        slowness_by_work_bucket={
            work_bucket: snapshot_mean(mean, now)
            for work_bucket, mean in endpoint.slowness_by_work_bucket.items()
        },
        cached_key_ages={key: now - at for key, at in endpoint.cached_keys.items()},
        log_yield=snapshot_mean(endpoint.log_yield, now),
    )


def restore_endpoint(endpoint: Endpoint, snapshot: EndpointSnapshot, now: float) -> None:
    """Restore the statistics of an endpoint from a snapshot."""
    endpoint.capacity = snapshot.capacity
    endpoint.consecutive_faults = snapshot.consecutive_faults
    endpoint.last_reported_at = now - snapshot.last_reported_age
    endpoint.next_probe_at = now + snapshot.next_probe_in
    endpoint.slow_start_credit = snapshot.slow_start_credit.jobs
    endpoint.slow_start_credit_at = now - snapshot.slow_start_credit.age_ms
    restore_mean(endpoint.slowness, snapshot.slowness, now)
    restore_mean(endpoint.clean_rate, snapshot.clean_rate, now)
    restore_mean(endpoint.start_delay, snapshot.start_delay, now)
    restore_mean(endpoint.log_yield, snapshot.log_yield, now)
    for work_bucket, mean in snapshot.slowness_by_work_bucket.items():
        restore_mean(endpoint.slowness_by_work_bucket[work_bucket], mean, now)
    endpoint.cached_keys = {key: now - age for key, age in snapshot.cached_key_ages.items()}
