"""How long a node may rely on the endpoint list that it has, where discovery is polled.

Pure: no socket and no clock; times are in seconds. While no call shows that discovery can be reached, changes
may have been made that the node has not heard of. From the notification deadline on it counts as notified of
them, so from then on it must not send on the list that it has. A process whose first calls meet silence must
not send on the list that it was started with, which may be of any age.

What shows that discovery can be reached is an answer of any kind, and also a refused or reset connection:
while discovery itself is down nothing counts as notified, and the node goes on with its list. Silence shows
nothing: a node that is cut off looks the same as one whose discovery hangs. When a partition heals, calls
that it held back may be reset, so after a silence one such failure shows nothing either; the second in a row
does.

Where lists are pushed, the agent is on this machine; it is silent while discovery is down, and the list
stays valid.
"""

from __future__ import annotations

import math

from burlmoor.discovery.schedule import NOTIFICATION_SECONDS, CallResult

_ADDRESS_CHANGE_SECONDS = 4.0  # after a new address of discovery, until its changes count as notified
_SILENT_RESULTS = frozenset((CallResult.TIMED_OUT, CallResult.UNREACHABLE))


class ListTrust:
    """Owns since when discovery has been silent: `expires_at` says until when the list may be relied on."""

    def __init__(self, has_agent: bool) -> None:
        self._has_agent = has_agent
        self._silent_since = math.inf
        self._call_started_at = 0.0
        self._is_confirmed = False  # whether this process has heard of discovery
        self._has_failed_after_silence = False

    def on_call_started(self, now: float) -> None:
        """Take note that a call is made now."""
        self._call_started_at = now

    def on_call_ended(self, result: CallResult, now: float) -> None:
        """Take in how the last call ended."""
        if result in _SILENT_RESULTS:
            # The list that a process is started with may be of any age.
            since = self._call_started_at if self._is_confirmed else -math.inf
            self._silent_since = min(self._silent_since, since)
            self._has_failed_after_silence = False
        elif self.is_doubtful(result, now):
            self._has_failed_after_silence = True
        else:
            self._silent_since = math.inf
            self._has_failed_after_silence = False
            self._is_confirmed = True

    def is_doubtful(self, result: CallResult, now: float) -> bool:
        """Return whether a call that ends so now may have been held back by a partition until it healed."""
        is_after_silence = now >= self.expires_at()
        return result is CallResult.FAILED and is_after_silence and not self._has_failed_after_silence

    def on_address_changed(self, now: float) -> None:
        """Take note that discovery is at another address, whose changes count as notified sooner."""
        self._silent_since = min(self._silent_since, now + _ADDRESS_CHANGE_SECONDS - NOTIFICATION_SECONDS)

    def expires_at(self) -> float:
        """Return until when the list may be relied on as things are; infinite while discovery answers."""
        return math.inf if self._has_agent else self._silent_since + NOTIFICATION_SECONDS
