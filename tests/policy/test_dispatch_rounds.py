"""Priority, dispatch rounds, placement and load shedding."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from burlmoor.policy.admission import WEIGHT_DENSITY_WEIGHT
from burlmoor.policy.dispatch_rounds import PRIORITY_PER_ROUND_WAITED
from burlmoor.types.actions import FailJob, RejectJob, StartAttempt
from burlmoor.types.events import AttemptStarted
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import JobClass, Tenant
from tests.support.dispatcher_driver import LOOKUP, DispatcherDriver, entries, settings

GOLD = JobClass(
    "gold", priority_weight=10.0, latency_objective_ms=400.0, objective_stretch=2.0, deadline_ms=5000.0
)


def fill_endpoint(driver: DispatcherDriver, job_id: int = 1000) -> StartAttempt:
    """Fill the only endpoint, so that later jobs are queued."""
    send = driver.request_and_place(job_id, slots=4.0, work_ms=400.0)
    driver.handle(AttemptStarted(job_id, 0, send.endpoint))
    return send


def test_a_higher_priority_weight_is_dispatched_first() -> None:
    driver = DispatcherDriver(settings(classes=(LOOKUP, GOLD)), entries(1))
    filling_attempt = fill_endpoint(driver)
    driver.request(1, "lookup")
    driver.request(2, "gold")
    driver.run(30.0)
    driver.end_attempt(filling_attempt, Outcome.SERVED)
    driver.run(30.0)
    assert [send.id for send in driver.actions_of(StartAttempt)][1:] == [2, 1]


def test_a_tenant_over_its_quota_loses_priority() -> None:
    tenants = (Tenant("loud", 0.5, 5.0), Tenant("calm", 0.5, 5.0))
    driver = DispatcherDriver(settings(tenants=tenants, over_quota_fraction=0.1), entries(1))
    filling_attempt = fill_endpoint(driver)
    for job_id in range(60):
        driver.request(job_id, tenant="loud", timeout_ms=5000.0)
    driver.request(99, tenant="calm")
    job = driver.dispatcher._jobs.by_id[99]
    assert job.priority > driver.dispatcher._jobs.by_id[59].priority
    driver.run(30.0)
    driver.end_attempt(filling_attempt, Outcome.SERVED)
    driver.run(30.0)
    # Of the jobs of the tenant "loud", only those within its quota may be dispatched first.
    assert all(
        send.id < 20 for send in driver.actions_of(StartAttempt) if send.id not in {99, filling_attempt.id}
    )


def test_the_priority_of_a_queued_job_grows_with_each_round() -> None:
    # Otherwise jobs of the class with the lowest weight would starve. After enough rounds, the increase
    # exceeds the most that weight density adds to a priority.
    driver = DispatcherDriver(settings(classes=(LOOKUP, GOLD)), entries(1))
    fill_endpoint(driver)
    driver.request(1, "lookup", work_ms=2000.0)
    before = driver.dispatcher._jobs.by_id[1].rounds_waited
    driver.run(200.0)
    job = driver.dispatcher._jobs.by_id[1]
    assert job.rounds_waited > before
    assert job.priority + PRIORITY_PER_ROUND_WAITED * job.rounds_waited > job.priority
    assert PRIORITY_PER_ROUND_WAITED * 1000 > WEIGHT_DENSITY_WEIGHT


def test_a_job_wider_than_the_free_capacity_stays_queued() -> None:
    driver = DispatcherDriver(listed=entries(1))
    fill_endpoint(driver)
    driver.request(1)
    driver.run(100.0)
    assert not driver.actions_of(StartAttempt, 1)


def test_a_job_wider_than_any_endpoint_is_sent_to_an_empty_one() -> None:
    driver = DispatcherDriver(listed=entries(1))
    assert driver.request_and_place(1, slots=50.0).endpoint == "a0"


def test_a_job_that_cannot_finish_in_time_is_rejected_before_its_objective() -> None:
    driver = DispatcherDriver(listed=entries(1))
    filling_attempt = fill_endpoint(driver)
    driver.request(1, work_ms=300.0)
    driver.run(990.0)
    assert len(driver.actions_of(RejectJob, 1)) == 1
    assert not driver.actions_of(StartAttempt, 1)
    assert filling_attempt.id != 1


def test_time_spent_on_the_clients_earlier_tries_shortens_the_objective() -> None:
    driver = DispatcherDriver()
    driver.request_and_place(1, timeout_ms=5000.0)
    driver.request(2, timeout_ms=3000.0)
    driver.run(30.0)
    assert driver.actions_of(RejectJob, 2)
    assert not driver.actions_of(StartAttempt, 2)


def test_overload_rejects_the_lowest_weight_first() -> None:
    driver = DispatcherDriver(settings(classes=(LOOKUP, GOLD)), entries(1))
    fill_endpoint(driver)
    for job_id in range(40):
        driver.request(job_id, "gold" if job_id % 2 else "lookup", work_ms=300.0)
    driver.run(450.0)
    rejected = [rejection.id for rejection in driver.actions_of(RejectJob)]
    assert rejected
    assert all(job_id % 2 == 0 for job_id in rejected[: len(rejected) // 3])


def test_the_queue_is_shed_before_all_its_jobs_are_late() -> None:
    # In a queue that is too long, every job is dispatched just too late to meet its objective.
    driver = DispatcherDriver(listed=entries(1))
    fill_endpoint(driver)
    for job_id in range(40):
        driver.request(job_id, work_ms=300.0)
    driver.run(30.0)
    assert len(driver.actions_of(RejectJob)) > 20


@pytest.mark.parametrize("is_saturated", [False, True])
def test_a_saturated_fleet_gets_only_jobs_that_reach_the_minimum_yield(*, is_saturated: bool) -> None:
    # On a saturated fleet late answers cost the most, since other jobs wait for the slots that they hold.
    # The round runs 7.5 to 22.5 ms after the arrival, which leaves about the expected run time. An idle fleet
    # gets the job; on a saturated one its yield is below the minimum.
    tight = replace(LOOKUP, name="tight", latency_objective_ms=117.0, objective_stretch=0.0)
    driver = DispatcherDriver(settings(classes=(LOOKUP, tight)), entries(1, weight=8.0))
    for _ in range(10):  # raises the endpoint's mean yield
        driver.dispatcher._statistics.endpoints.record_yield(
            driver.dispatcher._endpoints.by_name["a0"], 2.0, driver.now
        )
    if is_saturated:
        driver.request_and_place(1000, slots=7.0, work_ms=2000.0)
    driver.request(1, "tight", work_ms=100.0)
    driver.dispatcher._jobs.by_id[1].is_exploratory = False
    driver.run(60.0)
    assert len(driver.actions_of(StartAttempt, 1)) == (not is_saturated)


def test_a_job_that_has_just_arrived_is_placed_before_it_is_shed() -> None:
    # Otherwise one queued job with a short objective would cause others to be shed beside a free endpoint.
    tight = replace(GOLD, name="tight", latency_objective_ms=125.0, objective_stretch=0.0)
    for seed in range(20):
        driver = DispatcherDriver(settings(classes=(tight, LOOKUP)), entries(1), seed=seed)
        driver.request(1, "tight", work_ms=100.0)
        driver.run(18.0)
        driver.request(2, "lookup", work_ms=10.0)
        driver.run(30.0)
        assert driver.actions_of(StartAttempt, 2)


def test_a_wide_job_does_not_starve_behind_narrow_ones() -> None:
    # Narrow jobs take each slot that becomes free, so an endpoint never has enough free slots at one time and
    # wide jobs would be rejected although the fleet has capacity.
    patient = replace(GOLD, name="patient", latency_objective_ms=2000.0)
    driver = DispatcherDriver(settings(classes=(LOOKUP, patient)), entries(1))
    for job_id in range(16):
        if job_id == 4:
            driver.request(1000, "patient", work_ms=300.0, slots=4.0)
        driver.request(job_id, work_ms=50.0)
        driver.run(25.0)
        for send in driver.actions_of(StartAttempt, job_id):
            driver.handle(AttemptStarted(job_id, 0, send.endpoint))
        for send in driver.actions_of(StartAttempt, job_id - 3):
            driver.end_attempt(send, Outcome.SERVED)
    assert driver.actions_of(StartAttempt, 1000)


def test_urgent_jobs_go_to_fast_endpoints_and_others_to_slower_ones() -> None:
    fleet = [
        *entries(2, kind="fast"),
        *[entry._replace(endpoint=f"s{number}", kind="slow") for number, entry in enumerate(entries(2))],
    ]
    driver = DispatcherDriver(listed=fleet)
    for job_id in range(30):
        send = driver.request_and_place(job_id, work_ms=200.0)
        driver.handle(AttemptStarted(job_id, 0, send.endpoint))
        driver.run(100.0 if send.endpoint.startswith("a") else 300.0)
        driver.end_attempt(send, Outcome.SERVED)
    urgent = driver.request_and_place(500, work_ms=200.0, timeout_ms=5000.0 - 350.0)
    assert urgent.endpoint.startswith("a")
    endpoint_prefixes = []
    for seed in range(10):
        driver.dispatcher._rounds._rng.seed(seed)
        send = driver.request_and_place(600 + seed, work_ms=200.0)
        driver.handle(AttemptStarted(send.id, 0, send.endpoint))
        driver.run(300.0)
        driver.end_attempt(send, Outcome.SERVED)
        endpoint_prefixes.append(send.endpoint[0])
    assert "s" in endpoint_prefixes


def test_extreme_values_are_handled() -> None:
    driver = DispatcherDriver(settings(tenants=(Tenant("zero", 0.0, 0.0),)))
    for job_id, work_ms in enumerate([0.0, -5.0, math.inf, 1e12, 1e-12]):
        driver.request(job_id, work_ms=work_ms, tenant="zero")
    driver.request(20, "no such class", tenant="nobody", slots=0.0, memory=-1.0)
    driver.run(6000.0)
    answered = {action.id for action in driver.actions if isinstance(action, RejectJob | FailJob)}
    assert answered == {0, 1, 2, 3, 4, 20}


def test_a_node_that_has_just_started_uses_an_idle_fleet_without_listed_weights() -> None:
    # With the default weight of 1 as the initial capacity, a restarted node would queue, and then reject,
    # jobs for which its endpoints have capacity.
    driver = DispatcherDriver(listed=entries(3, weight=1.0))
    for job_id in range(9):
        driver.request(job_id, work_ms=100.0)
    driver.run(60.0)
    assert len(driver.actions_of(StartAttempt)) == 9
