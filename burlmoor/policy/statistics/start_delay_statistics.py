"""Start-delay statistics: how long jobs wait at endpoints before they start. Times are in ms."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.policy.statistics.evidence import EVIDENCE_HALF_LIFE_MS

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.statistics.run_statistics import RunStatistics

PRIOR_FASTEST_START_MS = 25.0
PRIOR_PROMPT_FRACTION = 1.0
GRACE_TICKS = 4.0  # ticks that a start notification may take
GRACE_FASTEST_STARTS = 3.0  # multiple of the zone's fastest start that is added to them
FASTEST_START_GROWTH = 1.02  # per start, so that the fastest start adapts to a network that has become slower
NOT_STARTED_WEIGHT = 0.5  # of a sample from an attempt that has not started yet
OVERLOAD_WEIGHT = 2.0  # of a sample from an overload response


class StartDelayStatistics:
    """Tracks start delays by endpoint and by zone and kind, and adapts the endpoints' capacity to them."""

    def __init__(self, tick_ms: float, runs: RunStatistics) -> None:
        self._tick_ms = tick_ms
        self._runs = runs
        self.prompt_start_rate = DecayedMean()
        # By zone and kind.
        self.typical_start_delay: dict[tuple[str, str], DecayedMean] = defaultdict(DecayedMean)
        self.recent_start_delay: dict[tuple[str, str], DecayedMean] = defaultdict(DecayedMean)
        self.fastest_start_ms: dict[str, float] = {}  # by zone

    def expected_delay(self, endpoint: Endpoint, now: float, half_life: float) -> float:
        """Return the expected wait at this endpoint, from its recent start delays or those of its kind.

        Recent delays of the kind in the zone take precedence over typical ones, because a burst is over in
        seconds and each of many nodes has rarely used a given endpoint recently.
        """
        zone_and_kind = (endpoint.zone, endpoint.kind)
        typical = self.typical_start_delay[zone_and_kind].read(now, EVIDENCE_HALF_LIFE_MS, 0.0)
        recent = self.recent_start_delay[zone_and_kind].read(now, half_life, typical)
        return endpoint.start_delay.read(now, half_life, recent)

    def start_grace(self, zone: str) -> float:
        """Return how long an endpoint with a free slot may take to report a start."""
        fastest = self.fastest_start_ms.get(zone, PRIOR_FASTEST_START_MS)
        return GRACE_TICKS * self._tick_ms + GRACE_FASTEST_STARTS * fastest

    def prompt_fraction(self, now: float) -> float:
        """Return the fraction of starts within their grace period."""
        return self.prompt_start_rate.read(now, EVIDENCE_HALF_LIFE_MS, PRIOR_PROMPT_FRACTION)

    def record_delay(
        self, endpoint: Endpoint, delay_ms: float, now: float, *, has_started: bool = True
    ) -> None:
        """Record an attempt that started, or had not started yet, `delay_ms` after it was sent."""
        fastest = self.fastest_start_ms.get(endpoint.zone, delay_ms)
        # Stays close to the minimum, since queueing time is not network delay.
        self.fastest_start_ms[endpoint.zone] = min(delay_ms, FASTEST_START_GROWTH * fastest)
        half_life = self._runs.load_half_life(now)
        # A job that has not started yet will wait longer, so its wait is at least the expected one.
        min_wait_ms = 0.0 if has_started else self.expected_delay(endpoint, now, half_life)
        wait_ms = max(0.0, delay_ms - fastest, min_wait_ms)
        weight = 1.0 if has_started else NOT_STARTED_WEIGHT
        is_prompt = delay_ms <= self.start_grace(endpoint.zone)
        self.prompt_start_rate.add(now, float(is_prompt), EVIDENCE_HALF_LIFE_MS, weight)
        if not is_prompt:
            endpoint.decrease_capacity()
        elif endpoint.slots_in_flight > endpoint.capacity - 1.0:
            endpoint.increase_capacity()
        zone_and_kind = (endpoint.zone, endpoint.kind)
        endpoint.start_delay.add(now, wait_ms, half_life, weight)
        self.typical_start_delay[zone_and_kind].add(now, wait_ms, EVIDENCE_HALF_LIFE_MS, weight)
        if has_started:  # an attempt that has not started may hang, which does not indicate a burst
            self.recent_start_delay[zone_and_kind].add(now, wait_ms, half_life)

    def record_overload(self, endpoint: Endpoint, now: float) -> None:
        """Record an attempt rejected as overload, which counts as a wait of one load half-life."""
        half_life = self._runs.load_half_life(now)
        endpoint.start_delay.add(now, half_life, half_life, OVERLOAD_WEIGHT)
        endpoint.decrease_capacity()
