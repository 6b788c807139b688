"""The endpoint list as the policy uses it: who is live, and what this node has in flight there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.endpoints.affinity import AffinitySelector
from burlmoor.policy.endpoints.candidates import Candidates
from burlmoor.policy.endpoints.outlier_detection import OutlierDetector
from burlmoor.policy.endpoints.recently_freed import RecentlyFreed
from burlmoor.policy.endpoints.slow_start import SlowStart
from burlmoor.policy.model.endpoint import MIN_WEIGHT, Endpoint
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind

if TYPE_CHECKING:
    import random

    from burlmoor.policy.model.job import ScheduledJob
    from burlmoor.policy.statistics.node_statistics import NodeStatistics
    from burlmoor.types.events import EndpointListUpdate
    from burlmoor.types.settings import Settings

POLL_STEP = 0.1  # of the poll interval: the first backoff
MAX_BACKOFF_DOUBLINGS = 3
LOCAL_SAMPLE, REMOTE_SAMPLE = 4, 2  # endpoints drawn for a job, beside the recently freed ones
FIRST_POLL_SPREAD = 4.0  # steps over which the nodes' polls are spread


class EndpointList:
    """The endpoints that discovery lists, the backoff of its polls, and the node's load on the fleet."""

    def __init__(self, settings: Settings, statistics: NodeStatistics, rng: random.Random) -> None:
        self._poll_interval_ms = settings.rules.poll_interval_ms
        self._node_count = settings.node_count
        self._zone = settings.zone
        self._rng = rng
        self.slow_start = SlowStart(settings, statistics, rng)
        self.outliers = OutlierDetector()
        self.recently_freed = RecentlyFreed(LOCAL_SAMPLE)
        self.by_name: dict[str, Endpoint] = {}
        self.live: list[Endpoint] = []
        self.live_weight = 0.0
        self.affinity = AffinitySelector(self.slow_start, self.outliers, rng)
        self.slots_in_flight = 0.0  # that own attempts hold, also at endpoints that are no longer listed
        self._failed_polls = 0
        self._candidates: dict[str | None, Candidates] = {}

    def update(self, event: EndpointListUpdate) -> None:
        """Take in a list. Rule 3 is kept at once: what is not listed as live gets nothing new."""
        self._failed_polls = 0
        if event.kind is not ListKind.DELTA:
            listed = {entry.endpoint for entry in event.entries}
            for name in [name for name in self.by_name if name not in listed]:
                self.by_name.pop(name).is_live = False
        for entry in event.entries:
            self._update_endpoint(entry)
        self._candidates.clear()
        self.live = [endpoint for endpoint in self.by_name.values() if endpoint.is_live]
        self.live_weight = sum(endpoint.weight for endpoint in self.live)
        self.slow_start.set_live_endpoints(self.live)

    def _update_endpoint(self, entry: EndpointEntry) -> None:
        known = self.by_name.get(entry.endpoint)
        if known is not None:
            known.is_live = entry.state is EndpointState.LIVE
            known.weight = max(entry.weight, MIN_WEIGHT)
            if entry.started_at == known.entry.started_at and entry.state is not EndpointState.GONE:
                return
            # A restarted process holds nothing of ours: what was measured of the old one is void.
            self.by_name.pop(entry.endpoint).is_live = False
        if entry.state is not EndpointState.GONE:
            endpoint = Endpoint(entry)
            endpoint.slow_start_rank = self.slow_start.rank_of_node(endpoint)
            self.by_name[entry.endpoint] = endpoint

    def candidates(self, kind: str | None) -> Candidates:
        """Return the live endpoints for jobs that need this kind (None: any)."""
        if kind not in self._candidates:
            usable = (endpoint for endpoint in self.live if kind in (None, endpoint.kind))
            self._candidates[kind] = Candidates(usable, self._zone)
        return self._candidates[kind]

    def draw(self, kind: str | None) -> list[Endpoint]:
        """Return a few endpoints of this kind: recently freed ones, and some drawn at random by weight."""
        sample = self.candidates(kind).sample(self._rng, LOCAL_SAMPLE, REMOTE_SAMPLE)
        return [*self.recently_freed, *sample]

    def next_poll_delay_ms(self, has_failed: bool) -> float:
        """Return how long to wait before the next poll: spread over the nodes, longer after each failure."""
        self._failed_polls += has_failed
        doublings = min(max(self._failed_polls - 1, 0), MAX_BACKOFF_DOUBLINGS)
        step_ms = POLL_STEP * self._poll_interval_ms * 2.0**doublings
        if has_failed:
            return step_ms * self._rng.uniform(0.5, 1.5)
        return step_ms * self._rng.uniform(0.0, FIRST_POLL_SPREAD)

    def warm_capacity(self, now: float) -> float:
        """Return the slots that endpoints past their slow start, with no overdue attempt, have."""
        return sum(
            endpoint.capacity
            for endpoint in self.by_name.values()
            if endpoint.is_available() and self.slow_start.capacity_fraction(endpoint, now) >= 1.0
        )

    def saturation(self) -> float:
        """Return what all nodes hold, against twice the capacity that one of them has measured; 1 at most.

        Twice, since of many nodes each alone holds little.
        """
        capacity = sum(endpoint.capacity for endpoint in self.live)
        held = self.slots_in_flight * self._node_count
        return min(1.0, held / max(1.0, 2.0 * capacity))

    def parallel_slots(self) -> float:
        """Return how many slots work for this node's jobs: those in flight, or its share of the fleet."""
        return max(1.0, self.slots_in_flight, self.live_weight / self._node_count)

    def acquire(self, endpoint: Endpoint, job: ScheduledJob, now: float) -> None:
        """Count an attempt that is sent to the endpoint."""
        endpoint.slots_in_flight += job.slots
        endpoint.memory_in_flight += job.memory
        self.slots_in_flight += job.slots
        self.slow_start.charge(endpoint, job.cost)
        self.recently_freed.discard(endpoint)
        if job.key:
            endpoint.record_cached_key(job.key, now)

    def release(self, endpoint: Endpoint, job: ScheduledJob) -> None:
        """Count an attempt that has ended."""
        endpoint.slots_in_flight = max(0.0, endpoint.slots_in_flight - job.slots)
        endpoint.memory_in_flight = max(0.0, endpoint.memory_in_flight - job.memory)
        self.slots_in_flight -= job.slots
