"""The load that this node's attempts put on the fleet, and the fleet's saturation estimated from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.policy.endpoints.known_endpoints import KnownEndpoints
    from burlmoor.policy.endpoints.recently_freed import RecentlyFreed
    from burlmoor.policy.endpoints.slow_start import SlowStart
    from burlmoor.policy.model.endpoint import Endpoint
    from burlmoor.policy.model.job import ScheduledJob


class FleetLoad:
    """Tracks the slots and memory that this node's attempts use at the endpoints. Times are in ms."""

    def __init__(
        self,
        endpoints: KnownEndpoints,
        slow_start: SlowStart,
        recently_freed: RecentlyFreed,
        node_count: int,
    ) -> None:
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._recently_freed = recently_freed
        self._node_count = node_count
        # Used by this node's attempts, including those at endpoints that are no longer listed.
        self.slots_in_flight = 0.0

    def acquire(self, endpoint: Endpoint, job: ScheduledJob, now: float) -> None:
        """Add the slots and memory of an attempt that is sent to the endpoint."""
        endpoint.slots_in_flight += job.slots
        endpoint.memory_in_flight += job.memory
        self.slots_in_flight += job.slots
        self._slow_start.charge(endpoint, job.cost)
        self._recently_freed.discard(endpoint)
        if job.key:
            endpoint.record_cached_key(job.key, now)

    def release(self, endpoint: Endpoint, job: ScheduledJob) -> None:
        """Subtract the slots and memory of an attempt that has ended."""
        endpoint.slots_in_flight = max(0.0, endpoint.slots_in_flight - job.slots)
        endpoint.memory_in_flight = max(0.0, endpoint.memory_in_flight - job.memory)
        self.slots_in_flight -= job.slots

    def warm_capacity(self, now: float) -> float:
        """Return the total slots of the available endpoints that have completed their slow start."""
        return sum(
            endpoint.capacity
            for endpoint in self._endpoints.by_name.values()
            if endpoint.is_available() and self._slow_start.capacity_fraction(endpoint, now) >= 1.0
        )

    def saturation(self) -> float:
        """Return the estimated saturation of the fleet, from 0 (idle) to 1 (full).

        This is the estimated number of slots in use, divided by twice the capacity that this node has
        measured. The slots in use are this node's, multiplied by the number of nodes: one node of many holds
        few slots even when the fleet is full.
        """
        capacity = sum(endpoint.capacity for endpoint in self._endpoints.live)
        fleet_slots_in_flight = self.slots_in_flight * self._node_count
        return min(1.0, fleet_slots_in_flight / max(1.0, 2.0 * capacity))

    def parallel_slots(self) -> float:
        """Return how many slots serve this node's jobs: the larger of those in flight and its share."""
        return max(1.0, self.slots_in_flight, self._endpoints.live_weight / self._node_count)
