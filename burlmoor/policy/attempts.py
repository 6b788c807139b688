"""Sends attempts to the selected endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.model.attempt import ScheduledAttempt

if TYPE_CHECKING:
    from burlmoor.policy.endpoint_scoring import ScoredEndpoint
    from burlmoor.policy.endpoints.fleet_load import FleetLoad
    from burlmoor.policy.job_checks import JobChecks
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.redistribution_budget import RedistributionBudget
    from burlmoor.policy.safety import RetrySafety
    from burlmoor.policy.statistics.endpoint_statistics import EndpointStatistics


class AttemptSender:
    """Sends jobs to the endpoints selected for them."""

    def __init__(
        self,
        endpoint_statistics: EndpointStatistics,
        safety: RetrySafety,
        load: FleetLoad,
        checks: JobChecks,
        budget: RedistributionBudget,
        *,
        endpoints_report_start: bool,
    ) -> None:
        self._endpoint_statistics = endpoint_statistics
        self._safety = safety
        self._load = load
        self._checks = checks
        self._budget = budget
        self._endpoints_report_start = endpoints_report_start

    def send(self, job: ScheduledJob, selection: ScoredEndpoint, now: float) -> None:
        """Send the job to the selected endpoint and schedule the check of the attempt."""
        endpoint = selection.endpoint
        endpoint.first_sent_at = min(endpoint.first_sent_at, now)
        self._endpoint_statistics.record_yield(endpoint, selection.expected_yield, now)
        attempt = ScheduledAttempt(
            number=len(job.attempts),
            endpoint=endpoint,
            sent_at=now,
            expected_ms=selection.expected_ms,
            expects_cache_miss=selection.expects_cache_miss,
            check_at=self._checks.first_check_at(endpoint, now),
            started_at=None if self._endpoints_report_start else now,
        )
        self._safety.send(job, attempt)
        self._load.acquire(endpoint, job, now)
        self._budget.record_send()
        self._checks.schedule_next(job, now)
