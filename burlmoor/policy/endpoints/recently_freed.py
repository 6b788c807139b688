"""The endpoints where a slot was free a moment ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.policy.model.endpoint import Endpoint


class RecentlyFreed:
    """A few endpoints that showed a free slot last: the best that a node can know of free capacity."""

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._endpoints: dict[Endpoint, None] = {}  # the latest last

    def __iter__(self) -> Iterator[Endpoint]:
        """Iterate from the longest ago to the latest."""
        return iter(self._endpoints)

    def add(self, endpoint: Endpoint) -> None:
        """Note that a slot is, or was a moment ago, free there."""
        self._endpoints.pop(endpoint, None)
        self._endpoints[endpoint] = None
        if len(self._endpoints) > self._max_size:
            del self._endpoints[next(iter(self._endpoints))]

    def discard(self, endpoint: Endpoint) -> None:
        """Note that the slot is taken, or was none."""
        self._endpoints.pop(endpoint, None)
