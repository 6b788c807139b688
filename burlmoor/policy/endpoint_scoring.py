"""How good a choice an endpoint is for a job: the chance to be in time, and what speaks against it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from burlmoor.policy.statistics.endpoint_statistics import EVIDENCE_HALF_LIFE_MS

if TYPE_CHECKING:
    from burlmoor.policy.context import PolicyContext
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob

ESTIMATE_MARGIN = 1.16  # what an expected time is multiplied by before it is compared with what remains
MIN_ON_TIME_PROBABILITY = 0.2  # an endpoint where it is less is not used
MIN_RELATIVE_PROBABILITY = 0.5  # nor one where it is less than this part of the fastest kind's
SATURATED_RATE_SHARE = 0.6  # of what an endpoint's time earns a job has to promise, on a saturated fleet
PREFERENCE_WEIGHT = 0.05  # of a preference among endpoints, beside the probability to be in time
# Of the share of a slot's time spent on fetching a key, beside that probability: others wait meanwhile.
FETCH_WEIGHT = 2.0
MAX_SPEED = 2.0  # in work per time, beyond which more speed is no reason to prefer an endpoint


@dataclass(frozen=True, slots=True)
class RoundState:
    """What holds for all placements of one dispatch round."""

    load_half_life: float
    saturation: float  # from 0 to 1: how full the fleet is
    is_mostly_urgent: bool


@dataclass(slots=True)
class Selection:
    """An endpoint for a job, and what is expected of it there."""

    endpoint: Endpoint
    loss: float  # the lower the better
    is_cache_miss: bool
    expected_ms: float
    weight_rate: float  # priority weight that a ms of a slot is expected to earn


class EndpointScorer:
    """Scores endpoints for one job in one round; what is the same for all of them is worked out once."""

    def __init__(self, context: PolicyContext, job: ScheduledJob, state: RoundState, now: float) -> None:
        statistics = context.statistics
        self._job = job
        self._state = state
        self._zone = context.settings.zone
        self._measured = statistics.endpoints
        self._on_time_probability = statistics.estimates.on_time_probability
        self._slow_start = context.endpoints.slow_start
        self._now = now
        self._remaining_ms = max(job.useful_until - now, 1e-3)
        self._work_class = self._measured.work_class(job.work_ms, now)
        self._cache_miss_ms = self._measured.cache_miss_penalty(now) if job.key else 0.0
        fastest = self._measured.slowness_of_fastest_kind(now, 1.0)
        least_ms = ESTIMATE_MARGIN * fastest * job.work_ms
        best = self._on_time_probability(job.job_class.name, least_ms, self._remaining_ms, now)
        self._min_probability = max(MIN_ON_TIME_PROBABILITY, MIN_RELATIVE_PROBABILITY * best)
        mean_weight = statistics.demand.mean_weight.read(now, EVIDENCE_HALF_LIFE_MS, job.weight)
        self._cross_zone_loss = context.settings.prices.cross_zone * (mean_weight / job.weight)
        # Urgent jobs prefer fast endpoints, with free capacity only where most jobs are urgent; others leave
        # the fast ones to them.
        self._speed_preference = 1.0 if job.is_urgent else -1.0
        prefers_free = state.is_mostly_urgent or not job.is_urgent
        self._free_capacity_preference = 1.0 if prefers_free else -1.0

    def score(self, endpoint: Endpoint, is_key_cached: bool) -> Selection | None:
        """Return what to expect of the job there; None where it must not go, or is better not sent."""
        job, measured, now = self._job, self._measured, self._now
        fraction = self._slow_start.capacity_fraction(endpoint, now)
        fetch_ms = 0.0 if is_key_cached else self._cache_miss_ms
        of_kind = measured.slowness_of_kind(endpoint.kind, now)
        slowness = measured.slowness(endpoint, self._work_class, of_kind, now)
        slowdown = 1.0 if fraction >= 1.0 else self._slow_start.slowdown(endpoint, job.slots, fraction)
        run_ms = job.work_ms * slowness * slowdown + fetch_ms
        expected_ms = measured.expected_start_delay(endpoint, now, self._state.load_half_life) + run_ms
        probability = self._on_time_probability(
            job.job_class.name, ESTIMATE_MARGIN * expected_ms, self._remaining_ms, now
        )
        weight_rate = probability * job.weight / run_ms
        is_poor = probability < self._min_probability or self._is_outbid(endpoint, weight_rate)
        if fraction < 1.0 and not self._slow_start.has_credit(endpoint, job.cost, now):
            return None
        if is_poor and not job.is_exploratory:
            return None
        loss = 1.0 - measured.clean_rate(endpoint, now) * probability
        if fetch_ms > 0.0:
            loss += PREFERENCE_WEIGHT + FETCH_WEIGHT * fetch_ms / run_ms
        if endpoint.zone != self._zone:
            loss += self._cross_zone_loss
        speed = self._speed_preference * min(MAX_SPEED, job.work_ms / run_ms)
        free = self._free_capacity_preference * (1.0 - endpoint.slots_in_flight / endpoint.capacity)
        loss -= PREFERENCE_WEIGHT * (speed + free)
        return Selection(endpoint, loss, fetch_ms > 0.0, expected_ms, weight_rate)

    def _is_outbid(self, endpoint: Endpoint, weight_rate: float) -> bool:
        """Return whether the job would take a slot from others that make more of it, on a full fleet."""
        asked = SATURATED_RATE_SHARE * self._state.saturation
        return weight_rate < asked * self._measured.weight_rate(endpoint, self._now)
