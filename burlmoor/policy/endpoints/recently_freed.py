"""The endpoints that most recently started a job promptly or served one: they probably have a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.policy.model.endpoint import Endpoint


class RecentlyFreed:
    """A bounded set of the endpoints that are likely to have a free slot, by their most recent reports."""

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._endpoints: dict[Endpoint, None] = {}  # the most recent last

    def __iter__(self) -> Iterator[Endpoint]:
        """Iterate from the least recent to the most recent."""
        return iter(self._endpoints)

    def add(self, endpoint: Endpoint) -> None:
        """Record that the endpoint is likely to have a free slot."""
        self._endpoints.pop(endpoint, None)
        self._endpoints[endpoint] = None
        if len(self._endpoints) > self._max_size:
            del self._endpoints[next(iter(self._endpoints))]

    def discard(self, endpoint: Endpoint) -> None:
        """Record that the endpoint may have no free slot."""
        self._endpoints.pop(endpoint, None)
