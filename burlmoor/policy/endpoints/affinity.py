"""Key affinity: selects the endpoints for the jobs of a key by weighted rendezvous hashing."""

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

MAX_CACHED_ORDERS = 1000  # one per key
MIN_AFFINITY_ENDPOINTS = 4  # per key; few, since each additional endpoint has to fetch the key's data
AFFINITY_HEADROOM = 1.5  # applied to the number of endpoints that a key's jobs need
_HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash, which spreads similar values apart
_HASH_RANGE = 2**32


class AffinityOrders:
    """The endpoints in each key's order of preference, the same at all nodes with the same endpoint list."""

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        self._orders: dict[str, list[Endpoint]] = {}

    def order_of(self, key: str) -> list[Endpoint]:
        """Return the endpoints by the key's preference, the first choice first; none for the empty key.

        The order covers all zones. With an order per zone, every zone would fetch every key from the key
        store, whose capacity is limited.
        """
        if not key:
            return []
        if key not in self._orders:
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            self._orders[key] = self._compute_order(key)
        return self._orders[key]

    def _compute_order(self, key: str) -> list[Endpoint]:
        key_hash = crc32(key.encode())

        def score(endpoint: Endpoint) -> float:
            """Return the endpoint's score; the lowest is preferred.

            Dividing by the weight gives endpoints keys by weight, which they keep when others leave.
            """
            mixed = (key_hash ^ endpoint.name_hash) * _HASH_MULTIPLIER % _HASH_RANGE
            return mixed / endpoint.weight

        return sorted(self._endpoints, key=score)


class AffinitySet(NamedTuple):
    """The endpoints selected for the jobs of one key; both lists are empty for jobs without a key."""

    usable: list[Endpoint]
    likely_holders: list[Endpoint]  # those that have probably fetched the key for jobs of other nodes


class AffinitySelector:
    """Selects the endpoints that may run the jobs of a key."""

    def __init__(self, slow_start: SlowStart, outliers: OutlierDetector, rng: random.Random) -> None:
        self._slow_start = slow_start
        self._outliers = outliers
        self._rng = rng

    def select(self, orders: AffinityOrders, key: str, key_fraction: float, now: float) -> AffinitySet:
        """Return the endpoints for a key that has this fraction of all keyed jobs.

        An ejected endpoint is replaced by the next one in the key's order. A key with many jobs gets more
        endpoints. Endpoints in slow start have little capacity, so they are included but not counted;
        otherwise jobs would be rejected while other endpoints are free.
        """
        if not key:
            return AffinitySet([], [])
        order = self._outliers.without_ejected(orders.order_of(key), now)
        needed_endpoints = key_fraction * len(order)
        count = max(MIN_AFFINITY_ENDPOINTS, math.ceil(AFFINITY_HEADROOM * needed_endpoints))
        capacity_fraction = self._slow_start.capacity_fraction
        slow_start_count = sum(capacity_fraction(endpoint, now) < 1.0 for endpoint in order[:count])
        usable = order[: count + slow_start_count]
        likely_holders = usable[: max(1, math.ceil(needed_endpoints))]
        if count > MIN_AFFINITY_ENDPOINTS:
            self._rng.shuffle(usable)  # otherwise, all nodes would send to the first ones
        return AffinitySet(usable, likely_holders)
