"""Runs attempts at endpoints: one task for each, from the connection to the 202."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from burlmoor.log_events import AttemptError
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason, CloseReason
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionEndedError,
    RequestNotSentError,
    ResponseTimeoutError,
)
from burlmoor.upstream.outcome import outcome_of
from burlmoor.upstream.send_precondition import SendPreconditionError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.job import Attempt
    from burlmoor.engine.job_lifecycle import JobLifecycle
    from burlmoor.log import EventLogger
    from burlmoor.upstream.cancellation import AttemptCanceller
    from burlmoor.upstream.connection import PooledConnection
    from burlmoor.upstream.health_check import HealthChecker
    from burlmoor.upstream.http import Response
    from burlmoor.upstream.in_flight import InFlightAttempt, InFlightAttempts
    from burlmoor.upstream.pool import ConnectionPool
    from burlmoor.upstream.request_sender import RequestSender

_ACCEPT_TIMEOUT_SECONDS = 0.45  # for an endpoint to accept or reject an attempt


class AttemptRunner:
    """Runs each attempt as a task of `nursery`, and cancels attempts: the engine's `Upstream`.

    `clock` gives ms.
    """

    def __init__(
        self,
        *,
        lifecycle: JobLifecycle,
        in_flight: InFlightAttempts,
        sender: RequestSender,
        canceller: AttemptCanceller,
        health_checker: HealthChecker,
        pool: ConnectionPool,
        nursery: trio.Nursery,
        clock: Callable[[], float],
        log: EventLogger,
    ) -> None:
        self.in_flight = in_flight
        self._lifecycle = lifecycle
        self._sender = sender
        self._canceller = canceller
        self._health_checker = health_checker
        self._pool = pool
        self._nursery = nursery
        self._clock = clock
        self._log = log

    @property
    def open_cancel_calls(self) -> int:
        """How many DELETE calls wait for their response."""
        return self._canceller.open_calls

    # --- what the engine requires -----------------------------------------------------------------

    def start_attempt(self, attempt: Attempt) -> None:
        """Start the attempt; unless the endpoint accepts it, its outcome is reported to the engine."""
        self._nursery.start_soon(self._run, attempt, self.in_flight.add(attempt))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt: before the 202 by closing its connection, and by a DELETE.

        Before the 202 neither is enough alone: the 202 may be in transit and the job running, or the request
        may still be in transit when the DELETE arrives. An attempt that has ended needs only one of the two.
        """
        in_flight = self.in_flight.find(attempt)
        if in_flight is None:
            self._canceller.cancel(attempt)
            return
        in_flight.abort()
        if not in_flight.is_written:
            self._lifecycle.on_cancellation_confirmed(attempt)
        elif not attempt.has_ended:
            self._canceller.cancel(attempt)

    def check_health(self, endpoint: str) -> None:
        """Start a health check of an endpoint; its outcome is reported to the engine."""
        self._nursery.start_soon(self._health_checker.check, endpoint)

    # --- one attempt ------------------------------------------------------------------------------

    def abandon(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> None:
        """Cancel an attempt that this node can't continue; once confirmed, it ends with `outcome`."""
        if self._lifecycle.begin_cancellation(attempt, outcome, reason):
            self.cancel_attempt(attempt)

    async def _run(self, attempt: Attempt, in_flight: InFlightAttempt) -> None:
        try:
            with in_flight.scope:
                outcome = await self._exchange(attempt, in_flight)
                # A cancelled attempt ends when its endpoint confirms that, not when its connection fails.
                if outcome is not None and not attempt.is_over:
                    self._lifecycle.on_attempt_ended(attempt, outcome)
        except Exception as error:  # noqa: BLE001
            # The boundary of the attempt's task: without this, an error in one attempt would end the node.
            # Whether the job has run is not known.
            self._log(AttemptError(endpoint=attempt.endpoint, error=repr(error)))
            self.abandon(attempt, Outcome.RESET, CancelReason.INTERNAL_ERROR)
        finally:
            self.in_flight.remove(attempt)

    async def _exchange(self, attempt: Attempt, in_flight: InFlightAttempt) -> Outcome | None:
        """Send the request and read the response.

        Returns the outcome; None if the endpoint accepts the job, or if the attempt was cancelled.
        """
        try:
            connection = await self._sender.send(attempt, in_flight)
        except SendPreconditionError:
            return Outcome.UNSENT
        except (ConnectError, RequestNotSentError):
            return Outcome.UNREACHABLE
        try:
            response = await self._read_response(attempt, connection)
        except BrokenResponseError as error:
            if attempt.is_over:
                return None  # this node has closed the connection
            self._pool.on_connection_broken(connection)
            connection.close(CloseReason.BROKEN)
            return self._handle_broken_response(attempt, error)
        except BaseException:
            connection.close(CloseReason.ATTEMPT_CANCELLED)
            raise
        connection.release()
        if response.status != HTTPStatus.ACCEPTED:
            return outcome_of(response)
        attempt.record_accepted(self._clock())
        return None

    async def _read_response(self, attempt: Attempt, connection: PooledConnection) -> Response:
        """Read the response.

        Raises:
            ResponseTimeoutError: none has arrived in time.
        """
        # A non-idempotent job can't be retried elsewhere anyway, so it waits for as long as its client does.
        timeout = math.inf if attempt.job.is_non_idempotent else _ACCEPT_TIMEOUT_SECONDS
        with trio.move_on_after(timeout):
            return await connection.read()
        # Without this, a job would wait until its deadline on a connection that has fallen silent.
        raise ResponseTimeoutError(timeout)

    def _handle_broken_response(self, attempt: Attempt, error: BrokenResponseError) -> Outcome | None:
        """Return the outcome if the endpoint or the network has ended the exchange; else cancel the attempt.

        Where this node ends the exchange, the endpoint may have accepted the job.
        """
        if isinstance(error, ConnectionEndedError) or isinstance(error.__cause__, OSError):
            return Outcome.RESET
        is_timeout = isinstance(error, ResponseTimeoutError)
        reason = CancelReason.NO_RESPONSE if is_timeout else CancelReason.INVALID_RESPONSE
        self.abandon(attempt, Outcome.RESET, reason)
        return None
