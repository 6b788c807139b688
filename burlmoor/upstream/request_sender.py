"""Sends the request of an attempt: acquires a connection, checks the send precondition and writes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from burlmoor.invariants import Invariant
from burlmoor.upstream.errors import RequestIncompleteError
from burlmoor.upstream.send_precondition import (
    SendPreconditionError,
    check_send_precondition,
    check_send_time,
    recheck_send_precondition,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.endpoint_table import ListedEndpoint
    from burlmoor.engine.job import Attempt
    from burlmoor.invariants import InvariantMonitor
    from burlmoor.upstream.connection import PooledConnection
    from burlmoor.upstream.in_flight import InFlightAttempt
    from burlmoor.upstream.pool import ConnectionPool

_TIME_LIMIT_SLACK_MS = 50.0  # by which the protocol's time limits are longer on sockets


class RequestPayload(Protocol):
    """The parts of a client's request that attempts forward unchanged."""

    @property
    def method(self) -> bytes:
        """The HTTP method."""

    @property
    def path(self) -> bytes:
        """The path and query."""

    @property
    def body(self) -> bytes:
        """The body, possibly empty."""

    @property
    def idempotency_key(self) -> str:
        """The key by which executors recognise a repeated request; empty if the client gave none."""


class RequestSender:
    """Writes the request of each attempt to a connection. `clock` returns milliseconds."""

    def __init__(
        self,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        invariants: InvariantMonitor,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._invariants = invariants
        self._clock = clock

    async def send(self, attempt: Attempt, in_flight: InFlightAttempt) -> PooledConnection:
        """Write the complete request, and return the connection that its response will arrive on.

        Raises:
            SendPreconditionError: the attempt must no longer be sent, or was not completely sent while it
                might be; the job has not run.
            ConnectError: no connection was established.
            RequestIncompleteError: the connection broke before the last byte was written; the job has not
                run.
        """
        remaining_ms = attempt.job.latest_send_at(attempt) - self._clock()
        with trio.move_on_after(max(0.0, remaining_ms / 1000.0)):
            return await self._connect_and_write(attempt, in_flight)
        raise SendPreconditionError(attempt, "the window for repeats is over")

    async def _connect_and_write(self, attempt: Attempt, in_flight: InFlightAttempt) -> PooledConnection:
        # A non-idempotent job can't be retried if a pooled connection turns out to be stale.
        must_connect = attempt.job.is_non_idempotent and self._pool.had_recent_stale_connection
        while True:
            endpoint = check_send_precondition(attempt, self._directory)
            check_send_time(attempt, self._clock)
            open_connection = self._pool.connect if must_connect else self._pool.acquire
            connection = await open_connection(endpoint.address)
            try:
                with connection.close_on_error():
                    # The job and the endpoint list may have changed during the connect. Nothing suspends
                    # between this check and the first byte.
                    recheck_send_precondition(attempt, self._directory, endpoint)
                    await self._write(attempt, endpoint, connection, in_flight)
            except RequestIncompleteError:
                if must_connect or not connection.is_reused:
                    raise
                # The pooled connection was stale. The request has not run, so a new connection may carry it.
                must_connect = True
                continue
            return connection

    async def _write(
        self,
        attempt: Attempt,
        endpoint: ListedEndpoint,
        connection: PooledConnection,
        in_flight: InFlightAttempt,
    ) -> None:
        self._check_send_invariants(attempt, endpoint)
        in_flight.connection = connection
        attempt.record_send(endpoint.address, self._clock())
        payload: RequestPayload = attempt.job.payload
        timeout_ms = max(1, int(attempt.deadline - self._clock()))
        headers = [("Request-Id", attempt.job.id), ("Request-Timeout-Ms", str(timeout_ms))]
        if payload.idempotency_key:
            headers.append(("Idempotency-Key", payload.idempotency_key))
        await connection.write(
            payload.method,
            payload.path,
            headers,
            payload.body,
            check_send=lambda: check_send_time(attempt, self._clock),
        )
        in_flight.is_written = True
        attempt.record_written(self._clock())
        self._check_repeat_window(attempt)

    def _check_repeat_window(self, attempt: Attempt) -> None:
        """Count a violation if a request was completely written after its window for repeats."""
        if self._clock() > attempt.job.latest_send_at(attempt) + _TIME_LIMIT_SLACK_MS:
            self._invariants.record_violation(
                Invariant.REPEAT_WINDOW, job_id=attempt.job.id, endpoint=attempt.endpoint
            )

    def _check_send_invariants(self, attempt: Attempt, endpoint: ListedEndpoint) -> None:
        """Count a violation if a request is about to be written although its precondition does not hold."""
        violated: Invariant | None = None
        if attempt.job.is_closed:
            violated = Invariant.NO_WRITE_AFTER_CLOSE
        elif self._directory.find_live(attempt.endpoint) != endpoint:
            violated = Invariant.SEND
        if violated is not None:
            self._invariants.record_violation(violated, job_id=attempt.job.id, endpoint=attempt.endpoint)
