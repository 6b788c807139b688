"""Tracks the attempts that wait for their 202."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from burlmoor.types.reasons import CloseReason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.engine.job import Attempt
    from burlmoor.upstream.connection import PooledConnection


# How long the response may follow the call-back that ended the attempt, so that the connection is reusable.
_LATE_RESPONSE_GRACE_SECONDS = 0.05


@dataclass(slots=True)
class InFlightAttempt:
    """The sending state of an attempt that waits for its 202; `RequestSender` updates it."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    connection: PooledConnection | None = None  # None until its request is about to be written
    is_written: bool = False  # whether the request's last byte has been written

    def abort(self) -> None:
        """Close the connection and cancel the task, so that no further byte of the request is sent."""
        if self.connection is not None:
            self.connection.close(CloseReason.ATTEMPT_CANCELLED)
        self.scope.cancel()

    def on_attempt_ended(self) -> None:
        """Limit the wait for the response, which no longer matters: a call-back has reported the outcome."""
        self.scope.deadline = min(self.scope.deadline, trio.current_time() + _LATE_RESPONSE_GRACE_SECONDS)


class InFlightAttempts:
    """Owns the sending state of each attempt that waits for its 202."""

    def __init__(self) -> None:
        self._by_attempt: dict[Attempt, InFlightAttempt] = {}

    def __len__(self) -> int:
        return len(self._by_attempt)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(self._by_attempt)

    def add(self, attempt: Attempt) -> InFlightAttempt:
        """Add an attempt that is about to start."""
        self._by_attempt[attempt] = in_flight = InFlightAttempt()
        attempt.notify_on_end(in_flight.on_attempt_ended)
        return in_flight

    def find(self, attempt: Attempt) -> InFlightAttempt | None:
        """Return the state of an attempt; None if its response has arrived or its connection has broken."""
        return self._by_attempt.get(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that was accepted or has ended."""
        del self._by_attempt[attempt]
