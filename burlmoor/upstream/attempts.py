"""Runs attempts: each has a task that sends its request and waits for the 202 or another response."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from burlmoor.log_events import AttemptError
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionEndedError,
    RequestIncompleteError,
    ResponseTimeoutError,
)
from burlmoor.upstream.outcome import classify_failure
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

_ACCEPT_TIMEOUT_SECONDS = 0.45  # how long an endpoint may take to accept or reject an attempt


class AttemptRunner:
    """Runs each attempt as a task of `nursery`, and cancels attempts.

    Implements the engine's `Upstream`. `clock` returns milliseconds.
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
        """The number of DELETE calls that are about to be made or wait for their response."""
        return self._canceller.open_calls

    def start_attempt(self, attempt: Attempt) -> None:
        """Start the attempt; its outcome is reported to the engine unless the endpoint accepts it."""
        self._nursery.start_soon(self._run, attempt, self.in_flight.add(attempt))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt at its endpoint, in a way that depends on its progress.

        - Its response has arrived: by a DELETE.
        - Its request is not completely written: by closing the connection. The endpoint can't run the job.
        - Its request is written, but the 202 has not arrived: by both. Neither is enough alone: the 202 may
          be in transit while the job runs, or the DELETE may overtake the request. If the attempt has already
          ended, no confirmation is needed, and only the connection is closed.
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

    def cancel_with_outcome(self, attempt: Attempt, outcome: Outcome, reason: CancelReason) -> None:
        """Cancel an attempt on the initiative of upstream.

        `JobLifecycle.begin_cancellation` defines when the attempt ends with `outcome`.
        """
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
            # Contains the error in this attempt's task; in the nursery it would stop the node. It is not
            # known whether the job has run.
            self._log(AttemptError(endpoint=attempt.endpoint, error=repr(error)))
            self.cancel_with_outcome(attempt, Outcome.RESET, CancelReason.INTERNAL_ERROR)
        finally:
            self.in_flight.remove(attempt)

    async def _exchange(self, attempt: Attempt, in_flight: InFlightAttempt) -> Outcome | None:
        """Send the request and read the response.

        Returns the outcome, or None if the endpoint has accepted the job or the attempt is over.
        """
        try:
            connection = await self._sender.send(attempt, in_flight)
        except SendPreconditionError:
            return Outcome.UNSENT
        except (ConnectError, RequestIncompleteError):
            return Outcome.UNREACHABLE
        try:
            with connection.close_on_error():
                response = await self._read_response(attempt, connection)
                connection.release()
        except BrokenResponseError as error:
            if attempt.is_over:
                return None  # ended by a call-back, or cancelled
            self._pool.on_connection_broken(connection)
            return self._handle_broken_response(attempt, error)
        if response.status != HTTPStatus.ACCEPTED:
            return classify_failure(response)
        attempt.record_accepted(self._clock())
        return None

    async def _read_response(self, attempt: Attempt, connection: PooledConnection) -> Response:
        """Read the response.

        Raises:
            BrokenResponseError: the connection ended first, or the bytes are not a valid response.
            ResponseTimeoutError: no complete response arrived in time.
        """
        # A non-idempotent job can't be retried after a timeout, so it waits for as long as its client does.
        timeout = math.inf if attempt.job.is_non_idempotent else _ACCEPT_TIMEOUT_SECONDS
        with trio.move_on_after(timeout):
            return await connection.read()
        # A connection that has fallen silent must not hold the job until its deadline.
        raise ResponseTimeoutError(timeout)

    def _handle_broken_response(self, attempt: Attempt, error: BrokenResponseError) -> Outcome | None:
        """Return RESET if the endpoint or the network ended the exchange; otherwise cancel the attempt.

        If this node ends the exchange, the endpoint may have accepted the job and must be told to stop it.
        """
        if isinstance(error, ConnectionEndedError) or isinstance(error.__cause__, OSError):
            return Outcome.RESET
        is_timeout = isinstance(error, ResponseTimeoutError)
        reason = CancelReason.NO_RESPONSE if is_timeout else CancelReason.INVALID_RESPONSE
        self.cancel_with_outcome(attempt, Outcome.RESET, reason)
        return None
