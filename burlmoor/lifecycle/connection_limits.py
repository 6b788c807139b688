"""Divides a node's connection limit between directions and, during a handover, between two processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burlmoor.downstream.connection_set import ConnectionSet
    from burlmoor.upstream.pool import ConnectionPool

# File descriptors for everything except connections to clients and executors: 12 admin connections, 4 to
# discovery and about a dozen of the process itself. At most half of the available descriptors are reserved.
_RESERVED_DESCRIPTORS = 64
_MIN_DESCRIPTORS = 64
_UPSTREAM_FRACTION = 0.3  # of the unreserved descriptors; an attempt holds a connection only until its 202
_MIN_CONNECTIONS = 8  # per direction; the lowest limit that `reserve` sets


class ConnectionLimits(NamedTuple):
    """The maximum number of connections that a node may have open in each direction."""

    downstream: int
    upstream: int


def divide_descriptors(max_descriptors: int) -> ConnectionLimits:
    """Reserve descriptors for internal use, and divide the rest between the two directions.

    A maximum below `_MIN_DESCRIPTORS` is treated as `_MIN_DESCRIPTORS`.
    """
    available = max(_MIN_DESCRIPTORS, max_descriptors)
    available -= min(_RESERVED_DESCRIPTORS, available // 2)
    upstream = int(available * _UPSTREAM_FRACTION)
    return ConnectionLimits(available - upstream, upstream)


class SharedConnectionLimits:
    """Sets this process's limits so that both processes of a node together stay within the node's limits.

    `reserve` leaves this process at least `_MIN_CONNECTIONS` per direction, by which the sum may exceed them.
    """

    def __init__(self, connections: ConnectionSet, pool: ConnectionPool) -> None:
        self._connections = connections
        self._pool = pool
        self._node_limits = ConnectionLimits(connections.max_connections, pool.max_connections)

    def reserve(self, downstream: int, upstream: int) -> None:
        """Lower the limits by the numbers of connections that the other process has open."""
        self._connections.set_max_connections(
            max(_MIN_CONNECTIONS, self._node_limits.downstream - downstream)
        )
        self._pool.set_max_connections(max(_MIN_CONNECTIONS, self._node_limits.upstream - upstream))

    def freeze_upstream(self) -> None:
        """Limit connections to executors to the number open now; the other process may use the rest."""
        self._pool.set_max_connections(self._pool.open_count)

    def restore(self) -> None:
        """Apply the node's full limits to this process."""
        self._connections.set_max_connections(self._node_limits.downstream)
        self._pool.set_max_connections(self._node_limits.upstream)
