"""The lease on a list that discovery pushes to an agent on the node's machine, which the node calls.

The node counts as notified of every change that the agent has. So only an answer of the agent gives a lease.
While discovery is down the agent is silent and receives no changes, so its silence does not end the lease, if
the silent call follows directly on an answer. After a call that failed in another way, the agent may have
received changes before it fell silent, so the silence ends the lease, until the next answer.
"""

from __future__ import annotations

import math

from burlmoor.discovery.list_lease import SILENT_RESULTS, ListLease
from burlmoor.discovery.schedule import CallResult


class PushedListLease(ListLease):
    """The lease on a list that an agent on this machine pushes."""

    def __init__(self) -> None:
        super().__init__()
        # Whether a call has failed since the last answer, in another way than by silence.
        self._may_miss_changes = False

    def on_call_started(self, now: float, wait_seconds: float) -> None:
        """Do nothing: an answer confirms the list, whenever its call started."""

    def on_call_ended(self, result: CallResult, now: float) -> None:
        """Renew the lease if the agent has answered; end it if the agent may have unknown changes."""
        if result is CallResult.ANSWERED:
            self._renew()
        elif result in SILENT_RESULTS:
            self._on_silence(now)
        else:
            self._may_miss_changes = True

    def _renew(self) -> None:
        self.is_confirmed = True
        self._expires_at = math.inf
        self._may_miss_changes = False

    def _on_silence(self, now: float) -> None:
        if self.is_confirmed and self._may_miss_changes:
            self._expires_at = min(self._expires_at, now)
