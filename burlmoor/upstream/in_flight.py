"""The attempts that wait for their 202, and the withdrawal of those whose endpoint stops being live."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from burlmoor.invariants import Invariant
from burlmoor.log_events import AttemptWithdrawn
from burlmoor.types.outcome import Outcome
from burlmoor.types.reasons import CancelReason, CloseReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.endpoints.directory import EndpointDirectory
    from burlmoor.engine.job import Attempt
    from burlmoor.invariants import InvariantMonitor
    from burlmoor.log import EventLogger
    from burlmoor.upstream.connection import PooledConnection

# After an endpoint was notified to drain, until its unaccepted attempts are withdrawn. The drain rule gives
# 0.25 s, of which a node may be held up for 0.15 s.
_WITHDRAW_AFTER_SECONDS = 0.1
# The same, until one that is still there counts as a violation: the node may have been busy.
_WITHDRAWN_AFTER_SECONDS = 0.25


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that waits for its 202."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    connection: PooledConnection | None = None  # from the request's first byte on
    is_written: bool = False  # whether the request's last byte has been written

    def abort(self) -> None:
        """Let nothing more of the request go out, from this moment on."""
        if self.connection is not None:
            self.connection.close(CloseReason.ATTEMPT_CANCELLED)
        self.scope.cancel()


class InFlightAttempts:
    """Owns the attempts that wait for their 202; withdraws those whose endpoint stops being live."""

    def __init__(
        self,
        invariants: InvariantMonitor,
        abandon: Callable[[Attempt, Outcome, CancelReason], None],
        directory: EndpointDirectory,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self._invariants = invariants
        self._abandon = abandon
        self._directory = directory
        self._nursery = nursery
        self._log = log
        self._by_attempt: dict[Attempt, InFlightAttempt] = {}
        directory.observe_liveness(self)

    def __len__(self) -> int:
        return len(self._by_attempt)

    def add(self, attempt: Attempt) -> InFlightAttempt:
        """Add an attempt that is about to start."""
        self._by_attempt[attempt] = in_flight = InFlightAttempt()
        return in_flight

    def find(self, attempt: Attempt) -> InFlightAttempt | None:
        """Return the state of an attempt; None if its response has come, or its connection has broken."""
        return self._by_attempt.get(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended, or was accepted."""
        del self._by_attempt[attempt]

    def on_endpoints_not_live(self, names: frozenset[str]) -> None:
        """Withdraw, soon, the attempts at these endpoints that are not accepted by then."""
        for attempt in self._by_attempt:
            if attempt.endpoint in names:
                self._nursery.start_soon(self._withdraw_unaccepted, attempt)

    async def _withdraw_unaccepted(self, attempt: Attempt) -> None:
        """Withdraw an attempt unless its endpoint accepts it within the grace.

        Without this, a request that a partition holds back would arrive at an endpoint that drains.
        """
        await trio.sleep(_WITHDRAW_AFTER_SECONDS)
        in_flight = self._by_attempt.get(attempt)
        if in_flight is None or attempt.is_cancelling or self._directory.find_live(attempt.endpoint):
            return
        # A request of which not all was written has not run.
        outcome = Outcome.RESET if in_flight.is_written else Outcome.UNREACHABLE
        self._abandon(attempt, outcome, CancelReason.ENDPOINT_NOT_LIVE)
        self._log(
            AttemptWithdrawn(
                id=attempt.job.id,
                endpoint=attempt.endpoint,
                attempt=attempt.number,
                written=in_flight.is_written,
            )
        )
        await trio.sleep(_WITHDRAWN_AFTER_SECONDS - _WITHDRAW_AFTER_SECONDS)
        if self._by_attempt.get(attempt) is in_flight:
            self._invariants.record_violation(
                Invariant.WITHDRAW, job_id=attempt.job.id, endpoint=attempt.endpoint
            )
