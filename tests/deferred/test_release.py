"""How deferred jobs are released: rate, credit, deadlines and the Unix clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from burlmoor.engine.answers import Served
from burlmoor.types.events import JobRequest
from tests.support.deferral_harness import UNIX_EPOCH_MS, DeferralHarness

if TYPE_CHECKING:
    from burlmoor.types.actions import Action


def test_a_job_released_late_gets_its_class_deadline_and_does_not_count_as_a_late_retry() -> None:
    harness = DeferralHarness()
    harness.submit(request_id="usual")  # the policy has seen the full timeout of the class
    harness.advance(60.0)
    child = harness.submit_deferred(
        "c", not_before_unix_ms=UNIX_EPOCH_MS + harness.now + 20_000.0, timeout_ms=23_000.0
    )
    harness.advance(19_900.0)
    assert "c" not in harness.started_ids()
    harness.advance(300.0)
    job = harness.find_job("c")
    assert harness.started_ids()[-1] == "c"
    assert 2500.0 < job.deadline - harness.now < 3000.0
    known = harness.core.dispatcher._jobs.by_id[job.number]
    # The latency objective counts from the release: no part of it was spent on earlier attempts.
    assert known.objective_at == pytest.approx(job.passed_to_policy_at + known.objective_ms, abs=10.0)
    harness.finish_attempt("c")
    assert child.answer_types() == [Served]


def test_jobs_due_together_are_released_by_the_first_window_and_then_at_a_steady_rate() -> None:
    harness = DeferralHarness(release_rate=50, release_burst=5)
    at = UNIX_EPOCH_MS + harness.now + 1000.0
    for number in range(100):
        harness.submit_deferred(f"h{number}", not_before_unix_ms=at, timeout_ms=10_000.0)
    harness.advance(1005.0)
    first = 100 - harness.queue.job_count
    assert first == 8 + 5  # the first window, though there is room for more, and the burst
    harness.advance(300.0)  # the policy has rejected no job yet
    assert 12 <= (100 - harness.queue.job_count) - first <= 18


def test_deferral_credit_grows_with_the_deferral_and_is_bounded() -> None:
    harness = DeferralHarness(full_credit_ms=5000.0)
    requests: list[JobRequest] = []
    handle = harness.core.dispatcher.handle

    def spy(now: float, events: Any) -> list[Action]:
        requests.extend(event for event in events if isinstance(event, JobRequest))
        return handle(now, events)

    harness.core.dispatcher.handle = spy  # type: ignore[method-assign]
    for ref, wait in (("a", 1000.0), ("b", 60_000.0)):
        harness.submit_deferred(
            ref, not_before_unix_ms=UNIX_EPOCH_MS + harness.now + wait, timeout_ms=100_000.0
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
        "c", not_before_unix_ms=UNIX_EPOCH_MS + harness.now + 60_000.0, timeout_ms=90_000.0
    )
    harness.advance(1000.0)
    harness.unix_offset_ms = 60_000.0
    harness.advance(1100.0)  # noticed within a second, though nothing else happens
    assert set(harness.started_ids()) == {"c"}


def test_a_resubmitted_job_is_released_by_its_own_conditions_alone() -> None:
    harness = DeferralHarness(release_rate=1, release_burst=1)
    due_at = UNIX_EPOCH_MS + harness.now + 1000.0
    for number in range(30):
        harness.submit_deferred(f"h{number}", not_before_unix_ms=due_at, timeout_ms=60_000.0)
    harness.advance(1005.0)
    assert "h29" not in harness.started_ids()  # runnable, and queued behind the others for its release
    harness.core.lifecycle.on_client_disconnected(harness.find_job("h29"))
    harness.submit_deferred(
        "h29", not_before_unix_ms=UNIX_EPOCH_MS + harness.now + 50_000.0, timeout_ms=60_000.0
    )
    harness.advance(35_000.0)
    assert "h29" not in harness.started_ids()
