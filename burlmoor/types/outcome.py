"""How an attempt ended."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"

    @property
    def proves_not_started(self) -> bool:
        """True where the outcome proves that the attempt did not run."""
        return self in _PROVES_NOT_STARTED


_PROVES_NOT_STARTED = frozenset((Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.UNSENT))
