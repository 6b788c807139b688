"""One endpoint as a node knows it: its list entry, the node's own load on it, and its statistics."""

from __future__ import annotations

import math
from collections import defaultdict
from zlib import crc32

from burlmoor.policy.model.decayed_mean import DecayedMean
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState
from burlmoor.types.settings import DeduplicationScope

# The initial estimate of the slots that a node may use at an endpoint, until start delays refine it. With a
# lower one, a node that has just started queues jobs while endpoints are idle.
INITIAL_CAPACITY_SLOTS = 4.0
MIN_WEIGHT = 1e-3  # replaces a listed weight of 0, which would cause a division by zero
CAPACITY_DECREASE = 0.9  # factor applied to the capacity after a late start or an overload response


def hash_name(name: str) -> int:
    """Return a hash of an endpoint's name that is the same at every node."""
    return crc32(name.encode())


class Endpoint:
    """The state and statistics of one endpoint at one node. Times are in ms of the node's clock.

    Each group of fields has one owner, the class named above it. Restoring a statistics snapshot also
    sets the measured fields.
    """

    def __init__(self, entry: EndpointEntry, slow_start_rank: int = 0) -> None:
        # KnownEndpoints
        self.entry = entry  # the first one since the endpoint's start; later ones update only some fields
        self.name = entry.endpoint
        self.zone = entry.zone
        self.kind = entry.kind
        self.weight = max(entry.weight, MIN_WEIGHT)
        self.name_hash = hash_name(entry.endpoint)
        self.is_live = entry.state is EndpointState.LIVE
        # FleetLoad
        self.slots_in_flight = 0.0  # used by this node's own attempts
        self.memory_in_flight = 0.0  # likewise; limited by the capacity, as the slots are
        # The keys of this node's jobs, most recently used last, with the time of the last send.
        self.cached_keys: dict[str, float] = {}
        # RunStatistics
        self.slowness = DecayedMean()  # time taken per unit of hinted work
        self.slowness_by_work_bucket: dict[int, DecayedMean] = defaultdict(DecayedMean)
        # StartDelayStatistics
        self.start_delay = DecayedMean()
        # The slots that this node's attempts may use: a limit adapted to start delays (additive increase,
        # multiplicative decrease), which also serves as the estimate of the slots that the endpoint has.
        self.capacity = max(INITIAL_CAPACITY_SLOTS, self.weight)
        # EndpointStatistics
        self.clean_rate = DecayedMean()  # samples of `EndpointStatistics.record_clean_sample`
        self.log_yield = DecayedMean()  # natural logarithm of the yield of the jobs sent here
        # OutcomeRecorder
        self.last_reported_at = -math.inf  # when it last reported a start or progress, or served a job
        # AttemptSender
        self.first_sent_at = math.inf  # when this process sent the first attempt
        # OutlierDetector
        self.consecutive_faults = 0
        self.next_probe_at = -math.inf  # when an ejected endpoint may be sent a job as a probe
        # ScheduledAttempt
        self.overdue_attempts = 0  # this node's attempts that have not started in time
        # SlowStart
        self.slow_start_rank = slow_start_rank  # this node's rank in the endpoint's order of all nodes
        self.slow_start_credit = 1.0  # jobs of mean cost that this node may still send during slow start
        self.slow_start_credit_at = 0.0

    def has_reported_since(self, moment: float) -> bool:
        """Return whether the endpoint has reported anything to this process since `moment`."""
        return self.last_reported_at >= moment

    def is_silent_since(self, moment: float) -> bool:
        """Return whether the endpoint had an attempt of this process and has reported nothing since `moment`.

        The first attempts of a new process are delayed by connecting, which does not indicate a fault.
        """
        return self.first_sent_at < moment and not self.has_reported_since(moment)

    def is_available(self) -> bool:
        """Return whether the endpoint is listed as live and has no overdue attempt of this node."""
        return self.is_live and not self.overdue_attempts

    def deduplicates_with(self, other: Endpoint, scope: DeduplicationScope) -> bool:
        """Return whether each of the two endpoints drops duplicates of jobs that the other has run."""
        if scope is DeduplicationScope.ALL:
            return True
        if self.zone != other.zone:  # cell numbers are unique only within a zone
            return False
        return scope is DeduplicationScope.ZONE or self.entry.cell == other.entry.cell

    def has_capacity(self, slots: float, memory: float) -> bool:
        """Return whether a job fits; an endpoint that runs no job of this node accepts any job."""
        if self.slots_in_flight <= 0.0:
            return True
        return (
            self.slots_in_flight + slots <= self.capacity and self.memory_in_flight + memory <= self.capacity
        )

    def increase_capacity(self) -> None:
        """Raise the capacity additively, by about one slot per `capacity` prompt starts."""
        self.capacity += 1.0 / self.capacity

    def decrease_capacity(self) -> None:
        """Lower the capacity multiplicatively, after a sign of overload."""
        self.capacity = max(1.0, CAPACITY_DECREASE * self.capacity)

    def record_cached_key(self, key: str, now: float) -> None:
        """Record that a job with this key was sent.

        Only the most recent keys are kept: an endpoint caches about one data set per slot.
        """
        self.cached_keys.pop(key, None)
        self.cached_keys[key] = now
        if len(self.cached_keys) > max(2.0, self.capacity):
            del self.cached_keys[next(iter(self.cached_keys))]
