"""Withdraws the attempts that wait for their 202 at endpoints that are no longer live."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.invariants import Invariant
from burlmoor.log_events import AttemptWithdrawn
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason

if TYPE_CHECKING:
    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.engine.job import Attempt
    from burlmoor.invariants import InvariantMonitor
    from burlmoor.log import EventLogger
    from burlmoor.upstream.attempts import AttemptRunner

# The time after the notification that an endpoint drains at which its unaccepted attempts are withdrawn. A
# node must stop sending to the endpoint within 0.25 s of the notification; the difference of 0.15 s is for
# stalls of the event loop.
_WITHDRAW_AFTER_SECONDS = 0.1
# The time after the same notification from which an attempt that still waits counts as a violation.
_VIOLATION_AFTER_SECONDS = 0.25


class AttemptWithdrawal:
    """Cancels the attempts that wait for their 202 at endpoints that are no longer live.

    This keeps a request that was delayed by a partition from reaching a draining endpoint.
    """

    def __init__(
        self,
        attempts: AttemptRunner,
        directory: EndpointDirectory,
        invariants: InvariantMonitor,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self._attempts = attempts
        self._directory = directory
        self._invariants = invariants
        self._nursery = nursery
        self._log = log

    def on_endpoints_not_live(self, names: frozenset[str]) -> None:
        """Withdraw the attempts at these endpoints that are not accepted in time."""
        for attempt in self._attempts.in_flight:
            if attempt.endpoint in names:
                self._nursery.start_soon(self._withdraw_unaccepted, attempt)

    async def _withdraw_unaccepted(self, attempt: Attempt) -> None:
        """Withdraw an attempt unless its endpoint accepts it in time or is live again."""
        await trio.sleep(_WITHDRAW_AFTER_SECONDS)
        in_flight = self._attempts.in_flight.find(attempt)
        if in_flight is None or attempt.is_over or self._directory.find_live(attempt.endpoint):
            return
        # A request whose last byte was not written has not run.
        outcome = Outcome.RESET if in_flight.is_written else Outcome.UNREACHABLE
        self._attempts.cancel_with_outcome(attempt, outcome, CancelReason.ENDPOINT_NOT_LIVE)
        self._log(
            AttemptWithdrawn(
                id=attempt.job.id,
                endpoint=attempt.endpoint,
                attempt=attempt.number,
                written=in_flight.is_written,
            )
        )
        await trio.sleep(_VIOLATION_AFTER_SECONDS - _WITHDRAW_AFTER_SECONDS)
        if self._attempts.in_flight.find(attempt) is in_flight:
            self._invariants.record_violation(
                Invariant.WITHDRAW, job_id=attempt.job.id, endpoint=attempt.endpoint
            )
