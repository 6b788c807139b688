"""What one node has measured of its endpoints: speed, start delay, clean ends, and what their time earns.

Times are ms. Each figure decays, and falls back from the endpoint to its kind to the whole fleet while there
is little evidence. Nothing is decided here: `burlmoor/policy` reads it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.policy.model.decayed_mean import DecayedMean

if TYPE_CHECKING:
    from burlmoor.policy.model.endpoint import Endpoint

EVIDENCE_HALF_LIFE_MS = 8000.0  # of evidence on speed and clean ends
WORK_CLASSES = 5  # complexity classes of jobs, by hinted work against the mean, in powers of two
MIN_WORK_MS = 1e-3
UNKNOWN_LOG_WEIGHT_RATE = -5.0  # before any job was sent: so low that no job is kept away for it
MIN_WEIGHT_RATE = 1e-9
PRIOR_RUN_MS = 500.0
PRIOR_FASTEST_START_MS = 25.0
GRACE_TICKS = 4.0  # how long a start notification may take: so many ticks of the clock
GRACE_FASTEST_STARTS = 3.0  # and so many times the fastest start seen in the zone
FASTEST_START_GROWTH = 1.02  # per start: lets the fastest start follow a network that has become slower
NOT_STARTED_WEIGHT = 0.5  # of evidence from an attempt that has not started yet
MAX_RUN_RATIO = 4.0  # by how much one run may differ from the kind's, either way


class EndpointStatistics:
    """Measured slowness, start delay and clean ends, each falling back endpoint -> kind -> fleet."""

    def __init__(self, tick_ms: float) -> None:
        self._tick_ms = tick_ms
        self.fleet_slowness = DecayedMean()
        self.fleet_clean_rate = DecayedMean()
        self.fleet_weight_rate = DecayedMean()  # logarithm, as by kind and by endpoint
        self.kind_slowness: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.kind_weight_rate: dict[str, DecayedMean] = defaultdict(DecayedMean)
        self.prompt_start_rate = DecayedMean()
        self.typical_start_delay: dict[tuple[str, str], DecayedMean] = defaultdict(DecayedMean)
        self.recent_start_delay: dict[tuple[str, str], DecayedMean] = defaultdict(DecayedMean)
        self.cache_hit_excess = DecayedMean()  # what jobs took beyond their time, key cached or not
        self.cache_miss_excess = DecayedMean()
        self.mean_work = DecayedMean()
        self.mean_run = DecayedMean()
        self.fastest_start_ms: dict[str, float] = {}  # by zone, until an idle endpoint reports a start

    def load_half_life(self, now: float) -> float:
        """Return the half-life of evidence on load: as long as two jobs run."""
        return 2.0 * self.mean_run.read(now, EVIDENCE_HALF_LIFE_MS, PRIOR_RUN_MS)

    def work_class(self, work_ms: float, now: float) -> int:
        """Return the complexity class of a job, by its hinted work against the mean."""
        mean = self.mean_work.read(now, EVIDENCE_HALF_LIFE_MS, work_ms)
        octaves = round(math.log2(max(work_ms, MIN_WORK_MS) / max(mean, MIN_WORK_MS)))
        return max(0, min(WORK_CLASSES - 1, WORK_CLASSES // 2 + octaves))

    def slowness_of_kind(self, kind: str, now: float) -> float:
        """Return the time taken per unit of hinted work on this kind of endpoint."""
        fleet = self.fleet_slowness.read(now, EVIDENCE_HALF_LIFE_MS, 1.0)
        return self.kind_slowness[kind].read(now, EVIDENCE_HALF_LIFE_MS, fleet, 2.0)

    def slowness_of_fastest_kind(self, now: float, unknown: float) -> float:
        """Return the time per unit of hinted work on the fastest kind; `unknown` if no kind was met."""
        return min((self.slowness_of_kind(kind, now) for kind in self.kind_slowness), default=unknown)

    def slowness(self, endpoint: Endpoint, work_class: int, of_kind: float, now: float) -> float:
        """Return the time per unit of hinted work at this endpoint for this complexity class."""
        mean = endpoint.slowness.read(now, EVIDENCE_HALF_LIFE_MS, of_kind, 2.0)
        return endpoint.slowness_by_work_class[work_class].read(now, EVIDENCE_HALF_LIFE_MS, mean, 3.0)

    def expected_start_delay(self, endpoint: Endpoint, now: float, half_life: float) -> float:
        """Return the expected wait at this endpoint, from recent start delays, else those of its kind.

        Of its kind in its zone, too, what was seen recently goes first: one node of many has hardly met this
        endpoint, and a burst is over in seconds.
        """
        zone_and_kind = (endpoint.zone, endpoint.kind)
        typical = self.typical_start_delay[zone_and_kind].read(now, EVIDENCE_HALF_LIFE_MS, 0.0)
        recent = self.recent_start_delay[zone_and_kind].read(now, half_life, typical)
        return endpoint.start_delay.read(now, half_life, recent)

    def clean_rate(self, endpoint: Endpoint, now: float) -> float:
        """Return the share of jobs that end cleanly here, with the fleet's as prior."""
        fleet = self.fleet_clean_rate.read(now, EVIDENCE_HALF_LIFE_MS, 1.0, 4.0)
        return endpoint.clean_rate.read(now, EVIDENCE_HALF_LIFE_MS, fleet, 2.0)

    def cache_miss_penalty(self, now: float) -> float:
        """Return how much longer a job takes where its key is not cached."""
        miss = self.cache_miss_excess.read(now, EVIDENCE_HALF_LIFE_MS, 0.0, 4.0)
        return max(0.0, miss - self.cache_hit_excess.read(now, EVIDENCE_HALF_LIFE_MS, 0.0, 4.0))

    def start_grace(self, zone: str) -> float:
        """Return how long the start notification of an endpoint with a free slot may take."""
        fastest = self.fastest_start_ms.get(zone, PRIOR_FASTEST_START_MS)
        return GRACE_TICKS * self._tick_ms + GRACE_FASTEST_STARTS * fastest

    def weight_rate(self, endpoint: Endpoint, now: float) -> float:
        """Return the priority weight that a slot's ms there earns: the geometric mean over recent jobs.

        A few jobs of many times the usual weight move it little, as they would not a price that most pay.
        """
        fleet = self.fleet_weight_rate.read(now, EVIDENCE_HALF_LIFE_MS, UNKNOWN_LOG_WEIGHT_RATE)
        kind = self.kind_weight_rate[endpoint.kind].read(now, EVIDENCE_HALF_LIFE_MS, fleet, 2.0)
        return math.exp(endpoint.weight_rate.read(now, EVIDENCE_HALF_LIFE_MS, kind, 2.0))

    def record_start_delay(
        self, endpoint: Endpoint, seen_ms: float, now: float, has_started: bool = True
    ) -> None:
        """Count an attempt that started, or is overdue, this long after it was sent."""
        fastest = self.fastest_start_ms.get(endpoint.zone, seen_ms)
        # Near the least seen: time spent in a queue is not the network's.
        self.fastest_start_ms[endpoint.zone] = min(seen_ms, FASTEST_START_GROWTH * fastest)
        half_life = self.load_half_life(now)
        # One that has not started would have waited longer still: no sign of a wait below the expected one.
        least_ms = 0.0 if has_started else self.expected_start_delay(endpoint, now, half_life)
        wait_ms = max(0.0, seen_ms - fastest, least_ms)
        weight = 1.0 if has_started else NOT_STARTED_WEIGHT
        is_prompt = seen_ms <= self.start_grace(endpoint.zone)
        self.prompt_start_rate.add(now, float(is_prompt), EVIDENCE_HALF_LIFE_MS, weight)
        if not is_prompt:
            endpoint.decrease_capacity()
        elif endpoint.slots_in_flight > endpoint.capacity - 1.0:
            endpoint.capacity += 1.0 / endpoint.capacity
        zone_and_kind = (endpoint.zone, endpoint.kind)
        endpoint.start_delay.add(now, wait_ms, half_life, weight)
        self.typical_start_delay[zone_and_kind].add(now, wait_ms, EVIDENCE_HALF_LIFE_MS, weight)
        if has_started:  # one that has not may hang, which is no sign of a burst
            self.recent_start_delay[zone_and_kind].add(now, wait_ms, half_life)

    def record_run(
        self, endpoint: Endpoint, work_ms: float, run_ms: float, now: float, weight: float = 1.0
    ) -> float:
        """Count a job that ran (or by its progress will run) this long; return its slowness for the kind."""
        of_kind = self.slowness_of_kind(endpoint.kind, now)
        # A heavy job is not held against the endpoint that ran it: what one job can say is bounded.
        ratio = run_ms / max(work_ms, MIN_WORK_MS)
        ratio = max(of_kind / MAX_RUN_RATIO, min(MAX_RUN_RATIO * of_kind, ratio))
        # By work, lest what small jobs take beyond their work make every endpoint look slow.
        mean_work = self.mean_work.read(now, EVIDENCE_HALF_LIFE_MS, work_ms)
        weight *= min(1.0, work_ms / max(mean_work, MIN_WORK_MS))
        of_class = endpoint.slowness_by_work_class[self.work_class(work_ms, now)]
        for mean in (of_class, endpoint.slowness, self.kind_slowness[endpoint.kind], self.fleet_slowness):
            mean.add(now, ratio, EVIDENCE_HALF_LIFE_MS, weight)
        self.mean_run.add(now, run_ms, EVIDENCE_HALF_LIFE_MS, weight)
        return ratio / of_kind

    def record_cache_use(
        self, endpoint: Endpoint, work_ms: float, run_ms: float, is_cache_miss: bool, now: float
    ) -> float:
        """Count a run with a key that was cached or not; return the run time less the fetch of the key."""
        of_kind = self.slowness_of_kind(endpoint.kind, now)
        usual_ms = work_ms * self.slowness(endpoint, self.work_class(work_ms, now), of_kind, now)
        excess = self.cache_miss_excess if is_cache_miss else self.cache_hit_excess
        excess.add(now, run_ms - usual_ms, EVIDENCE_HALF_LIFE_MS)
        if not is_cache_miss:
            return run_ms
        return max(0.25 * run_ms, run_ms - self.cache_miss_penalty(now))

    def record_attempt_end(self, endpoint: Endpoint, is_clean: bool, now: float) -> None:
        """Count an attempt that ended cleanly or not."""
        endpoint.clean_rate.add(now, float(is_clean), EVIDENCE_HALF_LIFE_MS)
        self.fleet_clean_rate.add(now, float(is_clean), EVIDENCE_HALF_LIFE_MS)

    def record_overload(self, endpoint: Endpoint, now: float) -> None:
        """Count an attempt that the endpoint refused for want of capacity."""
        half_life = self.load_half_life(now)
        endpoint.start_delay.add(now, half_life, half_life, 2.0)
        endpoint.decrease_capacity()

    def record_weight_rate(self, endpoint: Endpoint, weight_rate: float, now: float) -> None:
        """Count a job sent there that is expected to earn so much priority weight a ms."""
        log_rate = math.log(max(weight_rate, MIN_WEIGHT_RATE))
        for mean in (endpoint.weight_rate, self.kind_weight_rate[endpoint.kind], self.fleet_weight_rate):
            mean.add(now, log_rate, EVIDENCE_HALF_LIFE_MS)
