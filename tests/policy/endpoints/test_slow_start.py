"""Slow start limits the load that all nodes together put on recently started endpoints."""

from __future__ import annotations

import pytest

from burlmoor.types.actions import StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.types.events import (
    AttemptStarted,
    EndpointListUpdate,
    HandoverChanged,
)
from burlmoor.types.outcome import Outcome
from tests.support.dispatcher_driver import RULES, DispatcherDriver, entries, settings


@pytest.mark.parametrize("nodes", [1, 10, 100])
def test_all_nodes_together_stay_within_a_slow_start_budget(nodes: int) -> None:
    warming = [EndpointEntry("new", zone="a", weight=4.0, kind="std", started_at=1000.0)]
    sent: list[tuple[float, float]] = []
    for node in range(nodes):
        driver = DispatcherDriver(settings(node_count=nodes, node_index=node), warming, seed=node)
        for job_id in range(80):
            before = len(driver.actions_of(StartAttempt))
            driver.request(job_id, work_ms=150.0)
            driver.run(50.0)
            for send in driver.actions_of(StartAttempt)[before:]:
                sent.append((driver.now, 150.0))
                driver.handle(AttemptStarted(send.id, 0, send.endpoint))
                driver.end_attempt(send, Outcome.SERVED)
    assert sent
    for start in range(1000, 5000, 100):
        window = [cost for at, cost in sent if start <= at < start + RULES.overload_window_ms]
        age = start + RULES.overload_window_ms - 1000.0
        capacity_fraction = (
            RULES.initial_capacity_fraction
            + (1.0 - RULES.initial_capacity_fraction) * age / RULES.slow_start_ms
        )
        assert sum(window) <= RULES.overload_multiple * capacity_fraction * 4.0 * RULES.overload_window_ms


def test_a_restart_resets_the_statistics_and_begins_a_slow_start() -> None:
    driver = DispatcherDriver(listed=entries(1))
    driver.request_and_place(1)
    driver.now = 2000.0
    restarted = entries(1)[0]._replace(started_at=1990.0)
    driver.handle(EndpointListUpdate(ListKind.DELTA, [restarted]))
    endpoint = driver.dispatcher._endpoints.by_name["a0"]
    assert endpoint.slots_in_flight == 0.0
    assert driver.dispatcher._slow_start.capacity_fraction(endpoint, 2000.0) < 0.3


def count_sends_to_warming_endpoint(
    listed: list[EndpointEntry], slots: int = 4, *, is_handed_over: bool = False
) -> int:
    """Return how many jobs of 300 ms an endpoint in slow start gets in two seconds beside those listed."""
    work_ms = 300.0
    warming = EndpointEntry("new", zone="a", weight=1.0, kind="std", started_at=1.0)
    driver = DispatcherDriver(settings(node_count=2), [*listed, warming])
    driver.now = 3000.0  # the endpoint has 0.44 of its capacity
    if is_handed_over:
        driver.handle(HandoverChanged(is_handed_over=True))
    running: list[tuple[float, StartAttempt]] = []
    waiting: list[StartAttempt] = []
    for job_id in range(100):
        before = len(driver.actions_of(StartAttempt))
        driver.request(job_id, work_ms=work_ms)
        driver.run(20.0)
        waiting += driver.actions_of(StartAttempt)[before:]
        for send in list(waiting):
            if sum(other.endpoint == send.endpoint for _, other in running) < slots:
                waiting.remove(send)
                driver.handle(AttemptStarted(send.id, 0, send.endpoint))
                running.append((driver.now + work_ms, send))
        while running and running[0][0] <= driver.now:
            driver.end_attempt(running.pop(0)[1], Outcome.SERVED)
    return sum(send.endpoint == "new" for send in driver.actions_of(StartAttempt))


def test_a_slow_start_budget_follows_the_capacity_of_warm_endpoints_of_the_kind() -> None:
    # A budget from the listed weight alone leaves four-core endpoints of weight 1 idle on a full fleet.
    without_others = count_sends_to_warming_endpoint([])
    with_same_kind = count_sends_to_warming_endpoint(entries(2, weight=1.0))
    with_other_kind = count_sends_to_warming_endpoint(
        [entry._replace(kind="other") for entry in entries(2, weight=1.0)]
    )
    assert with_same_kind > max(without_others, with_other_kind)
    # This node is one of two, so it stays within half of the work that overloads an endpoint of four slots,
    # although the other node sends nothing. The capacity that it has measured counts for both.
    assert with_same_kind * 300.0 <= 0.5 * RULES.overload_multiple * 4.0 * 0.52 * RULES.overload_window_ms


def test_a_process_that_has_handed_over_sends_nothing_to_warming_endpoints() -> None:
    assert count_sends_to_warming_endpoint(entries(2, weight=1.0)) > 0
    assert count_sends_to_warming_endpoint(entries(2, weight=1.0), is_handed_over=True) == 0


def test_another_endpoint_replaces_a_warming_one_of_a_key() -> None:
    # In a rolling deployment, all endpoints of a key may be in slow start while others are free.
    listed = entries(8, weight=1.0)
    driver = DispatcherDriver(listed=listed)
    preferred = [
        endpoint.name for endpoint in driver.dispatcher._endpoints.candidates(None).affinity.order_of("k")[:4]
    ]
    restarted = [
        entry._replace(started_at=900.0) if entry.endpoint in preferred else entry for entry in listed
    ]
    driver = DispatcherDriver(listed=restarted)
    assert (
        driver.request_and_place(1, affinity_key="k", work_ms=3500.0, timeout_ms=6000.0).endpoint
        not in preferred
    )
