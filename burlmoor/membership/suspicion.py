"""Tracks the suspicions of unresponsive members: the nodes that suspect them, and timeouts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.membership.parameters import ProtocolParameters


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member."""

    started_at: float
    suspected_by: set[str] = field(
        default_factory=set
    )  # all nodes known to suspect the member, the first included


class SuspicionTimers:
    """The suspicions of all suspected members (SWIM's suspicion subprotocol)."""

    def __init__(self, parameters: ProtocolParameters) -> None:
        self._parameters = parameters
        self._suspicions: dict[str, Suspicion] = {}

    def start(self, name: str, suspected_by: str, now: float) -> None:
        """Start the suspicion of a member."""
        self._suspicions[name] = Suspicion(now, {suspected_by})

    def confirm(self, name: str, suspected_by: str) -> None:
        """Record that another node also suspects a suspected member."""
        self._suspicions[name].suspected_by.add(suspected_by)

    def cancel(self, name: str) -> None:
        """End a member's suspicion, if there is one."""
        self._suspicions.pop(name, None)

    def restart_all(self, now: float) -> None:
        """Restart the timeouts of all suspicions."""
        for suspicion in self._suspicions.values():
            suspicion.started_at = now

    def find_expired(self, now: float) -> list[str]:
        """Return the members whose suspicion has timed out, in the order in which they became suspect."""
        return [
            name
            for name, suspicion in self._suspicions.items()
            if now >= suspicion.started_at + self._timeout(len(suspicion.suspected_by))
        ]

    def _timeout(self, suspecting_count: int) -> float:
        """Return the timeout of a suspicion in seconds; each suspecting node shortens it (Lifeguard)."""
        parameters = self._parameters
        fanout = parameters.ping_request_fanout
        confirmed_fraction = math.log(min(suspecting_count, fanout) + 1.0) / math.log(fanout + 1.0)
        return parameters.min_suspicion_timeout * (
            1.0 + (1.0 - confirmed_fraction) * (parameters.max_suspicion_multiplier - 1.0)
        )
