"""Records the starts, progress and outcomes of attempts in the statistics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from burlmoor.policy.endpoints.outlier_detection import OutlierDetector
    from burlmoor.policy.endpoints.recently_freed import RecentlyFreed
    from burlmoor.policy.model.attempt import ScheduledAttempt
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.statistics.node_statistics import NodeStatistics

FAULT_OUTCOMES = (Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE)
MIN_SILENT_MS = 500.0  # a cancelled or timed-out attempt is a fault if the endpoint was silent for longer
CLEAN_SLOWNESS = 1.5  # a late job counts as clean if its slowness relative to the kind's is lower
PROGRESS_WEIGHT = 0.5  # of a sample of the run time that is extrapolated from progress


class OutcomeRecorder:
    """Updates the statistics and outlier detection as attempts start, progress and end. Times are in ms."""

    def __init__(
        self, statistics: NodeStatistics, outliers: OutlierDetector, recently_freed: RecentlyFreed
    ) -> None:
        self._statistics = statistics
        self._outliers = outliers
        self._recently_freed = recently_freed

    def record_start(self, attempt: ScheduledAttempt, now: float) -> None:
        """Record that an attempt's job has started."""
        endpoint = attempt.endpoint
        delay_ms = now - attempt.sent_at
        attempt.started_at = now
        endpoint.last_reported_at = now
        attempt.clear_overdue()
        start_delays = self._statistics.start_delays
        start_delays.record_delay(endpoint, delay_ms, now)
        if delay_ms <= start_delays.start_grace(endpoint.zone):
            self._recently_freed.add(endpoint)

    def record_progress(
        self, job: ScheduledJob, attempt: ScheduledAttempt, fraction: float, now: float
    ) -> None:
        """Record that a running job has completed this fraction of its work."""
        attempt.endpoint.last_reported_at = now
        if attempt.started_at is not None and fraction > 0.0:
            run_ms = (now - attempt.started_at) / min(1.0, fraction)
            self._statistics.runs.record_run(attempt.endpoint, job.work_ms, run_ms, now, PROGRESS_WEIGHT)

    def record_cancelling(self, attempt: ScheduledAttempt, outcome: Outcome, now: float) -> None:
        """Record that the node has cancelled an attempt, and a fault if the outcome indicates one."""
        attempt.is_cancelling = True
        self._record_fault(attempt, outcome, now)

    def record_end(
        self, job: ScheduledJob, attempt: ScheduledAttempt, outcome: Outcome, elapsed_ms: float, now: float
    ) -> None:
        """Record the outcome of an attempt that has ended."""
        endpoint = attempt.endpoint
        start_delays = self._statistics.start_delays
        attempt.outcome = outcome
        if attempt.is_overdue:
            start_delays.record_delay(endpoint, now - attempt.sent_at, now, has_started=False)
        attempt.clear_overdue()
        if outcome is Outcome.SERVED:
            endpoint.last_reported_at = now
            self._outliers.record_success(endpoint)
            self._record_served(job, attempt, elapsed_ms, now)
        elif outcome is Outcome.OVERLOADED:
            start_delays.record_overload(endpoint, now)
            self._recently_freed.discard(endpoint)
        elif not attempt.is_cancelling:
            self._record_fault(attempt, outcome, now)

    def _record_fault(self, attempt: ScheduledAttempt, outcome: Outcome, now: float) -> None:
        """Record a fault of the endpoint if the outcome indicates one; called at most once per attempt."""
        endpoint = attempt.endpoint
        if outcome in FAULT_OUTCOMES:
            self._outliers.record_fault(endpoint, now)
            self._statistics.endpoints.record_clean_sample(endpoint, now, is_clean=False)
        elif outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
            is_silent = endpoint.last_reported_at < attempt.sent_at
            if is_silent and now - attempt.sent_at > MIN_SILENT_MS:
                self._outliers.record_fault(endpoint, now)

    def _record_served(
        self, job: ScheduledJob, attempt: ScheduledAttempt, elapsed_ms: float, now: float
    ) -> None:
        endpoint, class_name = attempt.endpoint, job.job_class.name
        runs = self._statistics.runs
        self._statistics.estimate_errors.record(class_name, attempt.expected_ms, now - attempt.sent_at, now)
        is_in_time = now <= job.objective_at
        if not job.is_closed:
            objective_fraction = 1.0 if is_in_time else job.job_class.late_fraction
            self._statistics.class_weights.record_served(
                class_name, objective_fraction * job.objective_weight, now
            )
        run_ms = now - attempt.started_at if attempt.started_at is not None else elapsed_ms
        if job.key:
            run_ms = runs.record_cache_use(
                endpoint, job.work_ms, run_ms, now, expects_cache_miss=attempt.expects_cache_miss
            )
        self._statistics.demand.record_run(class_name, run_ms, now)
        relative_slowness = runs.record_run(endpoint, job.work_ms, run_ms, now)
        is_clean = is_in_time or relative_slowness < CLEAN_SLOWNESS
        self._statistics.endpoints.record_clean_sample(endpoint, now, is_clean=is_clean)
        if not endpoint.overdue_attempts:
            self._recently_freed.add(endpoint)
