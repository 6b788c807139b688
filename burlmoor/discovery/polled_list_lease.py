"""The lease on a list that the node polls from discovery.

The node counts as notified of a change at the latest `NOTIFICATION_SECONDS` later, so a list is valid for
that long after discovery last confirmed it. What renews the lease:

- an answer; the lease counts from the start of the call if the answer is late, since a process that was
  stalled may read an old answer;
- a response with a status other than 200, or without a valid list. Discovery can be reached and is assumed
  to be down; while it is down, no node counts as notified of anything. An overloaded discovery rejects calls
  in the same way, after the same time, so a node can't distinguish the two (docs/watch-design.md);
- a call that is refused or reset, for the same reason.

What does not renew it:

- silence (no response, or no connection): a node can't distinguish a partition from a discovery that hangs;
- the first refusal or reset after a silence, which a partition may have delayed; the second in a row renews
  the lease;
- after the lease has expired, anything but an answer.
"""

from __future__ import annotations

import math

from burlmoor.discovery.list_lease import SILENT_RESULTS, ListLease
from burlmoor.discovery.schedule import NOTIFICATION_SECONDS, CallResult

_ANSWER_ALLOWANCE_SECONDS = 0.5  # beyond a call's wait; an answer that is read later may be old
_QUEUE_ALLOWANCE_SECONDS = 2.5  # the same for a call that discovery rejected, perhaps after its queue timeout


class PolledListLease(ListLease):
    """The lease on a list that the node polls from discovery."""

    def __init__(self) -> None:
        super().__init__()
        self._call_started_at = 0.0
        self._call_wait_seconds = 0.0
        self._failures_since_silence = 0  # in a row; also reset when the lease is renewed
        # How many failures in a row renew the lease; infinite if only an answer renews it.
        self._failures_needed = math.inf

    def on_call_started(self, now: float, wait_seconds: float) -> None:
        """Record that a call starts now; discovery may hold its answer back for `wait_seconds`."""
        self._call_started_at = now
        self._call_wait_seconds = wait_seconds

    def on_call_ended(self, result: CallResult, now: float) -> None:
        """Renew the lease if the result of the last call confirms the list."""
        if result is CallResult.ANSWERED:
            self._renew(now, _ANSWER_ALLOWANCE_SECONDS)
        elif result in SILENT_RESULTS:
            self._on_silence()
        else:
            self._on_failure(result, now)

    def _on_silence(self) -> None:
        self._failures_since_silence = 0
        self._failures_needed = max(2, self._failures_needed)

    def _on_failure(self, result: CallResult, now: float) -> None:
        self._failures_since_silence += 1
        if not self.is_confirmed or now >= self._expires_at:
            self._failures_needed = math.inf
        elif result is not CallResult.REFUSED_OR_RESET:
            self._failures_needed = 1  # a response shows that discovery can be reached
        if self._failures_since_silence >= self._failures_needed:
            self._renew(now, _QUEUE_ALLOWANCE_SECONDS)

    def _renew(self, now: float, allowance_seconds: float) -> None:
        """Renew the lease as of now, or as of the start of the call if the response is late."""
        latest = self._call_started_at + self._call_wait_seconds + allowance_seconds
        confirmed_at = now if now <= latest else self._call_started_at
        self.is_confirmed = True
        self._expires_at = confirmed_at + NOTIFICATION_SECONDS
        self._failures_since_silence = 0
        self._failures_needed = 1

    @property
    def awaits_second_failure(self) -> bool:
        """Whether the last call was the first failure since a silence (or the start), and renewed no lease.

        A partition that has just healed may have delayed that failure, so the next call is to follow soon.
        """
        return self._failures_since_silence == 1 and self._failures_needed > 1
