"""The endpoints that can run jobs that need a given kind, sampled by weight or ordered by key."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

from burlmoor.policy.endpoints.affinity import AffinityOrders

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from burlmoor.policy.model.endpoint import Endpoint


class Candidates:
    """Endpoints of the node's own zone and of other zones, and the affinity order of each key.

    If the own zone has none, the remote endpoints are treated as local.
    """

    def __init__(self, endpoints: Iterable[Endpoint], zone: str) -> None:
        usable = list(endpoints)
        self.local = [endpoint for endpoint in usable if endpoint.zone == zone]
        self.remote = [endpoint for endpoint in usable if endpoint.zone != zone]
        if not self.local:
            self.local = self.remote
            self.remote = []
        self._local_weights = list(accumulate(endpoint.weight for endpoint in self.local))
        self._remote_weights = list(accumulate(endpoint.weight for endpoint in self.remote))
        self.affinity = AffinityOrders(self.local + self.remote)

    def sample(self, rng: random.Random, local_count: int, remote_count: int) -> list[Endpoint]:
        """Draw endpoints at random, with replacement and with probabilities proportional to their weights."""
        local: list[Endpoint] = []
        remote: list[Endpoint] = []
        if self.local:
            local = rng.choices(self.local, cum_weights=self._local_weights, k=local_count)
        if self.remote:
            remote = rng.choices(self.remote, cum_weights=self._remote_weights, k=remote_count)
        return local + remote
