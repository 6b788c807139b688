"""The rules on attempts that must hold on every path, and the count of each violation seen at run time.

The guards that enforce these rules (`engine/attempt_guard.py`, `upstream/send_precondition.py`) refuse any
step that would break one. Each such step is counted here, whether or not a guard refused it, because the
attempt to take it is already a defect of the node.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from msgspec import UNSET

from burlmoor.log_events import InvariantViolated

if TYPE_CHECKING:
    from msgspec import UnsetType

    from burlmoor.log import EventLogger


class Invariant(Enum):
    """A rule that must always hold; the value is its name in the log."""

    SEND = "send"  # a request is written only to the current process of a live endpoint
    WITHDRAW = "withdraw"  # no unaccepted request remains at an endpoint that is no longer live
    REPEAT = "repeat"  # a non-idempotent job that may have run is not sent again
    REPEAT_WINDOW = "repeat-window"  # a job with an idempotency key is sent again only within its window
    SIMULTANEOUS = "simultaneous"  # no more attempts of a job are open concurrently than settings allow
    NO_WRITE_AFTER_CLOSE = "start"  # nothing is written for a job that is closed
    RESET_ON_CLOSE = "close"  # a connection with an unanswered request is closed by a reset


class InvariantMonitor:
    """Counts the violations of each invariant and logs each one."""

    def __init__(self, log: EventLogger) -> None:
        self._log = log
        self._counts: Counter[Invariant] = Counter()

    def record_violation(
        self,
        invariant: Invariant,
        *,
        job_id: str | UnsetType = UNSET,
        endpoint: str | UnsetType = UNSET,
        attempt: int | UnsetType = UNSET,
        address: str | UnsetType = UNSET,
    ) -> None:
        """Count one violation, and log where it was seen."""
        self._counts[invariant] += 1
        self._log(
            InvariantViolated(
                invariant=invariant.value,
                count=self._counts[invariant],
                id=job_id,
                endpoint=endpoint,
                attempt=attempt,
                address=address,
            )
        )

    def counts(self) -> dict[str, int]:
        """Return how often each invariant was violated, by its name; those never violated are omitted."""
        return {invariant.value: count for invariant, count in self._counts.items()}
