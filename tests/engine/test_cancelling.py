"""Tests that a cancelled attempt counts as open until its endpoint has confirmed the cancellation."""

from __future__ import annotations

import pytest

from burlmoor.engine.answers import Failed, Rejected, Served
from burlmoor.types.actions import StartAttempt
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason
from burlmoor.types.settings import Limits
from tests.support.engine_harness import EngineHarness

HEDGING = Limits(max_attempts=5, may_cancel=True, may_hedge=True)
NO_HEDGING = Limits(max_attempts=5, may_cancel=True, may_hedge=False)


def cancel(harness: EngineHarness, outcome: Outcome = Outcome.RESET) -> None:
    """Cancel the latest attempt, and leave time for a retry if one is allowed."""
    harness.cancel(harness.started_attempts[-1], outcome, CancelReason.NO_RESPONSE)
    harness.advance(100.0)


@pytest.mark.parametrize(("limits", "allowed"), [(NO_HEDGING, 1), (HEDGING, 2)])
def test_open_attempts_are_limited_until_a_cancellation_is_confirmed(limits: Limits, allowed: int) -> None:
    harness = EngineHarness(limits=limits)
    harness.submit_and_start(work_ms=2000.0)
    for number in range(allowed):
        cancel(harness)
        assert len(harness.started_attempts) == min(number + 2, allowed)
    first = harness.started_attempts[0]
    assert harness.cancelled_attempts[0] is first
    harness.core.lifecycle.on_cancellation_confirmed(first)
    assert first.outcome is Outcome.RESET
    harness.advance(100.0)
    assert len(harness.started_attempts) == allowed + 1
    assert len(harness.open_attempts()) == allowed
    assert harness.core.invariants.counts() == {}


def test_a_result_that_arrives_before_the_cancellation_is_confirmed_serves_the_job() -> None:
    harness = EngineHarness(limits=NO_HEDGING)
    client, attempt = harness.submit_and_start(work_ms=2000.0)
    cancel(harness)
    assert harness.core.jobs.find_attempt("a1", attempt.endpoint) is attempt
    harness.core.lifecycle.on_attempt_ended(attempt, Outcome.SERVED, b"late")
    harness.core.lifecycle.on_cancellation_confirmed(attempt)
    harness.advance(100.0)
    assert client.answers == [Served(b"late")]
    assert harness.started_attempts == [attempt]
    assert harness.core.jobs.ids() == []


def test_a_start_reported_after_the_cancellation_is_ignored() -> None:
    harness = EngineHarness(limits=HEDGING)
    _, attempt = harness.submit_and_start(work_ms=2000.0)
    harness.cancel(attempt, Outcome.RESET, CancelReason.NO_RESPONSE)
    harness.core.lifecycle.on_attempt_started(attempt)
    harness.core.lifecycle.on_attempt_progressed(attempt, 0.5)
    harness.advance(100.0)
    assert len(harness.started_attempts) == 2


@pytest.mark.parametrize("limits", [NO_HEDGING, HEDGING])
def test_a_job_with_unconfirmed_cancellations_is_rejected_in_time_and_removed(limits: Limits) -> None:
    harness = EngineHarness(limits=limits)
    client, _ = harness.submit_and_start(timeout_ms=900.0)
    cancel(harness)
    harness.advance(900.0)
    assert client.answer_types() == [Rejected]
    assert harness.open_attempts() == []
    assert harness.core.jobs.ids() == []


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.UNREACHABLE])
def test_a_non_idempotent_job_does_not_wait_for_the_cancellation(outcome: Outcome) -> None:
    harness = EngineHarness(limits=NO_HEDGING)
    client, attempt = harness.submit_and_start("once")
    cancel(harness, outcome)
    if outcome is Outcome.RESET:
        assert client.answers == [Failed()]
    else:
        assert len(harness.started_attempts) == 2  # it has not run, so it may be sent again
    assert harness.cancelled_attempts == [attempt]


def test_a_job_answered_early_by_a_shutdown_is_not_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = EngineHarness(limits=NO_HEDGING)
    client, attempt = harness.submit_and_start(timeout_ms=5000.0, work_ms=2000.0)
    other_endpoint = next(f"a{number}" for number in range(4) if f"a{number}" != attempt.endpoint)
    harness.engine.cap_deadlines(harness.now + 100.0)
    # When the job is answered, its attempt has ended, but the call that cancels it is still in flight.
    repeated_start = StartAttempt(attempt.job.number, other_endpoint)
    monkeypatch.setattr(
        harness.core.dispatcher, "handle", lambda *_: [repeated_start] if attempt.has_ended else []
    )
    harness.advance(200.0)
    assert client.answers == [Failed()]
    assert harness.started_attempts == [attempt]


def test_a_timed_out_attempt_is_open_until_its_cancellation_is_confirmed() -> None:
    harness = EngineHarness(limits=NO_HEDGING)
    _, attempt = harness.submit_and_start(work_ms=2000.0)
    harness.core.deadlines.schedule(harness.now + 10.0, attempt)
    harness.advance(100.0)
    assert not attempt.has_ended
    assert harness.started_attempts == harness.cancelled_attempts == [attempt]
    harness.core.lifecycle.on_cancellation_confirmed(attempt)
    assert attempt.outcome is Outcome.TIMEOUT
