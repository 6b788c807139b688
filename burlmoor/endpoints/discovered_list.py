"""The endpoint list in the discovery service's form."""

from __future__ import annotations

import msgspec


class DiscoveredEndpoint(msgspec.Struct):
    """One endpoint as the discovery service lists it."""

    name: str = msgspec.field(name="host")
    address: str = msgspec.field(name="dial", default="")
    zone: str = msgspec.field(name="site", default="")
    kind: str = msgspec.field(name="class", default="")
    cell: int = msgspec.field(name="block", default=0)
    health: str = "left"
    weight: float = msgspec.field(name="share", default=1.0)
    started_unix_ms: float = msgspec.field(name="born_ms", default=0.0)


class DiscoveredList(msgspec.Struct):
    """A list in discovery's form."""

    version: int = msgspec.field(name="seq")
    is_complete: bool = msgspec.field(name="whole", default=True)
    endpoints: list[DiscoveredEndpoint] = msgspec.field(name="hosts", default=[])
