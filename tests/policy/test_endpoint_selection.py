"""Endpoint selection, outlier detection and redistribution, by the dispatcher's actions and state."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from burlmoor.policy.model.endpoint import Endpoint
from burlmoor.types.actions import CheckHealth, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.events import (
    AttemptProgressed,
    AttemptStarted,
    EndpointListUpdate,
    JobClosed,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Limits
from tests.support.dispatcher_driver import LOOKUP, DispatcherDriver, entries, settings


def make_endpoint(kind: str) -> Endpoint:
    return Endpoint(EndpointEntry("x", zone="a", weight=4.0, kind=kind))


def test_progress_reports_update_the_slowness_before_the_outcome() -> None:
    driver = DispatcherDriver(listed=entries(1))
    send = driver.request_and_place(1, work_ms=1000.0)
    driver.handle(AttemptStarted(1, 0, send.endpoint))
    driver.run(1000.0)
    driver.handle(AttemptProgressed(1, 0, send.endpoint, 0.25))
    assert driver.dispatcher._statistics.runs.slowness_of_kind("std", driver.now) > 1.2


def test_an_overdue_start_makes_the_endpoint_unavailable_until_it_starts() -> None:
    driver = DispatcherDriver(listed=entries(1))
    send = driver.request_and_place(1, "once", work_ms=300.0)
    driver.run(200.0)
    driver.request(2, "once", work_ms=300.0)
    driver.run(100.0)
    assert not driver.actions_of(StartAttempt, 2)
    driver.handle(AttemptStarted(1, 0, send.endpoint))
    assert driver.dispatcher._endpoints.by_name["a0"].overdue_attempts == 0


def test_prompt_starts_raise_the_capacity_and_late_starts_lower_it() -> None:
    driver = DispatcherDriver(listed=entries(1))
    endpoint = driver.dispatcher._endpoints.by_name["a0"]
    start = endpoint.capacity
    for job_id in range(4):
        send = driver.request_and_place(job_id)
        driver.handle(AttemptStarted(job_id, 0, send.endpoint))
    assert endpoint.capacity > start
    raised = endpoint.capacity
    driver.dispatcher._statistics.start_delays.record_delay(endpoint, 500.0, driver.now)
    assert endpoint.capacity < raised


def test_a_job_rejected_as_overload_is_sent_to_another_endpoint() -> None:
    driver = DispatcherDriver(listed=entries(2))
    send = driver.request_and_place(1)
    driver.end_attempt(send, Outcome.OVERLOADED)
    driver.run(20.0)
    assert driver.actions_of(StartAttempt, 1)[1].endpoint != send.endpoint


def test_nothing_is_ejected_when_most_endpoints_fail() -> None:
    # If most endpoints fail, the fault is likely on this node's side: it must not eject the whole fleet.
    driver = DispatcherDriver(listed=entries(4))
    for job_id in range(12):
        driver.request(job_id, "once", work_ms=500.0)
        driver.run(60.0)
        driver.end_attempt(driver.actions_of(StartAttempt, job_id)[0], Outcome.ERROR)
    assert len({send.endpoint for send in driver.actions_of(StartAttempt)}) == 4


def ids_sent_to(driver: DispatcherDriver, endpoint: str) -> list[int]:
    """Return the jobs that were sent to an endpoint, in the order of the sends."""
    return [send.id for send in driver.actions_of(StartAttempt) if send.endpoint == endpoint]


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE])
def test_an_endpoint_that_fails_at_once_is_ejected_and_probed(outcome: Outcome) -> None:
    # An endpoint that fails jobs at once is always free, so it would attract jobs and fail them.
    driver = DispatcherDriver(listed=entries(1))
    for job_id in (1, 2):
        driver.end_attempt(driver.request_and_place(job_id, work_ms=50.0), outcome)
    driver.handle(EndpointListUpdate(ListKind.DELTA, entries(2)[1:]))

    for job_id in range(200, 206):  # more than the other endpoint has capacity for
        driver.request(job_id, "once", work_ms=1500.0)
    driver.run(200.0)
    assert len(ids_sent_to(driver, "a0")) == 2
    for job_id in range(300, 310):
        driver.request(job_id, work_ms=1500.0)
    driver.run(1000.0)
    sent = ids_sent_to(driver, "a0")
    assert len(sent) == 3  # one probe, and no second one while it is pending
    assert sent[2] >= 300


def test_a_silent_endpoint_loses_clean_rate_and_idempotent_jobs_are_redistributed() -> None:
    driver = DispatcherDriver(settings(), entries(2))
    send = driver.request_and_place(1, work_ms=2000.0)
    driver.handle(AttemptStarted(1, 0, send.endpoint))
    driver.run(1700.0)
    endpoint = driver.dispatcher._endpoints.by_name[send.endpoint]
    assert driver.dispatcher._statistics.endpoints.clean_rate(endpoint, driver.now) < 0.8
    assert len(driver.actions_of(StartAttempt, 1)) == 2


def test_a_key_goes_to_the_same_endpoint_at_every_node() -> None:
    used = set()
    for seed in range(5):
        driver = DispatcherDriver(listed=entries(8), seed=seed)
        used.add(driver.request_and_place(1, "keyed", affinity_key="00aa").endpoint)
    assert len(used) == 1


def test_a_key_goes_to_the_same_endpoint_from_all_zones() -> None:
    # Otherwise every zone would fetch every key from the store, whose capacity is limited.
    listed = [*entries(4), *(EndpointEntry(f"b{n}", zone="b", weight=4.0, kind="std") for n in range(4))]
    used = set()
    for zone in ("a", "b"):
        driver = DispatcherDriver(settings(zone=zone), listed)
        used.add(
            tuple(
                driver.request_and_place(job_id, "keyed", affinity_key=f"{job_id:04x}").endpoint
                for job_id in range(1, 9)
            )
        )
    assert len(used) == 1


def test_a_job_queued_at_an_endpoint_that_reports_is_not_redistributed() -> None:
    # The job might run at both endpoints, and its key be fetched twice, which aggravates an overload.
    driver = DispatcherDriver(settings(), entries(1))
    first, _ = driver.request_and_place(1, work_ms=2000.0), driver.request_and_place(2, work_ms=2000.0)
    driver.handle(EndpointListUpdate(ListKind.DELTA, entries(2)[1:]), AttemptStarted(1, 0, first.endpoint))
    driver.run(500.0)
    assert len(driver.actions_of(StartAttempt, 2)) == 1


def test_a_job_unlikely_to_be_in_time_is_not_sent() -> None:
    # Otherwise endpoints would spend capacity on jobs that end too late.
    tight = replace(LOOKUP, latency_objective_ms=90.0, objective_stretch=0.0)
    exploratory = set()
    driver = DispatcherDriver(settings(classes=(tight,)))
    for job_id in range(1, 21):
        driver.request(job_id, work_ms=100.0)
        if driver.dispatcher._jobs.by_id[job_id].is_exploratory:
            exploratory.add(job_id)
        driver.run(20.0)
        driver.handle(JobClosed(job_id))
    assert {send.id for send in driver.actions_of(StartAttempt)} <= exploratory


def test_a_slow_endpoint_is_not_used_while_a_fast_one_may_become_free_in_time() -> None:
    # Otherwise slow endpoints with free slots would get jobs that a fast one would finish in time.
    slow, fast = entries(1, kind="slow"), entries(2, kind="fast")[1:]
    tight = replace(LOOKUP, latency_objective_ms=400.0, objective_stretch=0.0)
    driver = DispatcherDriver(settings(classes=(tight,)), [*slow, *fast])
    runs = driver.dispatcher._statistics.runs
    for kind, run_ms, count in (("slow", 400.0, 20), ("fast", 100.0, 200)):
        for _ in range(count):
            runs.record_run(make_endpoint(kind), 100.0, run_ms, driver.now)
    fast_endpoint = driver.dispatcher._endpoints.by_name["a1"]
    fast_endpoint.slots_in_flight = fast_endpoint.capacity
    driver.request(1, work_ms=100.0)
    driver.dispatcher._jobs.by_id[1].is_exploratory = False
    driver.run(60.0)
    assert not driver.actions_of(StartAttempt)
    fast_endpoint.slots_in_flight = 0.0
    driver.run(60.0)
    assert [send.endpoint for send in driver.actions_of(StartAttempt)] == ["a1"]


def test_no_health_checks_are_requested() -> None:
    # At an endpoint of 40 nodes, a few health checks by each add up to many, and they tell no more than the
    # starts of jobs do.
    limits = Limits(max_attempts=4, may_cancel=True, may_check_health=True)
    driver = DispatcherDriver(settings(limits=limits), entries(6))
    assert driver.request_and_place(2, "once")
    assert not driver.actions_of(CheckHealth)


def test_finished_jobs_and_removed_endpoints_leave_no_state() -> None:
    driver = DispatcherDriver(listed=entries(4))
    for job_id in range(300):
        driver.request(job_id, ("lookup", "keyed", "once")[job_id % 3], affinity_key=str(job_id))
        driver.run(40.0)
        for send in driver.actions_of(StartAttempt, job_id):
            driver.end_attempt(send, Outcome.SERVED, len(driver.actions_of(StartAttempt, job_id)) - 1)
        driver.actions.clear()
        driver.handle(EndpointListUpdate(ListKind.DELTA, [EndpointEntry(f"n{job_id}", zone="a", kind="std")]))
        driver.handle(EndpointListUpdate(ListKind.DELTA, [EndpointEntry(f"n{job_id}", EndpointState.GONE)]))
    driver.run(10_000.0)
    dispatcher = driver.dispatcher
    assert not dispatcher._jobs.by_id
    assert not dispatcher._rounds.queue
    assert dispatcher._timers.next_at() == math.inf
    assert len(dispatcher._endpoints.by_name) == 4
    assert all(len(endpoint.cached_keys) <= 10 for endpoint in dispatcher._endpoints.by_name.values())


def test_no_redistribution_while_few_starts_are_prompt() -> None:
    # Where endpoints keep cancelled jobs queued, each further attempt would add to an overload.
    driver = DispatcherDriver(listed=entries(6))
    for _ in range(40):
        driver.dispatcher._statistics.start_delays.prompt_start_rate.add(driver.now, 0.0, 8000.0)
    driver.request_and_place(1, work_ms=2000.0)
    driver.run(500.0)
    assert len(driver.actions_of(StartAttempt, 1)) == 1
