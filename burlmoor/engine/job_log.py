"""The log of jobs: one line with all state changes for each job that did not go the plain way.

The plain way is one attempt that is not cancelled and whose result is the answer: those are counted only.
"""

from __future__ import annotations

from typing import Any

from burlmoor.counters import CounterGroup, EventCounters
from burlmoor.engine.answers import DependencyFailed, Failed, FinalAnswer, Rejected, Served
from burlmoor.engine.job import Attempt, Job
from burlmoor.log import EventLogger
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason, EndReason

_ANSWER_NAMES: dict[type[FinalAnswer] | None, str] = {
    Served: "served",
    Rejected: "rejected",
    Failed: "failed",
    DependencyFailed: "dependency-failed",
    None: "none",
}
_HEDGED = "hedged"  # the attempt before has not ended


class JobLog:
    """Counts how jobs and attempts end, and writes the line of a job once it is over."""

    def __init__(self, log: EventLogger, counters: EventCounters) -> None:
        self._log = log
        self._counters = counters

    def on_job_closed(
        self, job: Job, answer: FinalAnswer | None, reason: EndReason | None, now: float
    ) -> None:
        """Note the answer of a job, None if its client has left."""
        job.answer_name = _ANSWER_NAMES[None if answer is None else type(answer)]
        job.end_reason = reason
        job.closed_at = now
        counted = job.answer_name if reason is None else f"{job.answer_name}: {reason.value}"
        self._counters.count(CounterGroup.JOBS, counted)

    def on_attempt_started(self, attempt: Attempt) -> None:
        """Count an attempt after the first."""
        if attempt.number > 0:
            outcome = attempt.job.attempts[attempt.number - 1].outcome
            self._counters.count(CounterGroup.RETRIES, _HEDGED if outcome is None else outcome.value)

    def on_attempt_cancelled(self, attempt: Attempt, reason: CancelReason, now: float) -> None:
        """Note why the node cancelled an attempt; the first reason counts."""
        if attempt.cancel_reason is None:
            attempt.cancel_reason = reason
            attempt.cancelled_at = now
            self._counters.count(CounterGroup.CANCELS, reason.value)

    def on_job_over(self, job: Job) -> None:
        """Write the line of a job that is closed and none of whose attempts is open any more."""
        if not _went_the_plain_way(job):
            self._log(
                "job-ended",
                id=job.id,
                job_class=job.class_name,
                answer=job.answer_name,
                reason=job.end_reason.value if job.end_reason is not None else None,
                after_ms=_since(job, job.closed_at),
                attempts=[_describe(attempt) for attempt in job.attempts],
            )


def _went_the_plain_way(job: Job) -> bool:
    if len(job.attempts) != 1:
        return False
    attempt = job.attempts[0]
    return attempt.outcome is Outcome.SERVED and attempt.cancel_reason is None and job.end_reason is None


def _since(job: Job, at: float) -> float:
    return round(at - job.received_at, 1)


def _describe(attempt: Attempt) -> dict[str, Any]:
    """Return an attempt's state changes, in ms since its job's request was received; none that was not."""
    moments = {
        "selected": attempt.sent_at,
        "written": attempt.written_at,
        "accepted": attempt.accepted_at,
        "started": attempt.started_at,
        "cancelled": attempt.cancelled_at,
        "ended": attempt.ended_at,
    }
    described: dict[str, Any] = {"target": attempt.endpoint}
    described |= {name: _since(attempt.job, at) for name, at in moments.items() if at is not None}
    if attempt.cancel_reason is not None:
        described["cancel"] = attempt.cancel_reason.value
    if attempt.outcome is not None:
        described["outcome"] = attempt.outcome.value
    return described
