"""Selects the best of a few candidate endpoints for a job, if one is likely to finish the job in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.endpoint_scoring import EndpointScorer, RoundState, ScoredEndpoint

if TYPE_CHECKING:
    import random

    from burlmoor.policy.endpoint_eligibility import EndpointEligibility
    from burlmoor.policy.endpoints.affinity import AffinitySelector
    from burlmoor.policy.endpoints.known_endpoints import KnownEndpoints
    from burlmoor.policy.endpoints.recently_freed import RecentlyFreed
    from burlmoor.policy.endpoints.slow_start import SlowStart
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.statistics.node_statistics import NodeStatistics
    from burlmoor.types.settings import Settings

# Endpoints drawn for a job in this node's zone and in other zones, in addition to the recently freed ones.
# LOCAL_SAMPLE_SIZE is also the number of eligible endpoints of a key that are always scored.
LOCAL_SAMPLE_SIZE, REMOTE_SAMPLE_SIZE = 4, 2


class EndpointSelector:
    """Draws candidates for a job and selects the best of those that are eligible."""

    def __init__(
        self,
        settings: Settings,
        statistics: NodeStatistics,
        endpoints: KnownEndpoints,
        slow_start: SlowStart,
        recently_freed: RecentlyFreed,
        affinity: AffinitySelector,
        eligibility: EndpointEligibility,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._statistics = statistics
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._recently_freed = recently_freed
        self._affinity = affinity
        self._eligibility = eligibility
        self._rng = rng
        self._assigned: list[Endpoint] = []  # from `SlowStart.assigned_endpoints`; candidates for every job

    def start_round(self, now: float) -> None:
        """Update the outliers, the reservations and the assigned endpoints for a new round."""
        self._eligibility.start_round()
        self._assigned = self._slow_start.assigned_endpoints(now)

    def select(self, job: ScheduledJob, state: RoundState, now: float) -> ScoredEndpoint | None:
        """Return the best endpoint for a job; None if the job has to wait."""
        kind = job.job_class.required_kind
        orders = self._endpoints.candidates(kind).affinity
        affinity = self._affinity.select(orders, job.key, job.key_fraction, now)
        scorer = EndpointScorer(self._statistics, self._slow_start, self._settings, job, state, now)
        candidates = [*(affinity.usable or self._draw_candidates(kind)), *self._assigned]
        best: ScoredEndpoint | None = None
        for count, endpoint in enumerate(self._eligibility.eligible(job, candidates, now)):
            # Further eligible endpoints of a key are scored only while no earlier one is suitable.
            is_optional = count >= LOCAL_SAMPLE_SIZE and endpoint not in self._assigned
            if affinity.usable and is_optional and best is not None:
                continue
            needs_no_fetch = (
                not affinity.usable or job.key in endpoint.cached_keys or endpoint in affinity.likely_holders
            )
            scored = scorer.score(endpoint, needs_no_fetch=needs_no_fetch)
            if scored is not None and (best is None or scored.loss < best.loss):
                best = scored
        if best is None:
            self._eligibility.reserve(job, candidates, now)
        return best

    def _draw_candidates(self, kind: str | None) -> list[Endpoint]:
        """Return a few endpoints of this kind: recently freed ones, and a random sample drawn by weight."""
        sample = self._endpoints.candidates(kind).sample(self._rng, LOCAL_SAMPLE_SIZE, REMOTE_SAMPLE_SIZE)
        return [*self._recently_freed, *sample]
