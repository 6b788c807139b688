"""Updates and polls of the endpoint list."""

from __future__ import annotations

from burlmoor.types.actions import SetTimer, WatchEndpoints
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.events import EndpointListUpdate
from tests.support.dispatcher_driver import DispatcherDriver, entries, settings


def test_a_pushed_list_is_not_polled() -> None:
    driver = DispatcherDriver()
    driver.run(30_000.0)
    assert not driver.actions_of(WatchEndpoints)


def test_first_polls_are_spread_over_the_nodes_within_the_interval() -> None:
    # Nodes that are started together must not all poll discovery at the same time.
    polled_after_ms = []
    for seed in range(40):
        driver = DispatcherDriver(settings(pulls_endpoint_list=True), seed=seed)
        while not driver.actions_of(WatchEndpoints):
            driver.run(50.0)
        polled_after_ms.append(driver.now - 1000.0)
    assert max(polled_after_ms) <= 10_000.0
    assert max(polled_after_ms) - min(polled_after_ms) > 2000.0
    assert len(set(polled_after_ms)) > 20


def test_failed_polls_are_retried_with_backoff() -> None:
    driver = DispatcherDriver(settings(pulls_endpoint_list=True))
    delays_ms = []
    driver.run(5000.0)
    for count in range(2, 6):
        driver.handle(EndpointListUpdate(ListKind.FAILED))
        failed_at = driver.now
        while len(driver.actions_of(WatchEndpoints)) < count:
            driver.run(50.0)
        delays_ms.append(driver.now - failed_at)
    assert delays_ms[-1] > delays_ms[0]
    assert max(delays_ms) <= 4 * 10_000.0


def test_the_current_list_stays_in_use_after_a_failed_poll() -> None:
    driver = DispatcherDriver(settings(pulls_endpoint_list=True))
    driver.handle(EndpointListUpdate(ListKind.FAILED))
    driver.request_and_place(1)


def test_a_new_endpoint_gets_jobs() -> None:
    driver = DispatcherDriver(listed=[])
    driver.handle(EndpointListUpdate(ListKind.DELTA, entries(1)))
    assert driver.request_and_place(1).endpoint == "a0"


def test_no_timer_is_set_while_nothing_is_queued() -> None:
    driver = DispatcherDriver()
    assert not driver.actions_of(SetTimer)
