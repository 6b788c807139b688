"""Tests the engine with a fake clock: outcomes, single final answers, deadlines, repeated call-backs."""

from __future__ import annotations

from typing import Any

import pytest

from burlmoor.engine.answers import Failed, FinalAnswer, Rejected, Served
from burlmoor.types.actions import Action, FailJob, RejectJob, StartAttempt
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Limits
from tests.support.engine_harness import EngineHarness, RecordingResponder

NEVER_STARTED = [Outcome.OVERLOADED, Outcome.UNREACHABLE]
MAY_HAVE_RUN = [Outcome.ERROR, Outcome.RESET]


@pytest.mark.parametrize("name", ["lookup", "once"])
@pytest.mark.parametrize("outcome", NEVER_STARTED + MAY_HAVE_RUN)
def test_a_non_idempotent_job_is_retried_only_after_outcomes_that_prove_it_never_started(
    name: str, outcome: Outcome
) -> None:
    harness = EngineHarness()
    client, attempt = harness.submit_and_start(name)
    harness.core.lifecycle.on_attempt_ended(attempt, outcome)
    harness.advance(100.0)
    if name == "once" and outcome in MAY_HAVE_RUN:
        assert client.answers == [Failed()]
        assert len(harness.started_attempts) == 1
    else:
        assert client.answers == []
        assert len(harness.started_attempts) == 2
        assert harness.started_attempts[1].endpoint != attempt.endpoint


def test_the_first_result_is_the_answer_and_a_repeated_one_changes_nothing() -> None:
    harness = EngineHarness()
    client, attempt = harness.submit_and_start()
    assert harness.core.jobs.find_attempt("a1", attempt.endpoint) is attempt
    assert harness.core.jobs.find_attempt("a1", "other") is None
    harness.core.lifecycle.on_attempt_ended(attempt, Outcome.SERVED, b"one")
    harness.core.lifecycle.on_attempt_ended(attempt, Outcome.SERVED, b"two")
    assert harness.core.jobs.find_attempt("a1", attempt.endpoint) is None
    harness.advance(10_000.0)
    assert client.answers == [Served(b"one")]
    assert harness.core.jobs.count_open() == 0


@pytest.mark.parametrize(("name", "answer"), [("lookup", Rejected), ("once", Failed)])
def test_an_unfinished_attempt_is_cancelled_and_its_client_answered_by_the_deadline(
    name: str, answer: type[FinalAnswer]
) -> None:
    harness = EngineHarness()
    client, attempt = harness.submit_and_start(name, timeout_ms=900.0)
    harness.core.lifecycle.on_attempt_started(attempt)
    harness.advance(900.0)
    assert client.answer_types() == [answer]
    assert attempt in harness.cancelled_attempts
    assert harness.engine.next_due() > harness.now


@pytest.mark.parametrize(("is_started", "answer"), [(False, Rejected()), (True, Failed())])
def test_the_engine_answers_at_the_deadline_if_the_policy_fails(
    is_started: bool, answer: FinalAnswer, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = EngineHarness()
    client, _ = (
        harness.submit_and_start("once", timeout_ms=900.0)
        if is_started
        else harness.submit("once", timeout_ms=900.0)
    )

    def raise_error(*_arguments: Any) -> list[Action]:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.dispatcher, "handle", raise_error)
    harness.advance(901.0)
    assert client.answers == [answer]
    assert {"policy-failed", "answered-at-deadline"} <= set(harness.logged_events)
    assert harness.core.jobs.count_open() == 0


def test_the_policy_rejects_before_the_deadline_with_a_retry_after() -> None:
    harness = EngineHarness()
    harness.core.policy.on_endpoint_list(ListKind.SNAPSHOT, [])
    harness.advance(100.0)
    client, _ = harness.submit(timeout_ms=300.0, work_ms=1.0)
    harness.now += 20.0  # a step may be late
    harness.engine.step()
    harness.advance(300.0)
    assert client.answer_types() == [Rejected]
    assert client.answers != [Rejected()]
    assert "answered-at-deadline" not in harness.logged_events


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    harness = EngineHarness()
    client, attempt = harness.submit_and_start()
    harness.core.lifecycle.on_client_disconnected(attempt.job)
    harness.advance(10.0)
    assert harness.cancelled_attempts == [attempt]
    harness.advance(6000.0)
    assert client.answers == []


@pytest.mark.parametrize("may_hedge", [False, True])
def test_without_hedging_a_retry_waits_for_the_cancellation_to_be_confirmed(may_hedge: bool) -> None:
    harness = EngineHarness(limits=Limits(max_attempts=4, may_cancel=True, may_hedge=may_hedge))
    _, attempt = harness.submit_and_start(work_ms=2000.0)
    # No further event arrives, as if the executor had become unreachable.
    harness.core.lifecycle.on_attempt_started(attempt)
    for _ in range(80):
        if not may_hedge and harness.cancelled_attempts:
            break
        harness.advance(50.0)
    if may_hedge:
        assert len(harness.started_attempts) > 1
        return
    harness.advance(300.0)
    assert (harness.cancelled_attempts[0], harness.started_attempts) == (attempt, [attempt])
    harness.core.lifecycle.on_cancellation_confirmed(attempt)
    harness.advance(100.0)
    assert [each.endpoint == attempt.endpoint for each in harness.started_attempts] == [True, False]


def test_a_job_that_ends_while_a_cancellation_is_pending_is_removed() -> None:
    harness = EngineHarness(limits=Limits(max_attempts=4, may_cancel=True, may_hedge=False))
    client, attempt = harness.submit_and_start(work_ms=2000.0)
    harness.core.lifecycle.on_attempt_started(attempt)
    while not harness.cancelled_attempts:
        harness.advance(50.0)
    assert not attempt.has_ended
    harness.advance(10_000.0)
    assert len(client.answers) == 1
    assert harness.core.jobs.ids() == []


def test_a_request_id_in_use_is_not_admitted_again() -> None:
    harness = EngineHarness()
    harness.submit()
    assert harness.engine.admit(RecordingResponder(), "a1", JobRequest(0, "lookup", 500.0), None) is None


def test_a_rejection_of_a_non_idempotent_job_that_may_have_run_becomes_a_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = EngineHarness()
    client, attempt = harness.submit_and_start("once")
    # The engine must turn the rejection into a failure. The second action finds the job closed.
    rejection_and_failure: list[Action] = [RejectJob(attempt.job.number, 50.0), FailJob(attempt.job.number)]
    monkeypatch.setattr(harness.core.dispatcher, "handle", lambda *_: rejection_and_failure)
    harness.core.lifecycle.on_attempt_progressed(attempt, 0.5)
    harness.advance(10.0)
    assert client.answers == [Failed()]


def test_a_job_has_one_attempt_per_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = EngineHarness()
    _, attempt = harness.submit_and_start()
    harness.core.lifecycle.on_attempt_ended(attempt, Outcome.RESET)
    # The policy requests one more attempt at the same endpoint, in its first batch, and nothing afterwards.
    repeated_starts: list[Action] = [StartAttempt(attempt.job.number, attempt.endpoint)]
    monkeypatch.setattr(
        harness.core.dispatcher,
        "handle",
        lambda *_: repeated_starts.pop() and [StartAttempt(1, attempt.endpoint)] if repeated_starts else [],
    )
    harness.advance(10.0)
    assert len(harness.started_attempts) == 1
    assert all(each.has_ended for each in attempt.job.attempts)


def test_a_very_long_client_timeout_is_bounded_and_does_not_affect_other_jobs() -> None:
    # Without the bound, the job would stay open for more than a day, and the policy would assume
    # that all other jobs, whose timeouts are much shorter, are clients' retries.
    harness = EngineHarness()
    _, job = harness.submit(timeout_ms=1e8)
    assert job.deadline == harness.now + 5000.0
    client, _ = harness.submit(request_id="b2")
    harness.advance(60.0)
    assert len(harness.started_attempts) == 2
    assert not client.answers
