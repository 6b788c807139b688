"""Connections to targets, kept for reuse."""

from __future__ import annotations

import trio

from burlmoor.transport.stream import DESCRIPTORS_EXHAUSTED, SocketStream, connect
from burlmoor.upstream.http import BrokenResponseError, HttpClientConnection, Response

_LIMIT = 256 * 1024  # bytes of an answer: an executor's body holds 64 KiB at most
_STALE_WITHIN = 0.25  # seconds after a request is written in which a connection that was dead breaks
REUSE_DELAY_SECONDS = (
    0.05  # seconds in which a second answer to what a connection last carried may still come
)
_WARY = 30.0  # seconds for which a broken one tells how long others may lie idle


class ConnectError(Exception):
    """No connection came up: whatever was to be sent has not been."""

    is_refused = False  # whether the target's machine answered that nothing listens there


class RequestNotSentError(Exception):
    """The connection broke before the request's last byte was written: it has not run."""


class PooledConnection:
    """Owns one connection to a target and what is under way on it."""

    def __init__(self, pool: ConnectionPool, dial: str, stream: SocketStream) -> None:
        self._pool, self.dial, self._stream = pool, dial, stream
        self._http = HttpClientConnection(dial, pool.limit)
        self.is_reused = False
        self.idle_since = self.taken_at = 0.0

    async def write(self, method: bytes, path: bytes, headers: list[tuple[str, str]], body: bytes) -> None:
        """Write a whole request; `NotSent` if it breaks before its last byte."""
        try:
            self._stream.send(self._http.request(method, path, headers, body))
            await self._stream.drain()
        except (OSError, BufferError) as error:
            raise RequestNotSentError(str(error)) from error

    async def read(self) -> Response:
        """The whole answer; `BrokenReply` where the connection ends before it."""
        while True:
            try:
                more = await self._stream.receive()
            except OSError as error:
                raise BrokenResponseError(str(error)) from error
            reply = self._http.receive(self._stream.inbound.take() if more else b"")
            if reply is not None:
                return reply

    async def exchange(self, method: bytes, path: bytes) -> Response:
        """Write a request without a body and read its answer; closed unless that is whole."""
        try:
            await self.write(method, path, [], b"")
            return await self.read()
        except BaseException:
            self.close()
            raise

    def release(self) -> None:
        """The answer is whole: keep the connection if it can carry another request."""
        if self._http.reusable():
            self._pool.keep(self)
        else:
            self.close()

    def quiet(self) -> bool:
        """Whether the idle connection is still fit for use."""
        return self._stream.still_quiet()

    def close(self) -> None:
        """Close the connection."""
        if not self._stream.closed:
            self._stream.close()
            self._pool.open_count -= 1


class ConnectionPool:
    """Owns the idle connections, freshest last, and the count of all of them."""

    def __init__(
        self, idle_limit: float, connect_timeout: float, size: int, limit: int = _LIMIT, rest: float = 0.0
    ) -> None:
        self.idle_limit, self._connect_timeout, self.max_connections = idle_limit, connect_timeout, size
        self.limit = limit  # bytes of one answer
        self._rest = rest  # seconds that a connection lies idle at least before it carries the next request
        self._idle: dict[str, list[PooledConnection]] = {}
        self._shorter, self._shorter_until = idle_limit, 0.0
        self.open_count = 0

    def _trusted(self) -> float:
        """How long a connection may have lain idle and be used again."""
        return self._shorter if trio.current_time() < self._shorter_until else self.idle_limit

    @property
    def wary(self) -> bool:
        """Whether a kept connection has broken lately under the next request."""
        return trio.current_time() < self._shorter_until

    def broken(self, link: PooledConnection) -> None:
        """A connection has broken before its answer: if it had been kept, keep others for less time.

        Guards against peers that drop kept connections sooner than the settings say, and don't show it: what
        is written to such a connection counts as perhaps run.
        """
        now = trio.current_time()
        if link.is_reused and now < link.taken_at + _STALE_WITHIN:
            self._shorter = min(self._trusted(), 0.5 * (link.taken_at - link.idle_since))
            self._shorter_until = now + _WARY

    async def acquire(self, dial: str) -> PooledConnection:
        """The freshest idle connection, or a new one; `NotConnected` in time if none comes up."""
        return self._reuse(dial) or await self.connect(dial)

    def _reuse(self, dial: str) -> PooledConnection | None:
        idle, now = self._idle.get(dial, []), trio.current_time()
        for link in idle[::-1]:
            if now < link.idle_since + self._rest:
                # Guards rule 2: a second answer to the last request would be taken for this one's.
                continue
            idle.remove(link)
            # What is written to a connection that its peer has closed would end as a reset.
            if now - link.idle_since < self._trusted() and link.quiet():
                link.is_reused, link.taken_at = True, now
                return link
            link.close()
        return None

    async def connect(self, dial: str) -> PooledConnection:
        """A new connection, whatever is idle."""
        if self.open_count >= self.max_connections and not self.spare():
            raise ConnectError("every connection is busy")
        self.open_count += 1
        stream: SocketStream | None = None
        try:
            with trio.fail_after(self._connect_timeout):
                stream = await connect(dial, self.limit)
        except trio.TooSlowError as error:
            raise ConnectError("timed out") from error
        except OSError as error:
            if error.errno in DESCRIPTORS_EXHAUSTED:
                self.spare()
            fault = ConnectError(str(error))
            fault.is_refused = isinstance(error, ConnectionRefusedError)
            raise fault from error
        except ValueError as error:
            raise ConnectError(str(error)) from error
        finally:
            if stream is None:
                self.open_count -= 1
        return PooledConnection(self, dial, stream)

    async def call(self, dial: str, method: bytes, path: bytes) -> Response:
        """A small request that does no harm if it goes out twice, and its whole answer."""
        link = await self.acquire(dial)
        try:
            reply = await link.exchange(method, path)
        except (RequestNotSentError, BrokenResponseError):
            if not link.is_reused:
                raise
            self.broken(link)
            # Guards against a DELETE or a watch lost on a connection that had gone stale.
            link = await self.connect(dial)
            reply = await link.exchange(method, path)
        link.release()
        return reply

    def keep(self, link: PooledConnection) -> None:
        """Take back a connection that has carried its answer."""
        link.idle_since = trio.current_time()
        self._idle.setdefault(link.dial, []).append(link)

    def spare(self) -> bool:
        """Close the connection that has been idle longest; False where none is idle."""
        oldest = min((idle[0] for idle in self._idle.values() if idle), key=_age, default=None)
        if oldest is None:
            return False
        self._idle[oldest.dial].remove(oldest)
        oldest.close()
        return True

    def sweep(self) -> None:
        """Close what has been idle for too long, or has been closed by its peer."""
        limit = trio.current_time() - self.idle_limit
        for dial, idle in list(self._idle.items()):
            kept = []
            for link in idle:
                if link.idle_since > limit and link.quiet():
                    kept.append(link)
                else:
                    link.close()
            if kept:
                self._idle[dial] = kept
            else:
                del self._idle[dial]

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address."""
        for link in self._idle.pop(address, []):
            link.close()


def _age(link: PooledConnection) -> float:
    return link.idle_since
