"""Request ids that come again after their job is over: a job that may have run is not run again."""

from __future__ import annotations

import pytest

from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from tests.support.engine_harness import EngineHarness, RecordingResponder

CLASSES = ["lookup", "once", "keyed"]
MINUTE_MS = 60_000.0


def is_admitted_again(harness: EngineHarness, job_class: str, request_id: str = "a1") -> bool:
    """Return whether a request with the id of an earlier job is admitted."""
    request = JobRequest(0, job_class, 5000.0, 100.0)
    return harness.engine.admit(RecordingResponder(), request_id, request, None) is not None


@pytest.mark.parametrize("job_class", CLASSES)
@pytest.mark.parametrize("is_answered", [False, True])
@pytest.mark.parametrize("pause_ms", [0.0, 1000.0, 20_000.0])
def test_the_id_of_a_job_that_may_have_run_is_refused(
    job_class: str, is_answered: bool, pause_ms: float
) -> None:
    # Guards against a second run of a job whose id comes again after its client has left.
    harness = EngineHarness()
    _, attempt = harness.submit_and_start(job_class)
    if is_answered:
        harness.core.lifecycle.on_attempt_ended(attempt, Outcome.SERVED, b"fine")
    else:
        harness.core.lifecycle.on_client_disconnected(attempt.job)
    harness.advance(pause_ms)
    assert not is_admitted_again(harness, job_class)


@pytest.mark.parametrize("job_class", CLASSES)
@pytest.mark.parametrize("is_sent", [False, True])
def test_the_id_of_a_job_that_has_not_run_may_come_again(job_class: str, is_sent: bool) -> None:
    harness = EngineHarness()
    _, job = harness.submit(job_class)
    if is_sent:
        harness.advance(60.0)
        for attempt in job.open_attempts():
            harness.core.lifecycle.on_attempt_ended(attempt, Outcome.UNREACHABLE)
    harness.core.lifecycle.on_client_disconnected(job)
    harness.advance(60.0)
    assert is_admitted_again(harness, job_class)
