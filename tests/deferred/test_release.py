"""Release of deferred jobs: rate, credit, deadlines and the Unix clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from burlmoor.engine.answers import Served
from burlmoor.types.events import JobRequest
from tests.support.deferral_harness import START_UNIX_MS, DeferralHarness

if TYPE_CHECKING:
    from burlmoor.types.actions import Action


def test_a_job_released_late_keeps_its_deadline_and_gets_its_full_latency_objective() -> None:
    harness = DeferralHarness()
    harness.submit(request_id="usual")  # so that the policy knows the full timeout of the class
    harness.advance(60.0)
    child = harness.submit_deferred(
        "c", not_before_unix_ms=START_UNIX_MS + harness.now + 20_000.0, timeout_ms=23_000.0
    )
    harness.advance(19_900.0)
    assert "c" not in harness.started_ids()
    harness.advance(300.0)
    job = harness.find_job("c")
    assert harness.started_ids()[-1] == "c"
    assert 2500.0 < job.deadline - harness.now < 3000.0
    policy_job = harness.core.dispatcher._jobs.by_id[job.number]
    # The latency objective counts from the release; earlier attempts have spent no part of it.
    assert policy_job.objective_at == pytest.approx(
        job.passed_to_policy_at + policy_job.objective_ms, abs=10.0
    )
    harness.finish_attempt("c")
    assert child.answer_types() == [Served]


def test_jobs_due_together_fill_the_initial_window_and_then_are_released_at_a_steady_rate() -> None:
    harness = DeferralHarness(release_rate=50, release_burst=5)
    due_at = START_UNIX_MS + harness.now + 1000.0
    for number in range(100):
        harness.submit_deferred(f"h{number}", not_before_unix_ms=due_at, timeout_ms=10_000.0)
    harness.advance(1005.0)
    first = 100 - harness.queue.job_count
    assert first == 8 + 5  # the initial window, although more slots are free, and the burst
    harness.advance(300.0)  # the policy has rejected no job yet
    assert 12 <= (100 - harness.queue.job_count) - first <= 18


def test_deferral_credit_grows_with_the_deferral_and_is_bounded() -> None:
    harness = DeferralHarness(full_credit_ms=5000.0)
    requests: list[JobRequest] = []
    handle = harness.core.dispatcher.handle

    def record_requests(now: float, events: Any) -> list[Action]:
        requests.extend(event for event in events if isinstance(event, JobRequest))
        return handle(now, events)

    harness.core.dispatcher.handle = record_requests  # type: ignore[method-assign]
    for request_id, delay_ms in (("a", 1000.0), ("b", 60_000.0)):
        harness.submit_deferred(
            request_id, not_before_unix_ms=START_UNIX_MS + harness.now + delay_ms, timeout_ms=100_000.0
        )
    harness.advance(61_000.0)
    assert [round(request.deferral_credit, 1) for request in requests] == [0.2, 1.0]
    policy = harness.core.dispatcher
    harness.submit(request_id="plain")
    harness.advance(2.0)
    jobs = {job.id: job for job in policy._jobs.by_id.values()}
    assert max(job.priority for job in jobs.values()) - min(job.priority for job in jobs.values()) <= 1.01


def test_a_step_of_the_unix_clock_is_noticed_within_a_second() -> None:
    harness = DeferralHarness()
    harness.submit_deferred(
        "c", not_before_unix_ms=START_UNIX_MS + harness.now + 60_000.0, timeout_ms=90_000.0
    )
    harness.advance(1000.0)
    harness.unix_offset_ms = 60_000.0
    harness.advance(1100.0)  # no other event wakes the engine
    assert set(harness.started_ids()) == {"c"}


def test_a_resubmitted_job_is_released_by_its_own_conditions_alone() -> None:
    harness = DeferralHarness(release_rate=1, release_burst=1)
    due_at = START_UNIX_MS + harness.now + 1000.0
    for number in range(30):
        harness.submit_deferred(f"h{number}", not_before_unix_ms=due_at, timeout_ms=60_000.0)
    harness.advance(1005.0)
    assert "h29" not in harness.started_ids()  # it is runnable, but the others are released first
    harness.core.lifecycle.on_client_disconnected(harness.find_job("h29"))
    harness.submit_deferred(
        "h29", not_before_unix_ms=START_UNIX_MS + harness.now + 50_000.0, timeout_ms=60_000.0
    )
    harness.advance(35_000.0)
    assert "h29" not in harness.started_ids()
