"""Tests the answer, repeat and drain rules, in this order, by the actions of the dispatcher.

The answer rule: a request gets one final answer, in time. The repeat rule: no job runs twice unless its class
allows it. The drain rule: nothing new is sent to an endpoint that is not live.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from burlmoor.types.actions import CancelAttempt, FailJob, RejectJob, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointListUpdate,
    JobClosed,
    TimerFired,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason
from burlmoor.types.settings import DeduplicationScope, Limits
from tests.support.dispatcher_driver import KEYED, LIMITS, DispatcherDriver, entries, settings

POSSIBLY_RUN_OUTCOMES = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]
NEVER_RUN_OUTCOMES = [Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.UNSENT]


def count_final_answers(driver: DispatcherDriver, job_id: int) -> int:
    return len(driver.actions_of(RejectJob, job_id)) + len(driver.actions_of(FailJob, job_id))


@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
def test_a_request_without_endpoints_is_answered_once_before_its_deadline(
    job_class: str,
) -> None:
    driver = DispatcherDriver(listed=[])
    driver.request(7, job_class, timeout_ms=3000.0)
    driver.run(2999.0)
    assert count_final_answers(driver, 7) == 1
    assert not driver.actions_of(StartAttempt, 7)
    driver.run(10_000.0)
    assert count_final_answers(driver, 7) == 1


def test_clients_with_short_timeouts_are_served_within_them() -> None:
    # If short timeouts were taken for late retries, the requests would be rejected while the fleet is idle.
    driver = DispatcherDriver()
    for job_id in range(1, 4):
        driver.request(job_id, timeout_ms=5000.0, work_ms=50.0)
        driver.request(job_id + 10, timeout_ms=300.0, work_ms=50.0)
    driver.run(20.0)
    assert len({send.id for send in driver.actions_of(StartAttempt)}) == 6


@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
def test_a_job_at_an_endpoint_that_hangs_is_answered_once(job_class: str) -> None:
    driver = DispatcherDriver(listed=entries(1))
    driver.request_and_place(7, job_class)
    driver.run(5020.0)
    assert count_final_answers(driver, 7) == 1


def test_no_second_answer_after_an_answer_in_the_batch_of_the_deadline() -> None:
    driver = DispatcherDriver()
    send = driver.request_and_place(7, "once")
    driver.handle(AttemptStarted(7, 0, send.endpoint))
    driver.now = 1000.0 + 5000.0
    ended = AttemptEnded(7, 0, send.endpoint, Outcome.SERVED, 10.0, is_job_closed=True)
    driver.handle(ended, TimerFired(0))
    assert count_final_answers(driver, 7) == 0


def test_nothing_is_sent_for_a_request_whose_client_disconnected() -> None:
    driver = DispatcherDriver(listed=[])
    driver.request(7)
    driver.handle(JobClosed(7))
    driver.handle(EndpointListUpdate(ListKind.SNAPSHOT, entries(3)))
    driver.run(6000.0)
    assert not driver.actions_of(StartAttempt, 7)
    assert count_final_answers(driver, 7) == 0


def test_a_request_with_a_timeout_of_zero_is_answered_at_once() -> None:
    driver = DispatcherDriver()
    driver.request(7, timeout_ms=0.0)
    driver.run(20.0)
    assert count_final_answers(driver, 7) == 1
    assert not driver.actions_of(StartAttempt, 7)


def test_an_unstarted_job_whose_result_is_useless_ends_before_its_deadline() -> None:
    # Otherwise endpoints would spend capacity on jobs whose results no longer count.
    driver = DispatcherDriver(listed=entries(1))
    driver.request_and_place(7, "once", work_ms=100.0)
    driver.run(1000.0)
    assert driver.actions_of(CancelAttempt, 7)
    assert count_final_answers(driver, 7) == 1


@pytest.mark.parametrize("outcome", POSSIBLY_RUN_OUTCOMES)
def test_a_non_idempotent_job_that_may_have_run_is_neither_retried_nor_rejected(outcome: Outcome) -> None:
    driver = DispatcherDriver()
    send = driver.request_and_place(7, "once", work_ms=2000.0)
    driver.end_attempt(send, outcome)
    driver.run(6000.0)
    assert len(driver.actions_of(StartAttempt, 7)) == 1
    assert not driver.actions_of(RejectJob, 7)
    assert len(driver.actions_of(FailJob, 7)) == 1


@pytest.mark.parametrize("outcome", NEVER_RUN_OUTCOMES)
@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
def test_a_job_that_never_ran_is_retried_elsewhere_at_once(job_class: str, outcome: Outcome) -> None:
    driver = DispatcherDriver()
    send = driver.request_and_place(7, job_class)
    driver.end_attempt(send, outcome)
    driver.run(20.0)
    sends = driver.actions_of(StartAttempt, 7)
    assert len(sends) == 2
    assert sends[1].endpoint != send.endpoint


def test_a_job_with_idempotency_key_stays_in_the_zone_of_the_attempt_that_may_have_run() -> None:
    driver = DispatcherDriver(listed=entries(1, "a") + entries(3, "b"))
    send = driver.request_and_place(7, "keyed", affinity_key="k", work_ms=2000.0)
    assert send.endpoint == "a0"
    driver.end_attempt(send, Outcome.RESET)
    driver.run(6000.0)
    assert len(driver.actions_of(StartAttempt, 7)) == 1
    assert not driver.actions_of(RejectJob, 7)
    assert len(driver.actions_of(FailJob, 7)) == 1


def test_a_job_with_idempotency_key_is_not_retried_after_its_window() -> None:
    driver = DispatcherDriver(settings(classes=(replace(KEYED, deduplication_window_ms=300.0),)))
    send = driver.request_and_place(7, "keyed", work_ms=2000.0)
    driver.run(400.0)
    driver.end_attempt(send, Outcome.RESET)
    driver.run(6000.0)
    assert len(driver.actions_of(StartAttempt, 7)) == 1
    assert len(driver.actions_of(FailJob, 7)) == 1


def test_a_job_deduplicated_everywhere_may_be_rejected_after_it_may_have_run() -> None:
    driver = DispatcherDriver(
        settings(classes=(replace(KEYED, deduplication_scope=DeduplicationScope.ALL),)), entries(1)
    )
    driver.end_attempt(driver.request_and_place(7, "keyed"), Outcome.RESET)
    driver.run(6000.0)
    assert len(driver.actions_of(RejectJob, 7)) == 1


def test_a_job_deduplicated_in_a_cell_is_not_retried_in_another_cell() -> None:
    given = settings(classes=(replace(KEYED, deduplication_scope=DeduplicationScope.CELL),))
    driver = DispatcherDriver(
        given, [*entries(1, cell=1), EndpointEntry("other", zone="a", weight=4.0, cell=2, kind="std")]
    )
    driver.end_attempt(driver.request_and_place(7, "keyed", work_ms=2000.0), Outcome.RESET)
    driver.run(6000.0)
    assert len(driver.actions_of(StartAttempt, 7)) == 1


def silence_endpoints(driver: DispatcherDriver) -> None:
    """Make all endpoints silent: the first attempt was sent 4 s ago, and nothing was reported since."""
    for endpoint in driver.dispatcher._endpoints.by_name.values():
        endpoint.first_sent_at = driver.now - 4000.0


@pytest.mark.parametrize("may_hedge", [False, True])
def test_a_job_at_an_endpoint_without_any_report_is_not_redistributed_at_once(*, may_hedge: bool) -> None:
    limits = Limits(max_attempts=4, may_cancel=True, may_hedge=may_hedge)
    driver = DispatcherDriver(settings(limits=limits))
    driver.request_and_place(7, work_ms=2000.0)
    driver.run(1000.0)
    assert len(driver.actions_of(StartAttempt, 7)) == 1
    assert not driver.actions_of(CancelAttempt, 7)


def test_an_unstarted_job_is_redistributed_while_another_endpoint_can_serve_it_in_time() -> None:
    limits = Limits(max_attempts=4, may_cancel=True, may_hedge=False)
    driver = DispatcherDriver(settings(limits=limits))
    send = driver.request_and_place(7, work_ms=20.0)
    sent_at = driver.now
    while not (cancels := driver.actions_of(CancelAttempt, 7)):
        assert not driver.actions_of(RejectJob, 7)
        driver.run(10.0)
    assert cancels == [CancelAttempt(7, 0, CancelReason.OVERDUE)]
    assert driver.now - sent_at > 150.0  # ms, long after the start grace
    driver.end_attempt(send, Outcome.CANCELLED)
    driver.run(20.0)
    assert len(driver.actions_of(StartAttempt, 7)) == 2


def test_without_hedging_two_attempts_are_never_pending_together() -> None:
    limits = Limits(max_attempts=4, may_cancel=True, may_hedge=False)
    driver = DispatcherDriver(settings(limits=limits))
    silence_endpoints(driver)
    send = driver.request_and_place(7, work_ms=2000.0)
    driver.run(300.0)
    assert driver.actions_of(CancelAttempt, 7) == [CancelAttempt(7, 0, CancelReason.OVERDUE)]
    assert len(driver.actions_of(StartAttempt, 7)) == 1
    driver.end_attempt(send, Outcome.CANCELLED)
    driver.run(20.0)
    assert len(driver.actions_of(StartAttempt, 7)) == 2


def test_an_unstarted_job_is_hedged_and_the_superseded_attempt_is_cancelled() -> None:
    driver = DispatcherDriver()
    silence_endpoints(driver)
    driver.request_and_place(7, work_ms=2000.0)
    driver.run(300.0)
    sends = driver.actions_of(StartAttempt, 7)
    assert len(sends) == 2
    driver.handle(AttemptStarted(7, 1, sends[1].endpoint))
    assert driver.actions_of(CancelAttempt, 7) == [CancelAttempt(7, 0, CancelReason.SUPERSEDED)]


def test_attempts_stay_within_the_limit() -> None:
    driver = DispatcherDriver(listed=entries(12))
    driver.request(7, work_ms=2000.0)
    for _ in range(10):
        driver.run(30.0)
        for number, send in enumerate(driver.actions_of(StartAttempt, 7)):
            driver.end_attempt(send, Outcome.OVERLOADED, number)
    assert len(driver.actions_of(StartAttempt, 7)) == LIMITS.max_attempts
    assert count_final_answers(driver, 7) == 1


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_drain_between_arrival_and_round_takes_effect_at_once(state: EndpointState) -> None:
    driver = DispatcherDriver(listed=entries(1))
    driver.request(7)
    driver.handle(EndpointListUpdate(ListKind.DELTA, [entries(1)[0]._replace(state=state)]))
    driver.run(6000.0)
    assert not driver.actions_of(StartAttempt)


def test_an_endpoint_missing_from_a_snapshot_gets_no_jobs() -> None:
    driver = DispatcherDriver(listed=entries(2))
    driver.handle(EndpointListUpdate(ListKind.SNAPSHOT, entries(1)))
    for job_id in range(20):
        driver.request(job_id)
        driver.run(50.0)
    assert {send.endpoint for send in driver.actions_of(StartAttempt)} == {"a0"}


def test_the_last_entry_of_an_endpoint_listed_twice_applies() -> None:
    twice = [entries(1)[0], entries(1)[0]._replace(state=EndpointState.DRAINING)]
    driver = DispatcherDriver(listed=twice)
    driver.request(7)
    driver.run(6000.0)
    assert not driver.actions_of(StartAttempt)
