"""Tests which attempts the guard refuses, and which refusals count as invariant violations."""

from __future__ import annotations

from typing import Any, cast

import pytest

from burlmoor.engine.attempt_guard import AttemptGuard
from burlmoor.engine.job import Attempt, Job
from burlmoor.invariants import InvariantMonitor
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Limits


@pytest.mark.parametrize("may_hedge", [False, True])
@pytest.mark.parametrize("open_count", [0, 1, 2])
def test_the_open_attempts_of_a_job_are_limited(may_hedge: bool, open_count: int) -> None:
    invariants = InvariantMonitor(lambda _event: None)
    job = Job("a1", 1, cast("Any", None), "lookup", None, 0.0, 1000.0, False)
    job.attempts.append(Attempt(job, 0, "e0", 0.0, 1000.0, Outcome.CANCELLED))
    for number in range(open_count):
        pending_outcome = Outcome.CANCELLED if number else None
        job.attempts.append(Attempt(job, number + 1, f"e{number + 1}", 0.0, 1000.0, None, pending_outcome))
    guard = AttemptGuard(Limits(max_attempts=5, may_hedge=may_hedge), invariants)
    may_start = open_count < (2 if may_hedge else 1)
    assert guard.may_start(job, Attempt(job, 3, "e9", 10.0, 1000.0), 10.0) is may_start
    assert invariants.counts() == ({} if may_start else {"simultaneous": 1})


@pytest.mark.parametrize("is_non_idempotent", [False, True])
@pytest.mark.parametrize("outcome", [None, *Outcome])
def test_a_retry_is_refused_only_for_a_non_idempotent_job_that_may_have_run(
    is_non_idempotent: bool, outcome: Outcome | None
) -> None:
    lines: list[dict[str, Any]] = []
    invariants = InvariantMonitor(lambda event: lines.append(event.to_line()))
    job = Job("a1", 1, cast("Any", None), "lookup", None, 0.0, 1000.0, is_non_idempotent)
    job.attempts.append(Attempt(job, 0, "e0", 0.0, 1000.0, outcome))
    guard = AttemptGuard(Limits(max_attempts=5, may_hedge=True), invariants)
    is_repeat = is_non_idempotent and job.may_have_run()
    assert guard.may_start(job, Attempt(job, 1, "e1", 10.0, 1000.0), 10.0) is not is_repeat
    assert invariants.counts() == ({"repeat": 1} if is_repeat else {})
    assert [line["event"] for line in lines] == ["invariant-violated"] * is_repeat
    # The same endpoint, a start at the deadline, too many attempts, a closed job: refused, no violation.
    assert not guard.may_start(job, Attempt(job, 1, "e0", 10.0, 1000.0), 10.0)
    assert not guard.may_start(job, Attempt(job, 1, "e1", 1000.0, 1000.0), 1000.0)
    assert not guard.may_start(job, Attempt(job, 5, "e1", 10.0, 1000.0), 10.0)
    job.is_closed = True
    assert not guard.may_start(job, Attempt(job, 1, "e1", 10.0, 1000.0), 10.0)
    assert len(lines) == is_repeat
