"""The outcomes of an attempt (protocol: "Nodes to executors")."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"  # the endpoint returned a result
    ERROR = "error"  # the endpoint reported a failure; the job may have run
    OVERLOADED = "full"  # rejected or handed back by the endpoint, not started
    TIMEOUT = "timeout"  # the node stopped waiting; the job may have run, or may still run
    UNREACHABLE = "unreachable"  # no connection, or it broke before the request was written
    RESET = "reset"  # the connection or the job's process was lost; the job may have run
    CANCELLED = "cancelled"  # the node cancelled it; the job may have run
    UNSENT = "unsent"  # never sent: the job had ended, or had no time or attempts left

    @property
    def proves_not_started(self) -> bool:
        """Whether the outcome proves that the job did not run in this attempt."""
        return self in _PROVES_NOT_STARTED


_PROVES_NOT_STARTED = frozenset((Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.UNSENT))
