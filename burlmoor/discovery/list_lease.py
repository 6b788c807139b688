"""The lease on the endpoint list: how long a node may use the list that it has.

Pure: no socket and no clock; times are in seconds. Discovery may change the list at any moment, and a node
counts as notified of a change at the latest `NOTIFICATION_SECONDS` later, whether or not the change has
arrived. So a list is valid for that long after discovery last confirmed it. The lease is checked before each
send: a process that was stalled may reach a send before the timer that ends the lease.

What renews the lease:

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

A process that has just started has a list of unknown age. It has no lease until discovery has answered with
a list: changes announced before the start count as notified even if discovery is down now.

Where lists are pushed, the calls go to an agent on this machine, and the node counts as notified of every
change that the agent has: of changes from before the start of a process at once, and of those that an agent
at a new address has `_ADDRESS_CHANGE_SECONDS` after the address change. So only an answer renews the lease,
which from then on does not expire by time alone: an agent that falls silent after an answer has no new
changes, since discovery is down. An agent that falls silent after a call that failed in another way may have
received changes in between, so that silence ends the lease.
"""

from __future__ import annotations

import math

from burlmoor.discovery.schedule import NOTIFICATION_SECONDS, CallResult

# How long a process that has just started waits for discovery before it starts without it: a first call may
# be queued for 2 s, and a fleet's first calls are spread over 2.5 s.
FIRST_CONTACT_SECONDS = 5.0
# From a change of discovery's address until the node counts as notified of changes announced there.
_ADDRESS_CHANGE_SECONDS = 4.0
_ANSWER_ALLOWANCE_SECONDS = 0.5  # beyond a call's wait; an answer that is read later may be old
_QUEUE_ALLOWANCE_SECONDS = 2.5  # the same for a call that discovery rejected, perhaps after its queue timeout
_SILENT_RESULTS = frozenset((CallResult.TIMED_OUT, CallResult.UNREACHABLE))


class ListLease:
    """Keeps the time until which the endpoint list may be used.

    `has_agent` is whether an agent on this machine pushes the lists.
    """

    def __init__(self, *, has_agent: bool) -> None:
        self._has_agent = has_agent
        self.is_confirmed = False  # whether discovery has answered this process with a list
        self._expires_at = math.inf
        self._call_started_at = 0.0
        self._call_wait_seconds = 0.0
        self._failures_since_silence = 0  # in a row; also reset when the lease is renewed
        # How many failures in a row renew the lease; infinite if only an answer renews it.
        self._failures_needed = math.inf

    def on_start(self, now: float) -> None:
        """Record that the calls begin now; the list is to be suspended unless discovery answers in time."""
        self._expires_at = now + FIRST_CONTACT_SECONDS

    def on_call_started(self, now: float, wait_seconds: float) -> None:
        """Record that a call starts now; discovery may hold its answer back for `wait_seconds`."""
        self._call_started_at = now
        self._call_wait_seconds = wait_seconds

    def on_call_ended(self, result: CallResult, now: float) -> None:
        """Renew the lease if the result of the last call confirms the list."""
        if result is CallResult.ANSWERED:
            self._renew(now, _ANSWER_ALLOWANCE_SECONDS)
        elif result in _SILENT_RESULTS:
            self._on_silence(now)
        else:
            self._on_failure(result, now)

    def _on_silence(self, now: float) -> None:
        if self._has_agent and self.is_confirmed and self._failures_since_silence > 0:
            # The agent may have received changes between the failure and this silence.
            self._expires_at = min(self._expires_at, now)
        self._failures_since_silence = 0
        self._failures_needed = max(2, self._failures_needed)

    def _on_failure(self, result: CallResult, now: float) -> None:
        self._failures_since_silence += 1
        if self._has_agent or not self.is_confirmed or now >= self._expires_at:
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
        self._expires_at = math.inf if self._has_agent else confirmed_at + NOTIFICATION_SECONDS
        self._failures_since_silence = 0
        self._failures_needed = math.inf if self._has_agent else 1

    @property
    def awaits_second_failure(self) -> bool:
        """Whether the last call was the first failure since a silence (or the start), and renewed no lease.

        A partition that has just healed may have delayed that failure, so the next call is to follow soon.
        """
        return self._failures_since_silence == 1 and self._failures_needed > 1

    def on_address_changed(self, now: float) -> None:
        """Shorten the lease: the node counts as notified sooner of changes at a new address."""
        self._expires_at = min(self._expires_at, now + _ADDRESS_CHANGE_SECONDS)

    def is_valid(self, now: float) -> bool:
        """Return whether the list may be used now."""
        return self.is_confirmed and now < self._expires_at

    def expires_at(self) -> float:
        """Return when the list has to be suspended unless the lease is renewed before then."""
        return self._expires_at
