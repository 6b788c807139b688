"""A pool of reusable connections; endpoints and discovery have separate pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.counters import CounterGroup, EventCounters
from burlmoor.invariants import Invariant, InvariantMonitor
from burlmoor.transport.sockets import DESCRIPTORS_EXHAUSTED, connect
from burlmoor.types.reasons import CloseReason
from burlmoor.upstream.connection import PooledConnection
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    RequestIncompleteError,
    ResponseTooLongError,
)

if TYPE_CHECKING:
    from burlmoor.transport.stream import SocketStream
    from burlmoor.upstream.http import Response

_RESPONSE_LIMIT_BYTES = 256 * 1024  # executors send response bodies of at most 64 KiB
# A reused connection that breaks within this time counts as stale: closed by its peer while it was idle.
_STALE_DETECTION_SECONDS = 0.25
# The minimum idle time before a reuse, during which a second response to the last request may still arrive.
REUSE_DELAY_SECONDS = 0.05
_IDLE_LIMIT_RECOVERY_SECONDS = 30.0  # how long the idle limit stays reduced after a stale connection


class ConnectionPool:
    """Owns the idle connections by address, the most recently used last, and counts all open ones.

    A connection is reused only if it has been idle for at least `reuse_delay_seconds` and less than
    `idle_limit_seconds`, or than a shorter time after a reused connection has turned out to be stale.
    """

    def __init__(
        self,
        idle_limit_seconds: float,
        connect_timeout_seconds: float,
        max_connections: int,
        *,
        response_limit_bytes: int = _RESPONSE_LIMIT_BYTES,
        reuse_delay_seconds: float = 0.0,
        invariants: InvariantMonitor | None = None,
        counters: EventCounters | None = None,
    ) -> None:
        self.idle_limit_seconds = idle_limit_seconds
        self._connect_timeout_seconds = connect_timeout_seconds
        self._max_connections = max_connections
        self._response_limit_bytes = response_limit_bytes
        self._reuse_delay_seconds = reuse_delay_seconds
        self._invariants = invariants
        self._counters = counters or EventCounters()
        self._idle: dict[str, list[PooledConnection]] = {}
        self._reduced_idle_limit_seconds = idle_limit_seconds
        self._idle_limit_reduced_until = 0.0
        self.open_count = 0

    @property
    def max_connections(self) -> int:
        """The maximum number of open connections."""
        return self._max_connections

    @property
    def idle_count(self) -> int:
        """The number of open connections that are idle."""
        return sum(map(len, self._idle.values()))

    def set_max_connections(self, max_connections: int) -> None:
        """Change the maximum number of open connections; existing connections stay open."""
        self._max_connections = max_connections

    @property
    def had_recent_stale_connection(self) -> bool:
        """Whether a reused connection has recently turned out to be stale; the idle limit is then reduced."""
        return trio.current_time() < self._idle_limit_reduced_until

    def _current_idle_limit_seconds(self) -> float:
        """Return the idle limit for a reuse now; it is reduced after a stale connection."""
        return (
            self._reduced_idle_limit_seconds if self.had_recent_stale_connection else self.idle_limit_seconds
        )

    def on_connection_broken(self, connection: PooledConnection) -> None:
        """Reduce the idle limit for a while if a reused connection broke right after its reuse.

        Some peers drop idle connections silently and sooner than the settings say. Each request written to
        such a connection would be lost, and may have run.
        """
        now = trio.current_time()
        if connection.is_reused and now < connection.reused_at + _STALE_DETECTION_SECONDS:
            half_idle_seconds = 0.5 * (connection.reused_at - connection.idle_since)
            self._reduced_idle_limit_seconds = min(self._current_idle_limit_seconds(), half_idle_seconds)
            self._idle_limit_reduced_until = now + _IDLE_LIMIT_RECOVERY_SECONDS

    async def acquire(self, address: str) -> PooledConnection:
        """Take the most recently used idle connection, or open one.

        Raises:
            ConnectError: no connection was established in time, or the limit is reached and none is idle.
        """
        return self._take_idle(address) or await self.connect(address)

    def _take_idle(self, address: str) -> PooledConnection | None:
        now = trio.current_time()
        idle = self._idle.get(address, [])
        for connection in idle[::-1]:
            if now < connection.idle_since + self._reuse_delay_seconds:
                # A second response to the last request, if still in transit, would be taken for this one's.
                continue
            idle.remove(connection)
            if not _close_if_unusable(connection, now - self._current_idle_limit_seconds()):
                connection.record_reuse(now)
                return connection
        return None

    async def connect(self, address: str) -> PooledConnection:
        """Open a new connection, even if there is an idle one.

        Raises:
            ConnectError: it was not established in time, or the limit is reached and none is idle.
        """
        if self.open_count >= self._max_connections and not self.close_oldest_idle():
            raise ConnectError(address, f"all {self._max_connections} connections are in use")
        self.open_count += 1
        stream: SocketStream | None = None
        try:
            with trio.fail_after(self._connect_timeout_seconds):
                stream = await connect(address, self._response_limit_bytes)
        except trio.TooSlowError as error:
            raise ConnectError(address, f"timed out after {self._connect_timeout_seconds} s") from error
        except OSError as error:
            if error.errno in DESCRIPTORS_EXHAUSTED:
                self.close_oldest_idle()
            raise ConnectError(address, str(error)) from error
        except ValueError as error:  # an invalid address, or a host name that cannot be encoded
            raise ConnectError(address, str(error)) from error
        finally:
            if stream is None:
                self.open_count -= 1
        return PooledConnection(self, address, stream, self._response_limit_bytes)

    async def call(self, address: str, method: bytes, path: bytes, *, must_connect: bool = False) -> Response:
        """Send an idempotent request without a body and return its complete response.

        Raises:
            ConnectError: no connection was established.
            RequestIncompleteError: the connection broke before the last byte of the request was written.
            BrokenResponseError: no complete, valid response arrived.
            ResponseTooLongError: the response exceeds the limit of this pool.
        """
        connection = await (self.connect(address) if must_connect else self.acquire(address))
        try:
            response = await connection.exchange(method, path)
        except ResponseTooLongError:
            raise  # the peer has responded, so the connection was not stale
        except (RequestIncompleteError, BrokenResponseError):
            if not connection.is_reused:
                raise
            self.on_connection_broken(connection)
            # The idle connection may have been stale: a new one keeps a DELETE or a watch from being lost.
            connection = await self.connect(address)
            response = await connection.exchange(method, path)
        connection.release()
        return response

    def return_connection(self, connection: PooledConnection) -> None:
        """Add a connection that has received its complete response to the idle connections."""
        connection.record_idle(trio.current_time())
        self._idle.setdefault(connection.address, []).append(connection)

    def on_connection_closed(self, reason: CloseReason) -> None:
        """Count a closed connection under its reason."""
        self.open_count -= 1
        self._counters.count(CounterGroup.ENDPOINT_CLOSES, reason.value)

    def on_close_without_reset(self, address: str) -> None:
        """Count a violation: the unanswered request of a connection without reset may still be delivered."""
        if self._invariants is not None:
            self._invariants.record_violation(Invariant.RESET_ON_CLOSE, address=address)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        candidates = (idle[0] for idle in self._idle.values() if idle)
        oldest = min(candidates, key=lambda connection: connection.idle_since, default=None)
        if oldest is None:
            return False
        self._idle[oldest.address].remove(oldest)
        oldest.close(CloseReason.MADE_ROOM)
        return True

    def close_expired(self) -> None:
        """Close the idle connections that have reached `idle_limit_seconds` or were closed by their peer."""
        idle_cutoff = trio.current_time() - self.idle_limit_seconds
        for address, idle in list(self._idle.items()):
            remaining = [entry for entry in idle if not _close_if_unusable(entry, idle_cutoff)]
            if remaining:
                self._idle[address] = remaining
            else:
                del self._idle[address]

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close(CloseReason.ENDPOINT_CHANGED)


def _close_if_unusable(connection: PooledConnection, idle_cutoff: float) -> bool:
    """Close a connection idle since `idle_cutoff`, or closed by its peer; return whether this closed it.

    A request written to a connection that its peer has closed would end with a reset.
    """
    if connection.idle_since <= idle_cutoff:
        connection.close(CloseReason.IDLE)
        return True
    if not connection.is_reusable():
        connection.close(CloseReason.PEER_CLOSED)
        return True
    return False
