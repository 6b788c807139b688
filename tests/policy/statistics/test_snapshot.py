"""Statistics are handed over to the next process of the node."""

from __future__ import annotations

import msgspec

from burlmoor.policy.statistics.snapshot import StatisticsSnapshot, restore_snapshot, take_snapshot
from burlmoor.types.events import AttemptStarted
from burlmoor.types.outcome import Outcome
from tests.support.dispatcher_driver import DispatcherDriver, entries


def driver_with_statistics() -> DispatcherDriver:
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
    return take_snapshot(driver.dispatcher.statistics, driver.dispatcher.endpoints.by_name, driver.now)


def restore(driver: DispatcherDriver, given: StatisticsSnapshot) -> None:
    restore_snapshot(driver.dispatcher.statistics, driver.dispatcher.endpoints.by_name, given, driver.now)


def test_a_snapshot_restores_the_same_statistics_under_another_clock() -> None:
    old = driver_with_statistics()
    data = msgspec.msgpack.encode(take(old))
    new = DispatcherDriver(listed=entries(4), now=90_000.0, seed=2)
    restore(new, msgspec.msgpack.decode(data, type=StatisticsSnapshot))
    for name, endpoint in old.dispatcher.endpoints.by_name.items():
        other = new.dispatcher.endpoints.by_name[name]
        assert (endpoint.capacity, endpoint.consecutive_faults, list(endpoint.cached_keys)) == (
            other.capacity,
            other.consecutive_faults,
            list(other.cached_keys),
        )
        for band in endpoint.slowness_by_work_class:
            kinds = [
                driver.dispatcher.statistics.endpoints.slowness_of_kind("std", driver.now)
                for driver in (old, new)
            ]
            slow = [
                driver.dispatcher.statistics.endpoints.slowness(
                    driver.dispatcher.endpoints.by_name[name], band, kind, driver.now
                )
                for driver, kind in zip((old, new), kinds, strict=True)
            ]
            assert abs(slow[0] - slow[1]) < 1e-9
    assert (
        new.dispatcher.statistics.endpoints.fastest_start_ms
        == old.dispatcher.statistics.endpoints.fastest_start_ms
    )
    # Jobs stay where they are: nothing is held here, and what comes is placed as usual.
    assert new.dispatcher.endpoints.slots_in_flight == 0.0
    assert not new.dispatcher.context.jobs.by_id
    assert new.request_and_place(1).endpoint in new.dispatcher.endpoints.by_name


def test_endpoints_that_are_not_listed_are_not_restored() -> None:
    old = driver_with_statistics()
    new = DispatcherDriver(listed=entries(2))
    restore(new, take(old))
    assert set(new.dispatcher.endpoints.by_name) == {"a0", "a1"}
