"""The lease on the endpoint list: how long a node may use the list that it has.

Pure: no socket and no clock; times are in seconds. Discovery may change the list at any moment, and a node
counts as notified of a change at some later time, whether or not the change has arrived. From then on it must
not use a list without the change. What confirms a list, and for how long, depends on how lists arrive:
`PolledListLease` and `PushedListLease`. The lease is checked before each send: a process that was stalled may
reach a send before the timer that ends the lease.

A process that has just started has a list of unknown age. It has no lease until discovery, or its agent, has
answered with a list: changes announced before the start count as notified even if discovery is down now.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from burlmoor.discovery.schedule import CallResult

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

# How long a process that has just started waits for discovery before it starts without it: a first call may
# be queued for 2 s, and a fleet's first calls are spread over 2.5 s.
FIRST_CONTACT_SECONDS = 5.0
SILENT_RESULTS: AbstractSet[CallResult] = frozenset((CallResult.TIMED_OUT, CallResult.UNREACHABLE))
# From a change of discovery's address until the node counts as notified of changes announced there.
_ADDRESS_CHANGE_SECONDS = 4.0


class ListLease(ABC):
    """Keeps the time until which the endpoint list may be used."""

    def __init__(self) -> None:
        self.is_confirmed = False  # whether discovery has answered this process with a list
        self._expires_at = math.inf

    def on_start(self, now: float) -> None:
        """Record that the calls begin now; the list is to be suspended unless discovery answers in time."""
        self._expires_at = now + FIRST_CONTACT_SECONDS

    @abstractmethod
    def on_call_started(self, now: float, wait_seconds: float) -> None:
        """Record that a call starts now; discovery may hold its answer back for `wait_seconds`."""

    @abstractmethod
    def on_call_ended(self, result: CallResult, now: float) -> None:
        """Renew the lease, or end it, as the result of the last call requires."""

    @property
    def awaits_second_failure(self) -> bool:
        """Whether the next call is to follow soon, since a second failure in a row would renew the lease."""
        return False

    def on_address_changed(self, now: float) -> None:
        """Shorten the lease: the node counts as notified sooner of changes at a new address."""
        self._expires_at = min(self._expires_at, now + _ADDRESS_CHANGE_SECONDS)

    def is_valid(self, now: float) -> bool:
        """Return whether the list may be used now."""
        return self.is_confirmed and now < self._expires_at

    def expires_at(self) -> float:
        """Return when the list has to be suspended unless the lease is renewed before then."""
        return self._expires_at
