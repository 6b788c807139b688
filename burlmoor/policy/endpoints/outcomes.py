"""What attempts teach: their starts, progress and outcomes go into the statistics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from burlmoor.policy.endpoints.endpoint_list import EndpointList
    from burlmoor.policy.model.job import ScheduledAttempt, ScheduledJob
    from burlmoor.policy.statistics.node_statistics import NodeStatistics

FAULTS = (Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE)
MIN_SILENT_MS = 500.0  # an attempt that was cancelled or timed out after this long unheard is a fault
CLEAN_SLOWNESS = 1.5  # a late job counts as clean if it was at most this much slower than the kind
PROGRESS_WEIGHT = 0.5  # of a run time estimated from progress


class OutcomeRecorder:
    """Records what is heard of attempts."""

    def __init__(self, statistics: NodeStatistics, endpoints: EndpointList) -> None:
        self._statistics = statistics
        self._outliers = endpoints.outliers
        self._recently_freed = endpoints.recently_freed

    def record_start(self, attempt: ScheduledAttempt, now: float) -> None:
        """Record that an attempt's job has begun to run."""
        endpoint = attempt.endpoint
        delay_ms = now - attempt.sent_at
        attempt.started_at = now
        endpoint.last_reported_at = now
        attempt.clear_overdue()
        self._statistics.endpoints.record_start_delay(endpoint, delay_ms, now)
        if delay_ms <= self._statistics.endpoints.start_grace(endpoint.zone):
            self._recently_freed.add(endpoint)

    def record_progress(
        self, job: ScheduledJob, attempt: ScheduledAttempt, fraction: float, now: float
    ) -> None:
        """Record that a running job has done this fraction of its work."""
        attempt.endpoint.last_reported_at = now
        if attempt.started_at is not None and fraction > 0.0:
            run_ms = (now - attempt.started_at) / min(1.0, fraction)
            self._statistics.endpoints.record_run(attempt.endpoint, job.work_ms, run_ms, now, PROGRESS_WEIGHT)

    def record_end(self, job: ScheduledJob, attempt: ScheduledAttempt, elapsed_ms: float, now: float) -> None:
        """Record the outcome of an attempt that has ended."""
        endpoint = attempt.endpoint
        measured = self._statistics.endpoints
        if attempt.is_overdue:
            measured.record_start_delay(endpoint, now - attempt.sent_at, now, has_started=False)
        attempt.clear_overdue()
        if attempt.outcome is Outcome.SERVED:
            endpoint.last_reported_at = now
            self._outliers.record_success(endpoint)
            self._record_served(job, attempt, elapsed_ms, now)
        elif attempt.outcome is Outcome.OVERLOADED:
            measured.record_overload(endpoint, now)
            self._recently_freed.discard(endpoint)
        elif attempt.outcome is not None and not attempt.is_cancelling:
            self.record_fault(attempt, attempt.outcome, now)

    def record_fault(self, attempt: ScheduledAttempt, outcome: Outcome, now: float) -> None:
        """Record what an outcome says against the endpoint; once for each attempt, at the first sign."""
        endpoint = attempt.endpoint
        if outcome in FAULTS:
            self._outliers.record_fault(endpoint, now)
            self._statistics.endpoints.record_attempt_end(endpoint, False, now)
        elif outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
            is_silent = endpoint.last_reported_at < attempt.sent_at
            if is_silent and now - attempt.sent_at > MIN_SILENT_MS:
                self._outliers.record_fault(endpoint, now)

    def _record_served(
        self, job: ScheduledJob, attempt: ScheduledAttempt, elapsed_ms: float, now: float
    ) -> None:
        endpoint, class_name = attempt.endpoint, job.job_class.name
        measured = self._statistics.endpoints
        self._statistics.estimates.record(class_name, attempt.expected_ms, now - attempt.sent_at, now)
        is_in_time = now <= job.objective_at
        if not job.is_closed:
            counted = 1.0 if is_in_time else job.job_class.late_fraction
            self._statistics.class_weights.record_served(class_name, counted * job.objective_weight, now)
        run_ms = now - attempt.started_at if attempt.started_at is not None else elapsed_ms
        if job.key:
            run_ms = measured.record_cache_use(endpoint, job.work_ms, run_ms, attempt.is_cache_miss, now)
        self._statistics.demand.record_run(class_name, run_ms, now)
        slowness = measured.record_run(endpoint, job.work_ms, run_ms, now)
        measured.record_attempt_end(endpoint, is_in_time or slowness < CLEAN_SLOWNESS, now)
        if not endpoint.overdue_attempts:
            self._recently_freed.add(endpoint)
