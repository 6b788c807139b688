"""Counts how jobs end, and logs the state changes of those that did not complete on the first attempt.

A job that was served by its first attempt, without a cancellation, is only counted. Every other job gets one
log line when it is removed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import UNSET

from burlmoor.counters import CounterGroup, EventCounters
from burlmoor.engine.answers import DependencyFailed, Failed, FinalAnswer, Rejected, Served
from burlmoor.log_events import AttemptTimeline, JobEnded
from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from msgspec import UnsetType

    from burlmoor.engine.job import Attempt, Job
    from burlmoor.log import EventLogger
    from burlmoor.types.reasons import CancelReason

_ANSWER_NAMES: dict[type[FinalAnswer] | None, str] = {
    Served: "served",
    Rejected: "rejected",
    Failed: "failed",
    DependencyFailed: "dependency-failed",
    None: "none",
}
_HEDGED = "hedged"  # the previous attempt has not ended


class JobLog:
    """Counts the ends, retries and cancellations of jobs, and writes their log lines."""

    def __init__(self, log: EventLogger, counters: EventCounters) -> None:
        self._log = log
        self._counters = counters

    def on_job_closed(self, job: Job) -> None:
        """Count the answer of a job that has just been closed."""
        answer_name = _ANSWER_NAMES[job.answer_type]
        counted = answer_name if job.end_reason is None else f"{answer_name}: {job.end_reason.value}"
        self._counters.count(CounterGroup.JOBS, counted)

    def count_retry(self, attempt: Attempt) -> None:
        """Count a retry or a hedged request; first attempts are not counted."""
        if attempt.number > 0:
            outcome = attempt.job.attempts[attempt.number - 1].outcome
            self._counters.count(CounterGroup.RETRIES, _HEDGED if outcome is None else outcome.value)

    def on_attempt_cancelled(self, attempt: Attempt, reason: CancelReason, now: float) -> None:
        """Record and count why the node cancelled an attempt; later reasons are ignored."""
        if attempt.cancel_reason is None:
            attempt.cancel_reason = reason
            attempt.cancelled_at = now
            self._counters.count(CounterGroup.CANCELS, reason.value)

    def on_job_removed(self, job: Job) -> None:
        """Write the `job-ended` line of a removed job, unless the job is only counted.

        A job may be removed later than it is closed: the line has the ends of all its attempts.
        """
        if not _completed_on_first_attempt(job):
            self._log(
                JobEnded(
                    id=job.id,
                    job_class=job.class_name,
                    answer=_ANSWER_NAMES[job.answer_type],
                    reason=job.end_reason.value if job.end_reason is not None else None,
                    after_ms=_milliseconds_after_receipt(job, job.closed_at),
                    attempts=[_describe(attempt) for attempt in job.attempts],
                )
            )


def _completed_on_first_attempt(job: Job) -> bool:
    if len(job.attempts) != 1:
        return False
    attempt = job.attempts[0]
    return attempt.outcome is Outcome.SERVED and attempt.cancel_reason is None and job.end_reason is None


def _milliseconds_after_receipt(job: Job, at: float) -> float:
    return round(at - job.received_at, 1)


def _state_change_ms(job: Job, at: float | None) -> float | UnsetType:
    """Return when a state change occurred, in ms after the receipt; `UNSET` if it has not."""
    return UNSET if at is None else _milliseconds_after_receipt(job, at)


def _describe(attempt: Attempt) -> AttemptTimeline:
    """Return an attempt's state changes; those that have not occurred are omitted."""
    return AttemptTimeline(
        endpoint=attempt.endpoint,
        selected=_milliseconds_after_receipt(attempt.job, attempt.selected_at),
        written=_state_change_ms(attempt.job, attempt.written_at),
        accepted=_state_change_ms(attempt.job, attempt.accepted_at),
        started=_state_change_ms(attempt.job, attempt.started_at),
        cancelled=_state_change_ms(attempt.job, attempt.cancelled_at),
        ended=_state_change_ms(attempt.job, attempt.ended_at),
        cancel_reason=UNSET if attempt.cancel_reason is None else attempt.cancel_reason.value,
        outcome=UNSET if attempt.outcome is None else attempt.outcome.value,
    )
