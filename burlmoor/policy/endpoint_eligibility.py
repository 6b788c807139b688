"""Decides whether an endpoint may get a job, by capacity, outliers, reservations and retry safety."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.policy.endpoints.known_endpoints import KnownEndpoints
    from burlmoor.policy.endpoints.outlier_detection import OutlierDetector
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.safety import RetrySafety

WIDE_JOB_SLOTS = 2.5  # a job that needs more slots than this may have an endpoint reserved for it
MAX_RESERVED_FRACTION = 0.25  # of all known endpoints, in one round


class EndpointEligibility:
    """Decides which endpoints are eligible for a job, and reserves endpoints for wide jobs for one round."""

    def __init__(self, endpoints: KnownEndpoints, outliers: OutlierDetector, safety: RetrySafety) -> None:
        self._endpoints = endpoints
        self._outliers = outliers
        self._safety = safety
        self._reserved: set[Endpoint] = set()

    def start_round(self) -> None:
        """Update the outliers, and drop the reservations of the previous round."""
        self._outliers.update(self._endpoints.live)
        self._reserved.clear()

    def eligible(self, job: ScheduledJob, candidates: list[Endpoint], now: float) -> Iterator[Endpoint]:
        """Iterate over the candidates that have capacity for the job and that the rules allow."""
        tried = [attempt.endpoint for attempt in job.attempts]
        idempotency = job.job_class.idempotency
        for endpoint in dict.fromkeys(candidates):
            if not endpoint.is_available() or endpoint in self._reserved:
                continue
            if endpoint in tried or job.job_class.required_kind not in (None, endpoint.kind):
                continue
            if not endpoint.has_capacity(job.slots, job.memory):
                continue
            is_trusted = self._outliers.may_receive(endpoint, idempotency, now)
            if is_trusted and self._safety.may_send(job, endpoint, now):
                yield endpoint

    def reserve(self, job: ScheduledJob, candidates: list[Endpoint], now: float) -> None:
        """Keep an endpoint from later jobs of this round, so that slots stay free for a wide job's next try.

        The next round drops the reservation. Neither the kind that the job requires nor the endpoints that it
        has tried are checked here.
        """
        limit = MAX_RESERVED_FRACTION * len(self._endpoints.by_name)
        if job.slots <= WIDE_JOB_SLOTS or len(self._reserved) >= limit:
            return
        usable = [
            endpoint
            for endpoint in dict.fromkeys(candidates)
            if endpoint.is_available() and self._safety.may_send(job, endpoint, now)
        ]
        if usable:
            self._reserved.add(min(usable, key=lambda endpoint: endpoint.slots_in_flight))
