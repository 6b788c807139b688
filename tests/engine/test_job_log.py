"""Tests the log lines of jobs that needed more than their first attempt, and the counts by reason."""

from __future__ import annotations

from typing import Any

import pytest

from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason
from burlmoor.types.settings import Limits
from tests.support.engine_harness import EngineHarness


def job_lines(harness: EngineHarness) -> list[dict[str, Any]]:
    return [line for line in harness.logged_lines if line["event"] == "job-ended"]


def test_a_job_that_is_served_at_its_first_attempt_is_counted_and_not_logged() -> None:
    harness = EngineHarness()
    _, attempt = harness.submit_and_start()
    harness.core.lifecycle.on_attempt_ended(attempt, Outcome.SERVED, b"one")
    assert job_lines(harness) == []
    assert harness.core.counters.totals() == {"jobs": {"served": 1}}


def test_the_line_of_a_retried_job_has_every_state_change_of_its_attempts() -> None:
    harness = EngineHarness(limits=Limits(max_attempts=4, may_cancel=True, may_hedge=False))
    _, first = harness.submit_and_start()
    harness.cancel(first, Outcome.RESET, CancelReason.NO_RESPONSE)
    harness.advance(40.0)
    harness.core.lifecycle.on_cancellation_confirmed(first)
    harness.advance(50.0)
    second = harness.started_attempts[-1]
    harness.core.lifecycle.on_attempt_started(second)
    harness.advance(5.0)
    harness.core.lifecycle.on_attempt_ended(second, Outcome.SERVED, b"two")
    [line] = job_lines(harness)
    assert (line["id"], line["job_class"], line["answer"], line["reason"]) == ("a1", "lookup", "served", None)
    described_first, described_second = line["attempts"]
    assert described_first["endpoint"] == first.endpoint
    assert (described_first["cancel_reason"], described_first["outcome"]) == ("no-response", "reset")
    assert (described_first["cancelled"], described_first["ended"]) == (60.0, 100.0)
    assert described_second["outcome"] == "served"
    assert described_first["ended"] <= described_second["selected"] <= described_second["started"]
    assert described_second["ended"] == line["after_ms"]
    totals = harness.core.counters.totals()
    assert totals == {"jobs": {"served": 1}, "retries": {"reset": 1}, "cancels": {"no-response": 1}}


@pytest.mark.parametrize(
    ("job_class", "outcome", "answer", "reason"),
    [
        ("once", Outcome.RESET, "failed", "no-retry"),
        ("lookup", None, "rejected", "not-started"),
        ("once", None, "failed", "not-started"),
    ],
)
def test_the_end_reason_of_an_unserved_job_is_logged(
    job_class: str, outcome: Outcome | None, answer: str, reason: str
) -> None:
    harness = EngineHarness()
    _, attempt = harness.submit_and_start(job_class, timeout_ms=900.0)
    if outcome is not None:
        harness.core.lifecycle.on_attempt_ended(attempt, outcome)
    harness.advance(5000.0)
    [line] = job_lines(harness)
    assert (line["answer"], line["reason"]) == (answer, reason)
    assert harness.core.counters.totals()["jobs"] == {f"{answer}: {reason}": 1}


def test_a_client_disconnect_is_logged_as_the_end_reason() -> None:
    harness = EngineHarness()
    _, attempt = harness.submit_and_start()
    harness.core.lifecycle.on_client_disconnected(attempt.job)
    harness.advance(10.0)
    [line] = job_lines(harness)
    assert (line["answer"], line["reason"]) == ("none", "client-disconnected")
    assert line["attempts"][0]["cancel_reason"] == "job-over"


def test_take_increments_returns_each_increment_once() -> None:
    harness = EngineHarness()
    _, attempt = harness.submit_and_start()
    harness.core.lifecycle.on_attempt_ended(attempt, Outcome.SERVED, b"one")
    counters = harness.core.counters
    assert counters.take_increments() == {"jobs": {"served": 1}}
    assert counters.take_increments() == {}
    _, job = harness.submit(request_id="a2")
    harness.advance(60.0)
    harness.core.lifecycle.on_client_disconnected(job)
    assert counters.take_increments() == {"jobs": {"none: client-disconnected": 1}}
