"""Snapshots transfer a node's statistics to the next process of the node."""

from __future__ import annotations

import msgspec

from burlmoor.policy.statistics.snapshot import StatisticsSnapshot
from burlmoor.types.events import AttemptStarted
from burlmoor.types.outcome import Outcome
from tests.support.dispatcher_driver import DispatcherDriver, entries


def driver_with_statistics() -> DispatcherDriver:
    """Return a driver whose dispatcher has served forty jobs, some of them with faults."""
    driver = DispatcherDriver(listed=entries(4))
    for job_id in range(40):
        send = driver.request_and_place(
            job_id, "lookup" if job_id % 3 else "keyed", affinity_key=f"k{job_id % 5}", tenant="t"
        )
        driver.handle(AttemptStarted(send.id, 0, send.endpoint))
        driver.run(70.0 * (1 + job_id % 4))
        driver.end_attempt(send, Outcome.SERVED if job_id % 7 else Outcome.ERROR)
    return driver


def take(driver: DispatcherDriver) -> StatisticsSnapshot:
    return driver.dispatcher.take_statistics_snapshot(driver.now)


def restore(driver: DispatcherDriver, snapshot: StatisticsSnapshot) -> None:
    driver.dispatcher.restore_statistics_snapshot(snapshot, driver.now)


def slowness_by_work_bucket(driver: DispatcherDriver, name: str) -> dict[int, float]:
    """Return the slowness of an endpoint for each work bucket of which it has run jobs."""
    runs = driver.dispatcher._statistics.runs
    endpoint = driver.dispatcher._endpoints.by_name[name]
    kind_slowness = runs.slowness_of_kind("std", driver.now)
    return {
        work_bucket: runs.slowness(endpoint, work_bucket, kind_slowness, driver.now)
        for work_bucket in list(endpoint.slowness_by_work_bucket)
    }


def test_a_snapshot_restores_the_same_statistics_under_another_clock() -> None:
    old = driver_with_statistics()
    data = msgspec.msgpack.encode(take(old))
    new = DispatcherDriver(listed=entries(4), now=90_000.0, seed=2)
    restore(new, msgspec.msgpack.decode(data, type=StatisticsSnapshot))
    endpoints_by_name = new.dispatcher._endpoints.by_name
    for name, endpoint in old.dispatcher._endpoints.by_name.items():
        restored = endpoints_by_name[name]
        assert restored.capacity == endpoint.capacity
        assert restored.consecutive_faults == endpoint.consecutive_faults
        assert list(restored.cached_keys) == list(endpoint.cached_keys)
        before, after = slowness_by_work_bucket(old, name), slowness_by_work_bucket(new, name)
        assert before.keys() == after.keys()
        assert all(abs(before[work_bucket] - after[work_bucket]) < 1e-9 for work_bucket in before)
    start_delays = new.dispatcher._statistics.start_delays
    assert start_delays.fastest_start_ms == old.dispatcher._statistics.start_delays.fastest_start_ms
    # Jobs are not transferred: none is in flight here, and new ones are placed as usual.
    assert new.dispatcher._load.slots_in_flight == 0.0
    assert not new.dispatcher._jobs.by_id
    assert new.request_and_place(1).endpoint in endpoints_by_name


def test_endpoints_that_are_not_listed_are_not_restored() -> None:
    old = driver_with_statistics()
    new = DispatcherDriver(listed=entries(2))
    restore(new, take(old))
    assert set(new.dispatcher._endpoints.by_name) == {"a0", "a1"}
