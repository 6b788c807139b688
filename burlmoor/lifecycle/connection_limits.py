"""How a node's limits on connections are divided: by direction, and between its two processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burlmoor.downstream.connection_set import ConnectionSet
    from burlmoor.upstream.pool import ConnectionPool

# Descriptors for what is neither a client's nor an executor's connection: operators' 12 calls, discovery's 4,
# and a dozen that the process has open; never more than half.
_RESERVED_SOCKETS = 64
_MIN_SOCKETS = 64
_UPSTREAM_FRACTION = 0.3  # of the rest: an attempt holds a connection only until its 202
_MIN_CONNECTIONS = 8  # in each direction, that a process may always have during a handover


class SocketBudget(NamedTuple):
    """How many connections a node may have open in each direction."""

    downstream: int
    upstream: int


def divide_sockets(max_sockets: int) -> SocketBudget:
    """Divide the descriptors that the node may use between the two directions."""
    available = max(_MIN_SOCKETS, max_sockets)
    available -= min(_RESERVED_SOCKETS, available // 2)
    upstream = int(available * _UPSTREAM_FRACTION)
    return SocketBudget(available - upstream, upstream)


class SharedConnectionLimits:
    """Sets the limits of this process so that both processes of the node stay within the node's."""

    def __init__(self, connections: ConnectionSet, pool: ConnectionPool) -> None:
        self._connections = connections
        self._pool = pool
        self._node_limits = SocketBudget(connections.max_connections, pool.max_connections)

    def reserve(self, downstream: int, upstream: int) -> None:
        """Subtract the connections that the other process has open."""
        self._connections.set_max_connections(
            max(_MIN_CONNECTIONS, self._node_limits.downstream - downstream)
        )
        self._pool.set_max_connections(max(_MIN_CONNECTIONS, self._node_limits.upstream - upstream))

    def freeze_upstream(self) -> None:
        """Open no more connections to executors than there are: the rest is for the other process."""
        self._pool.set_max_connections(self._pool.open_count)

    def restore(self) -> None:
        """Use all of the node's limits in this process."""
        self._connections.set_max_connections(self._node_limits.downstream)
        self._pool.set_max_connections(self._node_limits.upstream)
