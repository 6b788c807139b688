"""Carries attempts to endpoints: one task for each, from the connection to the 202."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

import trio

from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.endpoint_table import ListedEndpoint
from burlmoor.engine.engine import Engine
from burlmoor.engine.job import Attempt
from burlmoor.invariants import Invariant
from burlmoor.log import EventLogger
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CloseReason, GiveUpReason
from burlmoor.upstream.connection import PooledConnection
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionEndedError,
    RequestNotSentError,
    ResponseTimeoutError,
)
from burlmoor.upstream.health_check import HealthChecker
from burlmoor.upstream.http import Response
from burlmoor.upstream.in_flight import InFlightAttempt, InFlightAttempts
from burlmoor.upstream.outcome import STATUS_ACCEPTED, outcome_of
from burlmoor.upstream.pool import ConnectionPool
from burlmoor.upstream.send_precondition import (
    SendPreconditionError,
    check_send_precondition,
    recheck_send_precondition,
)

# Seconds in which an endpoint accepts or rejects an attempt: measured 0.3 at most, where it paused meanwhile.
_ACCEPT_TIMEOUT_SECONDS = 0.45
_CANCEL_TIMEOUT_SECONDS = 2.0  # of a DELETE


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
    """Owns every attempt that waits for its 202, and the DELETE calls that cancel attempts.

    Each attempt runs as a task of `nursery`. `clock` gives ms.
    """

    def __init__(
        self,
        engine: Engine,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        nursery: trio.Nursery,
        clock: Callable[[], float],
        log: EventLogger,
    ) -> None:
        self._engine = engine
        self._directory = directory
        self._pool = pool
        self._nursery = nursery
        self._clock = clock
        self._log = log
        self._health_checker = HealthChecker(engine, directory, pool, clock, log)
        self._in_flight = InFlightAttempts(engine, directory, nursery, log)
        self.pending_cancels = 0  # DELETE calls in flight

    @property
    def in_flight(self) -> int:
        """How many attempts wait for their 202."""
        return len(self._in_flight)

    # --- what the engine requires -----------------------------------------------------------------

    def start_attempt(self, attempt: Attempt) -> None:
        """Start the attempt; the engine learns how it ends, unless the endpoint accepts the job."""
        self._nursery.start_soon(self._run, attempt, self._in_flight.add(attempt))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt: by closing its connection before the 202, by a DELETE after it."""
        in_flight = self._in_flight.find(attempt)
        if in_flight is not None and not in_flight.is_accepted:
            in_flight.scope.cancel()
            self._engine.on_attempt_cancelled(attempt)
        else:
            self.pending_cancels += 1
            self._nursery.start_soon(self._send_cancel, attempt)

    def check_health(self, endpoint: str) -> None:
        """Start a health check of an endpoint; the engine learns the outcome."""
        self._nursery.start_soon(self._health_checker.check, endpoint)

    # --- one attempt ------------------------------------------------------------------------------

    async def _run(self, attempt: Attempt, in_flight: InFlightAttempt) -> None:
        try:
            with in_flight.scope:
                outcome = await self._exchange(attempt, in_flight)
                if outcome is not None:
                    self._engine.on_attempt_ended(attempt, outcome)
            if in_flight.is_withdrawn and in_flight.scope.cancelled_caught:
                # A request of which not all was written has not run.
                outcome = Outcome.RESET if in_flight.is_written else Outcome.UNREACHABLE
                self._engine.on_attempt_ended(attempt, outcome)
        except Exception as error:  # noqa: BLE001
            # The boundary of the attempt's task: without this, an error in one attempt would end the node.
            # Whether the job has run is not known.
            self._log("attempt-error", target=attempt.endpoint, error=repr(error))
            self._engine.note_given_up(attempt, GiveUpReason.INTERNAL_ERROR)
            self._engine.on_attempt_ended(attempt, Outcome.RESET)
        finally:
            self._in_flight.remove(attempt)

    async def _exchange(self, attempt: Attempt, in_flight: InFlightAttempt) -> Outcome | None:
        """Send the request and read the response; the outcome, or None if the endpoint accepts the job."""
        try:
            connection = await self._send_request(attempt, in_flight)
        except SendPreconditionError:
            return Outcome.UNSENT
        except (ConnectError, RequestNotSentError):
            return Outcome.UNREACHABLE
        try:
            response = await self._read_response(attempt, connection)
        except BrokenResponseError as error:
            self._pool.on_connection_broken(connection)
            self._note_broken_response(attempt, error)
            connection.close(CloseReason.BROKEN)
            return Outcome.RESET
        except BaseException:
            connection.close(CloseReason.GIVEN_UP)
            raise
        in_flight.is_accepted = response.status == STATUS_ACCEPTED
        if in_flight.is_accepted:
            attempt.accepted_at = self._clock()
        connection.release()
        return None if in_flight.is_accepted else outcome_of(response)

    def _note_broken_response(self, attempt: Attempt, error: BrokenResponseError) -> None:
        """Note why the node gives the attempt up, unless its endpoint or the network has ended it."""
        if isinstance(error, ResponseTimeoutError):
            self._engine.note_given_up(attempt, GiveUpReason.NO_RESPONSE)
        elif not isinstance(error, ConnectionEndedError) and not isinstance(error.__cause__, OSError):
            self._engine.note_given_up(attempt, GiveUpReason.INVALID_RESPONSE)

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
                await self._write_request(attempt, endpoint, connection)
                in_flight.is_written = True
                attempt.written_at = self._clock()
            except RequestNotSentError:
                connection.close(CloseReason.BROKEN)
                if must_connect or not connection.is_reused:
                    raise
                # An idle connection that had gone stale: the request was not sent, so it may be sent again.
                must_connect = True
                continue
            except BaseException:
                connection.close(CloseReason.GIVEN_UP)
                raise
            return connection

    async def _write_request(
        self, attempt: Attempt, endpoint: ListedEndpoint, connection: PooledConnection
    ) -> None:
        self._verify_send(attempt, endpoint)
        payload: RequestPayload = attempt.job.payload
        timeout_ms = max(1, int(attempt.deadline - self._clock()))
        headers = [("Request-Id", attempt.job.id), ("Request-Timeout-Ms", str(timeout_ms))]
        if payload.idempotency_key:
            headers.append(("Idempotency-Key", payload.idempotency_key))
        await connection.write(payload.method, payload.path, headers, payload.body)

    def _verify_send(self, attempt: Attempt, endpoint: ListedEndpoint) -> None:
        """Count a violation if the request is written although the precondition does not hold now."""
        violated: Invariant | None = None
        if attempt.job.is_closed:
            violated = Invariant.START
        elif self._directory.find_live(attempt.endpoint) != endpoint:
            violated = Invariant.SEND
        if violated is not None:
            self._engine.invariants.record_violation(violated, id=attempt.job.id, target=attempt.endpoint)

    # --- cancellation -----------------------------------------------------------------------------

    async def _send_cancel(self, attempt: Attempt) -> None:
        """Send the DELETE; the engine learns if the endpoint has answered it, or is gone."""
        try:
            if await self._is_cancelled_by_delete(attempt):
                self._engine.on_attempt_cancelled(attempt)
        except (RequestNotSentError, BrokenResponseError):
            return  # whether it arrived is not known: the policy cancels the attempt again
        except Exception as error:  # noqa: BLE001
            # The boundary of the call's task: without this, an error in one call would end the node.
            self._log("attempt-error", target=attempt.endpoint, error=repr(error))
        finally:
            self.pending_cancels -= 1

    async def _is_cancelled_by_delete(self, attempt: Attempt) -> bool:
        address = self._directory.address_of(attempt.endpoint)
        if not address:
            return False
        path = f"/jobs/{attempt.job.id}".encode()
        try:
            with trio.move_on_after(_CANCEL_TIMEOUT_SECONDS):
                await self._pool.call(address, b"DELETE", path)
                return True
        except ConnectError as error:
            return error.is_refused  # the process is gone, and the job with it
        return False
