"""The endpoint list in the JSON format of the discovery service; `name=` gives each key on the wire."""

from __future__ import annotations

import msgspec

from burlmoor.types.endpoint_list import EndpointState

_STATE_OF_HEALTH = {
    "active": EndpointState.LIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
_HEALTH_OF_STATE = {state: health for health, state in _STATE_OF_HEALTH.items()}


class DiscoveredEndpoint(msgspec.Struct):
    """One endpoint as the discovery service lists it."""

    name: str = msgspec.field(name="host")
    address: str = msgspec.field(name="dial", default="")  # `host:port`; empty: as in the last entry
    zone: str = msgspec.field(name="site", default="")
    kind: str = msgspec.field(name="class", default="")
    cell: int = msgspec.field(name="block", default=0)
    health: str = "left"  # `active`, `leaving` or `left`; any other value counts as `left`
    weight: float = msgspec.field(name="share", default=1.0)
    started_unix_ms: float = msgspec.field(name="born_ms", default=0.0)

    @property
    def state(self) -> EndpointState:
        """The state that corresponds to `health`."""
        return _STATE_OF_HEALTH.get(self.health, EndpointState.GONE)

    def with_state(self, state: EndpointState) -> DiscoveredEndpoint:
        """Return a copy of the entry with another state."""
        return msgspec.structs.replace(self, health=_HEALTH_OF_STATE[state])


class DiscoveredList(msgspec.Struct):
    """A list sent by the discovery service: all endpoints, or those changed since an earlier version."""

    version: int = msgspec.field(name="seq")
    is_complete: bool = msgspec.field(name="whole", default=True)  # False: only the changed entries
    endpoints: list[DiscoveredEndpoint] = msgspec.field(name="hosts", default=[])
