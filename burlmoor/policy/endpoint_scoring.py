"""Scores an endpoint for a job by its on-time probability, adjusted by penalties and preferences.

On a saturated fleet a job also has to reach a minimum yield there;
`burlmoor.policy.statistics.endpoint_statistics` defines the yields of jobs and endpoints.
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
# Only exploratory jobs are sent where the on-time probability is below one of these minimums; the second one
# is relative to the on-time probability at the fastest kind of endpoint.
MIN_ON_TIME_PROBABILITY = 0.2
MIN_RELATIVE_PROBABILITY = 0.5
MIN_YIELD_FRACTION = 0.6  # minimum yield on a fully saturated fleet, relative to the endpoint's mean yield
PREFERENCE_WEIGHT = 0.05  # of each preference in the loss, where the on-time probability has weight 1
# Weight in the loss of the fraction of the run that is spent on fetching a key: the fetch holds a slot for
# which other jobs wait.
FETCH_WEIGHT = 2.0
MAX_SPEED = 2.0  # ms of work per ms; a higher speed does not lower the loss further
MIN_REMAINING_MS = 1e-3
NOMINAL_FASTEST_SLOWNESS = 1.0  # assumed while no kind of endpoint has been used


@dataclass(frozen=True, slots=True)
class RoundState:
    """The state of the fleet that all placements of one dispatch round share."""

    load_half_life: float  # ms; half-life of recent start delays
    saturation: float  # from 0 (idle) to 1 (full)
    is_mostly_urgent: bool  # whether most jobs of the round are urgent


@dataclass(slots=True)
class ScoredEndpoint:
    """An endpoint for a job, its loss, and the job's expected time and yield there."""

    endpoint: Endpoint
    loss: float  # lower is better
    expects_cache_miss: bool  # see `ScheduledAttempt`
    expected_ms: float
    expected_yield: float  # effective weight per ms of run time


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
        self._endpoint_statistics = statistics.endpoints
        self._on_time_probability = statistics.estimate_errors.on_time_probability
        self._slow_start = slow_start
        self._now = now
        self._remaining_ms = max(job.useful_until - now, MIN_REMAINING_MS)
        self._work_bucket = runs.work_bucket(job.work_ms, now)
        self._cache_miss_ms = runs.cache_miss_penalty(now) if job.key else 0.0
        self._min_probability = self._compute_min_probability()
        # The price of crossing zones counts less for a job of high weight.
        mean_weight = statistics.demand.mean_weight.read(now, EVIDENCE_HALF_LIFE_MS, job.effective_weight)
        self._cross_zone_loss = settings.penalties.cross_zone * (mean_weight / job.effective_weight)
        # Urgent jobs prefer fast endpoints and other jobs slow ones, which keeps fast endpoints available for
        # urgent jobs. Among otherwise equal endpoints, an urgent job takes the one with the least free
        # capacity; other jobs, and all jobs of a round that is mostly urgent, take the one with the most.
        self._speed_preference = 1.0 if job.is_urgent else -1.0
        prefers_free = state.is_mostly_urgent or not job.is_urgent
        self._free_capacity_preference = 1.0 if prefers_free else -1.0

    def _compute_min_probability(self) -> float:
        job, now = self._job, self._now
        fastest = self._runs.slowness_of_fastest_kind(now, NOMINAL_FASTEST_SLOWNESS)
        fastest_ms = ESTIMATE_MARGIN * fastest * job.work_ms
        best = self._on_time_probability(job.job_class.name, fastest_ms, self._remaining_ms, now)
        return max(MIN_ON_TIME_PROBABILITY, MIN_RELATIVE_PROBABILITY * best)

    def score(self, endpoint: Endpoint, *, needs_no_fetch: bool) -> ScoredEndpoint | None:
        """Return the endpoint with its loss and the job's expected time and yield; None if unsuitable."""
        job, runs, now = self._job, self._runs, self._now
        capacity_fraction = self._slow_start.capacity_fraction(endpoint, now)
        fetch_ms = 0.0 if needs_no_fetch else self._cache_miss_ms
        kind_slowness = runs.slowness_of_kind(endpoint.kind, now)
        slowness = runs.slowness(endpoint, self._work_bucket, kind_slowness, now)
        slowdown = (
            1.0
            if capacity_fraction >= 1.0
            else self._slow_start.slowdown(endpoint, job.slots, capacity_fraction)
        )
        run_ms = job.work_ms * slowness * slowdown + fetch_ms
        expected_ms = self._start_delays.expected_delay(endpoint, now, self._state.load_half_life) + run_ms
        probability = self._on_time_probability(
            job.job_class.name, ESTIMATE_MARGIN * expected_ms, self._remaining_ms, now
        )
        expected_yield = probability * job.effective_weight / run_ms
        is_below_minimum = probability < self._min_probability or self._is_below_minimum_yield(
            endpoint, expected_yield
        )
        if capacity_fraction < 1.0 and not self._slow_start.has_credit(endpoint, job.cost, now):
            return None
        if is_below_minimum and not job.is_exploratory:
            return None
        loss = 1.0 - self._endpoint_statistics.clean_rate(endpoint, now) * probability
        if fetch_ms > 0.0:
            loss += PREFERENCE_WEIGHT + FETCH_WEIGHT * fetch_ms / run_ms
        if endpoint.zone != self._zone:
            loss += self._cross_zone_loss
        speed_term = self._speed_preference * min(MAX_SPEED, job.work_ms / run_ms)
        free_capacity_term = self._free_capacity_preference * (
            1.0 - endpoint.slots_in_flight / endpoint.capacity
        )
        loss -= PREFERENCE_WEIGHT * (speed_term + free_capacity_term)
        return ScoredEndpoint(endpoint, loss, fetch_ms > 0.0, expected_ms, expected_yield)

    def _is_below_minimum_yield(self, endpoint: Endpoint, expected_yield: float) -> bool:
        """Return whether other jobs yield so much more there that this job should leave the slot to them."""
        min_fraction = MIN_YIELD_FRACTION * self._state.saturation
        return expected_yield < min_fraction * self._endpoint_statistics.mean_yield(endpoint, self._now)
