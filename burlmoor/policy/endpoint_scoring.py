"""Scores an endpoint for a job by the on-time probability, less penalties.

On a saturated fleet a job also has to reach a minimum yield; the yields of jobs and endpoints are defined in
`burlmoor.policy.statistics.endpoint_statistics`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from burlmoor.policy.statistics.evidence import EVIDENCE_HALF_LIFE_MS

if TYPE_CHECKING:
    from burlmoor.policy.endpoints.slow_start import SlowStart
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.statistics.node_statistics import NodeStatistics
    from burlmoor.types.settings import Settings

ESTIMATE_MARGIN = 1.16  # factor applied to an expected time before it is compared with the remaining time
MIN_ON_TIME_PROBABILITY = 0.2  # below it an endpoint is not used
MIN_RELATIVE_PROBABILITY = 0.5  # of the fastest kind's on-time probability: a minimum as well
MIN_YIELD_FRACTION = 0.6  # of the endpoint's mean yield: the minimum on a saturated fleet
PREFERENCE_WEIGHT = 0.05  # of a preference among endpoints, relative to the on-time probability
FETCH_WEIGHT = 2.0  # of the fraction of the run spent on fetching a key, while other jobs wait
MAX_SPEED = 2.0  # in work per time; more speed is no reason to prefer an endpoint
MIN_REMAINING_MS = 1e-3
NOMINAL_FASTEST_SLOWNESS = 1.0  # assumed while no kind of endpoint has been used


@dataclass(frozen=True, slots=True)
class RoundState:
    """The state of the fleet that all placements of one dispatch round share."""

    load_half_life: float  # of evidence on load, ms
    saturation: float  # from 0 to 1: how full the fleet is
    is_mostly_urgent: bool


@dataclass(slots=True)
class Selection:
    """An endpoint for a job, and the job's expected time and yield there."""

    endpoint: Endpoint
    loss: float  # the lower the better
    is_cache_miss: bool
    expected_ms: float
    expected_yield: float  # priority weight per ms of a slot


class EndpointScorer:
    """Scores endpoints for one job in one round; values that all endpoints share are computed once."""

    def __init__(
        self,
        statistics: NodeStatistics,
        slow_start: SlowStart,
        settings: Settings,
        job: ScheduledJob,
        state: RoundState,
        now: float,
    ) -> None:
        runs = statistics.runs
        self._job = job
        self._state = state
        self._zone = settings.zone
        self._runs = runs
        self._start_delays = statistics.start_delays
        self._measured = statistics.endpoints
        self._on_time_probability = statistics.estimate_errors.on_time_probability
        self._slow_start = slow_start
        self._now = now
        self._remaining_ms = max(job.useful_until - now, MIN_REMAINING_MS)
        self._work_class = runs.work_class(job.work_ms, now)
        self._cache_miss_ms = runs.cache_miss_penalty(now) if job.key else 0.0
        self._min_probability = self._compute_min_probability()
        mean_weight = statistics.demand.mean_weight.read(now, EVIDENCE_HALF_LIFE_MS, job.weight)
        self._cross_zone_loss = settings.prices.cross_zone * (mean_weight / job.weight)
        # Urgent jobs prefer fast endpoints, with free capacity only where most jobs are urgent; others leave
        # the fast ones to them.
        self._speed_preference = 1.0 if job.is_urgent else -1.0
        prefers_free = state.is_mostly_urgent or not job.is_urgent
        self._free_capacity_preference = 1.0 if prefers_free else -1.0

    def _compute_min_probability(self) -> float:
        job, now = self._job, self._now
        fastest = self._runs.slowness_of_fastest_kind(now, NOMINAL_FASTEST_SLOWNESS)
        fastest_ms = ESTIMATE_MARGIN * fastest * job.work_ms
        best = self._on_time_probability(job.job_class.name, fastest_ms, self._remaining_ms, now)
        return max(MIN_ON_TIME_PROBABILITY, MIN_RELATIVE_PROBABILITY * best)

    def score(self, endpoint: Endpoint, *, is_key_cached: bool) -> Selection | None:
        """Return the expected result of sending the job there; None if it may not or should not be sent."""
        job, runs, now = self._job, self._runs, self._now
        fraction = self._slow_start.capacity_fraction(endpoint, now)
        fetch_ms = 0.0 if is_key_cached else self._cache_miss_ms
        of_kind = runs.slowness_of_kind(endpoint.kind, now)
        slowness = runs.slowness(endpoint, self._work_class, of_kind, now)
        slowdown = 1.0 if fraction >= 1.0 else self._slow_start.slowdown(endpoint, job.slots, fraction)
        run_ms = job.work_ms * slowness * slowdown + fetch_ms
        expected_ms = self._start_delays.expected_delay(endpoint, now, self._state.load_half_life) + run_ms
        probability = self._on_time_probability(
            job.job_class.name, ESTIMATE_MARGIN * expected_ms, self._remaining_ms, now
        )
        expected_yield = probability * job.weight / run_ms
        is_poor = probability < self._min_probability or self._is_below_minimum_yield(
            endpoint, expected_yield
        )
        if fraction < 1.0 and not self._slow_start.has_credit(endpoint, job.cost, now):
            return None
        if is_poor and not job.is_exploratory:
            return None
        loss = 1.0 - self._measured.clean_rate(endpoint, now) * probability
        if fetch_ms > 0.0:
            loss += PREFERENCE_WEIGHT + FETCH_WEIGHT * fetch_ms / run_ms
        if endpoint.zone != self._zone:
            loss += self._cross_zone_loss
        speed = self._speed_preference * min(MAX_SPEED, job.work_ms / run_ms)
        free = self._free_capacity_preference * (1.0 - endpoint.slots_in_flight / endpoint.capacity)
        loss -= PREFERENCE_WEIGHT * (speed + free)
        return Selection(endpoint, loss, fetch_ms > 0.0, expected_ms, expected_yield)

    def _is_below_minimum_yield(self, endpoint: Endpoint, expected_yield: float) -> bool:
        """Return whether other jobs yield so much more there that this job should leave the slot to them."""
        fraction = MIN_YIELD_FRACTION * self._state.saturation
        return expected_yield < fraction * self._measured.mean_yield(endpoint, self._now)
