"""The endpoints that the policy knows, with their statistics.

The engine's events update them. `burlmoor.endpoints.directory` owns the endpoint list itself, its version and
the overrides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.policy.endpoints.candidates import Candidates
from burlmoor.policy.model.endpoint import MIN_WEIGHT, Endpoint, hash_name
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind

if TYPE_CHECKING:
    from burlmoor.policy.endpoints.slow_start import SlowStart
    from burlmoor.types.events import EndpointListUpdate


class KnownEndpoints:
    """The endpoints that are listed as live or draining, and the candidates for each kind."""

    def __init__(self, zone: str, slow_start: SlowStart) -> None:
        self._zone = zone
        self._slow_start = slow_start
        self.by_name: dict[str, Endpoint] = {}
        self.live: list[Endpoint] = []
        self.live_weight = 0.0
        self._candidates: dict[str | None, Candidates] = {}

    def update(self, event: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list.

        Endpoints that are not listed as live get no new attempts. A known endpoint keeps its zone, kind and
        cell until it restarts.
        """
        if event.kind is not ListKind.DELTA:
            listed = {entry.endpoint for entry in event.entries}
            for name in [name for name in self.by_name if name not in listed]:
                self.by_name.pop(name).is_live = False
        for entry in event.entries:
            self._update_endpoint(entry)
        self._candidates.clear()
        self.live = [endpoint for endpoint in self.by_name.values() if endpoint.is_live]
        self.live_weight = sum(endpoint.weight for endpoint in self.live)
        self._slow_start.set_live_endpoints(self.live)

    def _update_endpoint(self, entry: EndpointEntry) -> None:
        known = self.by_name.get(entry.endpoint)
        if known is not None:
            known.is_live = entry.state is EndpointState.LIVE
            known.weight = max(entry.weight, MIN_WEIGHT)
            if entry.started_at == known.entry.started_at and entry.state is not EndpointState.GONE:
                return
            # Gone or restarted. A restarted endpoint has none of this node's jobs, and the old statistics do
            # not apply to it.
            self.by_name.pop(entry.endpoint).is_live = False
        if entry.state is not EndpointState.GONE:
            rank = self._slow_start.rank_of_node(hash_name(entry.endpoint))
            self.by_name[entry.endpoint] = Endpoint(entry, rank)

    def candidates(self, kind: str | None) -> Candidates:
        """Return the live endpoints of this kind, or of any kind if it is None."""
        if kind not in self._candidates:
            usable = (endpoint for endpoint in self.live if kind in (None, endpoint.kind))
            self._candidates[kind] = Candidates(usable, self._zone)
        return self._candidates[kind]
