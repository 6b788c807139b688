"""Affinity: the endpoints that get the jobs of a key, by rendezvous hashing (highest random weight)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from burlmoor.policy.endpoints.outlier_detection import OutlierDetector
    from burlmoor.policy.endpoints.slow_start import SlowStart
    from burlmoor.policy.model.endpoint import Endpoint

MAX_KEYS = 1000  # with a cached order
MIN_AFFINITY_ENDPOINTS = 4  # for a key's jobs; few, since each further endpoint has to fetch the key
AFFINITY_HEADROOM = 1.5  # factor of the number of endpoints that a key's jobs fill
_HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash: spreads bits that differ little
_HASH_RANGE = 2**32


class AffinityOrders:
    """For each key, the endpoints in an order that all nodes with the same list share."""

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        self._orders: dict[str, list[Endpoint]] = {}

    def order_of(self, key: str) -> list[Endpoint]:
        """Return the endpoints in the key's order, the preferred one first; none for the empty key.

        The order is over all zones: with an order for each zone, every zone would fetch every key, and the
        store that keys come from has a limited capacity.
        """
        if not key:
            return []
        if key not in self._orders:
            if len(self._orders) >= MAX_KEYS:
                self._orders.clear()
            self._orders[key] = self._compute_order(key)
        return self._orders[key]

    def _compute_order(self, key: str) -> list[Endpoint]:
        key_hash = crc32(key.encode())

        def score(endpoint: Endpoint) -> float:
            """Divide by the weight, so that endpoints get keys by weight and keep them when others leave."""
            mixed = (key_hash ^ endpoint.name_hash) * _HASH_MULTIPLIER % _HASH_RANGE
            return mixed / endpoint.weight

        return sorted(self._endpoints, key=score)


class AffinitySet(NamedTuple):
    """The endpoints for the jobs of one key; both lists are empty for jobs without a key."""

    usable: list[Endpoint]
    with_key: list[Endpoint]  # endpoints that are expected to have fetched the key for jobs of other nodes


class AffinitySelector:
    """Selects the endpoints that may get the jobs of a key."""

    def __init__(self, slow_start: SlowStart, outliers: OutlierDetector, rng: random.Random) -> None:
        self._slow_start = slow_start
        self._outliers = outliers
        self._rng = rng

    def select(self, orders: AffinityOrders, key: str, key_fraction: float, now: float) -> AffinitySet:
        """Return the endpoints for a key that this fraction of all jobs with a key has.

        An ejected endpoint is replaced by the next one in the key's order. A key with many jobs gets more
        endpoints. Endpoints in slow start have little capacity and are not counted: otherwise jobs would be
        rejected while endpoints are free.
        """
        if not key:
            return AffinitySet([], [])
        order = self._outliers.without_ejected(orders.order_of(key), now)
        filled = key_fraction * len(order)
        count = max(MIN_AFFINITY_ENDPOINTS, math.ceil(AFFINITY_HEADROOM * filled))
        capacity_fraction = self._slow_start.capacity_fraction
        warming = sum(capacity_fraction(endpoint, now) < 1.0 for endpoint in order[:count])
        usable = order[: count + warming]
        with_key = usable[: max(1, math.ceil(filled))]
        if count > MIN_AFFINITY_ENDPOINTS:
            self._rng.shuffle(usable)  # without this, all nodes would send to the first ones
        return AffinitySet(usable, with_key)
