"""One endpoint as a node knows it: its list entry, the node's own load on it, and what was measured."""

from __future__ import annotations

import math
from collections import defaultdict
from zlib import crc32

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState
from burlmoor.types.settings import DeduplicationScope

# Own slots per endpoint before its start times tell more: with fewer, a node that has just started queues.
INITIAL_CAPACITY_SLOTS = 4.0
MIN_WEIGHT = 1e-3  # a listed weight of 0 would divide by zero
CAPACITY_DECREASE = 0.9  # multiplicative decrease of the capacity after a late start or an overload answer


class Endpoint:
    """What one node knows of one endpoint. Times are ms of the node's clock."""

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.id = entry.endpoint
        self.zone = entry.zone
        self.kind = entry.kind
        self.weight = max(entry.weight, MIN_WEIGHT)
        self.name_hash = crc32(entry.endpoint.encode())
        self.is_live = entry.state is EndpointState.LIVE
        self.slots_in_flight = 0.0  # held by this node's own attempts, as is the memory
        self.memory_in_flight = 0.0
        # Own slots that may be in flight: prompt starts raise it, late ones lower it.
        self.capacity = max(INITIAL_CAPACITY_SLOTS, self.weight)
        self.last_reported_at = -math.inf  # when it last reported a start or progress, or served a job
        self.first_sent_at = math.inf  # when this process sent it its first attempt
        self.consecutive_faults = 0
        self.next_probe_at = -math.inf  # when an ejected endpoint may get a job as a probe
        self.overdue_attempts = 0  # own attempts that should have started by now
        self.slowness = DecayedMean()  # time taken per unit of hinted work
        self.slowness_by_work_class: dict[int, DecayedMean] = defaultdict(DecayedMean)
        self.clean_rate = DecayedMean()  # share of attempts that ended without a fault and in time
        self.start_delay = DecayedMean()
        self.weight_rate = DecayedMean()  # logarithm of the priority weight that a slot's ms earns
        self.cached_keys: dict[str, float] = {}  # keys that own jobs had fetched, the latest last; since when
        # While it warms up: this node's rank in the endpoint's order of all nodes, and what the node may
        # still send, in jobs of mean cost.
        self.slow_start_rank = 0
        self.slow_start_credit = 1.0
        self.slow_start_credit_at = 0.0

    def has_reported_since(self, moment: float) -> bool:
        """Return whether it has reported anything to this process since then."""
        return self.last_reported_at >= moment

    def is_silent_since(self, moment: float) -> bool:
        """Return whether it has reported nothing since then, although it had an attempt of this process.

        The first attempts of a new process wait for connections, which says nothing against an endpoint.
        """
        return self.first_sent_at < moment and not self.has_reported_since(moment)

    def is_available(self) -> bool:
        """Return whether it is listed as live and none of this node's attempts waits for its start."""
        return self.is_live and not self.overdue_attempts

    def deduplicates_with(self, other: Endpoint, scope: DeduplicationScope) -> bool:
        """Return whether each of the two drops repeats of what the other has run."""
        if scope is DeduplicationScope.ALL:
            return True
        if self.zone != other.zone:  # cells are numbered within their zone
            return False
        return scope is DeduplicationScope.ZONE or self.entry.cell == other.entry.cell

    def has_capacity(self, slots: float, memory: float) -> bool:
        """Return whether a job fits; one that no endpoint could ever hold fits an empty one."""
        if self.slots_in_flight <= 0.0:
            return True
        return (
            self.slots_in_flight + slots <= self.capacity and self.memory_in_flight + memory <= self.capacity
        )

    def decrease_capacity(self) -> None:
        """Lower the capacity: the endpoint has shown that it is loaded."""
        self.capacity = max(1.0, CAPACITY_DECREASE * self.capacity)

    def record_cached_key(self, key: str, now: float) -> None:
        """Note that a job with this key was sent; an endpoint keeps about one data set for each slot."""
        self.cached_keys.pop(key, None)
        self.cached_keys[key] = now
        if len(self.cached_keys) > max(2.0, self.capacity):
            del self.cached_keys[next(iter(self.cached_keys))]
