"""Carries attempts to endpoints: one task for each, from the connection to the 202."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import trio

from burlmoor.invariants import Invariant
from burlmoor.log_events import AttemptError
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason, CloseReason
from burlmoor.upstream.cancellation import AttemptCanceller
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionEndedError,
    RequestNotSentError,
    ResponseTimeoutError,
)
from burlmoor.upstream.health_check import HealthChecker
from burlmoor.upstream.in_flight import InFlightAttempt, InFlightAttempts
from burlmoor.upstream.outcome import STATUS_ACCEPTED, outcome_of
from burlmoor.upstream.send_precondition import (
    SendPreconditionError,
    check_send_precondition,
    recheck_send_precondition,
)

if TYPE_CHECKING:
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.endpoints.endpoint_table import ListedEndpoint
    from burlmoor.engine.core import EngineCore
    from burlmoor.engine.job import Attempt
    from burlmoor.log import EventLogger
    from burlmoor.upstream.connection import PooledConnection
    from burlmoor.upstream.http import Response
    from burlmoor.upstream.pool import ConnectionPool

# Seconds in which an endpoint accepts or rejects an attempt: measured 0.3 at most, where it paused meanwhile.
_ACCEPT_TIMEOUT_SECONDS = 0.45


class RequestPayload(Protocol):
    """What an attempt passes on of its job's request, unchanged."""

    @property
    def method(self) -> bytes:
        """The HTTP method."""

    @property
    def path(self) -> bytes:
        """The path with its query."""

    @property
    def body(self) -> bytes:
        """The body, perhaps empty."""

    @property
    def idempotency_key(self) -> str:
        """The key by which executors recognise a repeated request; empty if there is none."""


class AttemptRunner:
    """Owns every attempt that waits for its 202.

    Each attempt runs as a task of `nursery`.
    """

    def __init__(
        self,
        core: EngineCore,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self._lifecycle = core.lifecycle
        self._invariants = core.invariants
        self._directory = directory
        self._pool = pool
        self._nursery = nursery
        self._clock = core.clock
        self._log = log
        self._health_checker = HealthChecker(core.policy, directory, pool, core.clock, log)
        self._in_flight = InFlightAttempts(core.invariants, self._abandon, directory, nursery, log)
        self._canceller = AttemptCanceller(
            core.lifecycle, pool, nursery, log, may_cancel=core.settings.limits.may_cancel
        )

    @property
    def in_flight(self) -> int:
        """How many attempts wait for their 202."""
        return len(self._in_flight)

    @property
    def open_cancel_calls(self) -> int:
        """How many DELETE calls wait for their response."""
        return self._canceller.open_calls

    # --- what the engine requires -----------------------------------------------------------------

    def start_attempt(self, attempt: Attempt) -> None:
        """Start the attempt; the engine learns how it ends, unless the endpoint accepts the job."""
        self._nursery.start_soon(self._run, attempt, self._in_flight.add(attempt))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt: by closing its connection before the 202, and by a DELETE.

        Before the 202 the close is not enough, since the 202 may be on its way and the job run; nor is the
        DELETE, since the request may be on its way. A job that is over needs only one of the two.
        """
        in_flight = self._in_flight.find(attempt)
        if in_flight is None:
            self._canceller.cancel(attempt)
            return
        in_flight.abort()
        if not in_flight.is_written:
            self._lifecycle.on_attempt_cancelled(attempt)
        elif not attempt.has_ended:
            self._canceller.cancel(attempt)

    def _abandon(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> None:
        """Cancel an attempt that can't be continued from here."""
        if self._lifecycle.begin_cancellation(attempt, outcome, reason):
            self.cancel_attempt(attempt)

    def check_health(self, endpoint: str) -> None:
        """Start a health check of an endpoint; the engine learns the outcome."""
        self._nursery.start_soon(self._health_checker.check, endpoint)

    # --- one attempt ------------------------------------------------------------------------------

    async def _run(self, attempt: Attempt, in_flight: InFlightAttempt) -> None:
        try:
            with in_flight.scope:
                outcome = await self._exchange(attempt, in_flight)
                # What is cancelled ends by the endpoint's word, not by the error of its aborted connection.
                if outcome is not None and not attempt.is_over:
                    self._lifecycle.on_attempt_ended(attempt, outcome)
        except Exception as error:  # noqa: BLE001
            # The boundary of the attempt's task: without this, an error in one attempt would end the node.
            # Whether the job has run is not known.
            self._log(AttemptError(endpoint=attempt.endpoint, error=repr(error)))
            self._abandon(attempt, Outcome.RESET, CancelReason.INTERNAL_ERROR)
        finally:
            self._in_flight.remove(attempt)

    async def _exchange(self, attempt: Attempt, in_flight: InFlightAttempt) -> Outcome | None:
        """Send the request and read the response.

        Returns the outcome; None if the endpoint accepts the job, or if the attempt was cancelled.
        """
        try:
            connection = await self._send_request(attempt, in_flight)
        except SendPreconditionError:
            return Outcome.UNSENT
        except (ConnectError, RequestNotSentError):
            return Outcome.UNREACHABLE
        try:
            response = await self._read_response(attempt, connection)
        except BrokenResponseError as error:
            if attempt.is_over:
                return None  # its connection was closed here
            self._pool.on_connection_broken(connection)
            connection.close(CloseReason.BROKEN)
            return self._outcome_of_broken_response(attempt, error)
        except BaseException:
            connection.close(CloseReason.ATTEMPT_CANCELLED)
            raise
        connection.release()
        if response.status != STATUS_ACCEPTED:
            return outcome_of(response)
        attempt.accepted_at = self._clock()
        return None

    def _outcome_of_broken_response(self, attempt: Attempt, error: BrokenResponseError) -> Outcome | None:
        """Return the outcome if the endpoint or the network has ended the exchange; else cancel the attempt.

        Where it is this node that ends it, the endpoint may have accepted the job.
        """
        if isinstance(error, ConnectionEndedError) or isinstance(error.__cause__, OSError):
            return Outcome.RESET
        is_timeout = isinstance(error, ResponseTimeoutError)
        reason = CancelReason.NO_RESPONSE if is_timeout else CancelReason.INVALID_RESPONSE
        self._abandon(attempt, Outcome.RESET, reason)
        return None

    async def _read_response(self, attempt: Attempt, connection: PooledConnection) -> Response:
        """Read the response; ResponseTimeoutError if none comes in time."""
        # A non-idempotent job can't be retried elsewhere anyway, so it waits for as long as its client does.
        timeout = math.inf if attempt.job.is_non_idempotent else _ACCEPT_TIMEOUT_SECONDS
        with trio.move_on_after(timeout):
            return await connection.read()
        # Without this, a job would wait until its deadline on a connection that has fallen silent.
        raise ResponseTimeoutError(timeout)

    async def _send_request(self, attempt: Attempt, in_flight: InFlightAttempt) -> PooledConnection:
        """Write the complete request to a connection; that connection."""
        # On a pooled connection that turns out to be dead a non-idempotent job would be lost.
        must_connect = attempt.job.is_non_idempotent and self._pool.is_reuse_risky
        while True:
            endpoint = check_send_precondition(attempt, self._directory)
            open_connection = self._pool.connect if must_connect else self._pool.acquire
            connection = await open_connection(endpoint.address)
            try:
                # All may have changed during the connect. Nothing suspends from here to the first byte.
                recheck_send_precondition(attempt, self._directory, endpoint)
                await self._write_request(attempt, endpoint, connection, in_flight)
            except RequestNotSentError:
                connection.close(CloseReason.BROKEN)
                if must_connect or not connection.is_reused:
                    raise
                # An idle connection that had gone stale: the request was not sent, so it may be sent again.
                must_connect = True
                continue
            except BaseException:
                connection.close(CloseReason.ATTEMPT_CANCELLED)
                raise
            return connection

    async def _write_request(
        self,
        attempt: Attempt,
        endpoint: ListedEndpoint,
        connection: PooledConnection,
        in_flight: InFlightAttempt,
    ) -> None:
        self._verify_send(attempt, endpoint)
        in_flight.connection = connection
        attempt.address = endpoint.address
        payload: RequestPayload = attempt.job.payload
        timeout_ms = max(1, int(attempt.deadline - self._clock()))
        headers = [("Request-Id", attempt.job.id), ("Request-Timeout-Ms", str(timeout_ms))]
        if payload.idempotency_key:
            headers.append(("Idempotency-Key", payload.idempotency_key))
        await connection.write(payload.method, payload.path, headers, payload.body)
        in_flight.is_written = True
        attempt.written_at = self._clock()

    def _verify_send(self, attempt: Attempt, endpoint: ListedEndpoint) -> None:
        """Count a violation if the request is written although the precondition does not hold now."""
        violated: Invariant | None = None
        if attempt.job.is_closed:
            violated = Invariant.START
        elif self._directory.find_live(attempt.endpoint) != endpoint:
            violated = Invariant.SEND
        if violated is not None:
            self._invariants.record_violation(violated, job_id=attempt.job.id, endpoint=attempt.endpoint)
