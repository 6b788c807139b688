"""Endpoint selection: a job goes to the best of a few endpoints, if one is likely to finish it in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.endpoint_eligibility import EndpointEligibility
from burlmoor.policy.endpoint_scoring import EndpointScorer, RoundState, Selection
from burlmoor.policy.endpoints.endpoint_list import LOCAL_SAMPLE

if TYPE_CHECKING:
    from burlmoor.policy.context import PolicyContext
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob


class EndpointSelector:
    """Draws candidates for a job and selects the best of those that are eligible."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._eligibility = EndpointEligibility(context)
        self._assigned: list[Endpoint] = []  # warming endpoints that this node looks at for each job

    def start_round(self, now: float) -> None:
        """Take in what has changed since the round before."""
        self._eligibility.start_round()
        self._assigned = self._context.endpoints.slow_start.assigned_endpoints(now)

    def select(self, job: ScheduledJob, state: RoundState, now: float) -> Selection | None:
        """Return the best endpoint for a job; None where it has to wait."""
        endpoints = self._context.endpoints
        kind = job.job_class.required_kind
        affinity = endpoints.affinity.select(endpoints.candidates(kind).affinity, job.key, job.key_share, now)
        scorer = EndpointScorer(self._context, job, state, now)
        drawn = [*(affinity.usable or endpoints.draw(kind)), *self._assigned]
        best: Selection | None = None
        for looked_at, endpoint in enumerate(self._eligibility.eligible(job, drawn, now)):
            is_optional = looked_at >= LOCAL_SAMPLE and endpoint not in self._assigned
            if affinity.usable and is_optional and best is not None:
                continue
            is_key_cached = (
                not affinity.usable or job.key in endpoint.cached_keys or endpoint in affinity.with_key
            )
            selection = scorer.score(endpoint, is_key_cached)
            if selection is not None and (best is None or selection.loss < best.loss):
                best = selection
        if best is None:
            self._eligibility.reserve(job, drawn, now)
        return best
