"""The schedule of calls to discovery: when the next one starts, what it requests, when it times out.

Pure: no socket and no clock. The caller reports how each call ended, and the schedule returns the next one.
All times are in seconds. A *watch* is a long poll: discovery answers it once something has changed, or when
its wait is over.

The constants follow from the protocol (docs/watch-design.md). Each change of the list has a notification
deadline, from which on the node counts as notified of it, whether or not the change has arrived:

- if a watch falls silent: `NOTIFICATION_SECONDS` after it fell silent, for all changes that it misses;
- if a call failed, was rejected or timed out: `NOTIFICATION_SECONDS` after discovery had the change and
  could be reached; unless it timed out, `_FAILED_CALL_FACTOR` times the poll interval of the settings, if
  that is shorter.

A node can observe neither moment. The earliest that either can be is the start of the call, so the deadline
is counted from there, and the answer to the next call has to arrive before it. A new call may be in
discovery's queue for `_QUEUE_TIMEOUT_SECONDS` before it is answered or fails. So, however a call ends,

    from its start to the start of the next: at most NOTIFICATION_SECONDS - _QUEUE_TIMEOUT_SECONDS = 4.0

Jitter, which spreads the next calls of a fleet, has to fit into what the duration of the call leaves of this:

    a call that times out in the queue (queue timeout 2.0, wait 0.1, allowance 0.5) leaves 1.4
    a watch that falls silent (wait 1.0, allowance 0.5) leaves 2.5

A silent watch looks like one without changes; the only indication is that its answer is overdue. A call that
follows directly on an answer is not queued and costs discovery nothing, so the wait may be short. A node that
has just started uses its cached list only once discovery has answered (`list_lease.py`).

Where lists are pushed, the address is that of an agent on this machine, which answers immediately and at no
cost. The node counts as notified of every change that the agent has, with or without a watch. From 250 ms
after that, it may send no new work to an endpoint that drains (the drain rule). So there is no jitter and no
growing backoff: a failed call is repeated well within these 250 ms, and until the agent answers again, calls
to it do not wait longer than that either.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

NOTIFICATION_SECONDS = 6.0
_WATCH_WAIT_SECONDS = 1.0
_OVERDUE_ALLOWANCE_SECONDS = 0.5  # beyond a call's wait and its time in the queue; then its answer is overdue
_QUEUE_TIMEOUT_SECONDS = 2.0  # in discovery's queue, after which a new call fails
_CALL_COST_SECONDS = 0.2  # of discovery's time, per new call
# A process sends no jobs before its first call, so the first calls are spread no further than necessary: the
# calls of a fleet are 4 s of work for discovery, and no call may be queued for over 2 s.
_MAX_FIRST_JITTER_SECONDS = 2.5
# The delay before the next call if discovery was unreachable, or the lease awaits a second failure. It may
# be short: an unreachable discovery has not seen the last call, and a partitioned node needs an answer soon
# after the partition heals.
_MIN_RECONNECT_SECONDS = 0.05
_MAX_RECONNECT_SECONDS = 0.25
_MIN_BACKOFF_SECONDS = 0.1  # before the first call after a failure, if the fleet needs no jitter
_MAX_BACKOFF_SECONDS = 2.0
_MAX_BACKOFF_DOUBLINGS = 16
_MIN_JITTER_FRACTION = 0.25  # of the maximum jitter; the least delay after a failure
_FAILED_CALL_FACTOR = 4.0  # times the poll interval: notification deadline after a failure
_SHORT_WAIT_SECONDS = 0.1  # the wait of a watch that should be answered soon: after a failure, at the start
_AGENT_RETRY_SECONDS = 0.05  # before the next call to an agent after a failure
_AGENT_ALLOWANCE_SECONDS = 0.1  # until an agent's answer is overdue, after a failure or at the start


class CallResult(enum.Enum):
    """How a call to discovery ended."""

    ANSWERED = enum.auto()  # with a list
    TIMED_OUT = enum.auto()  # no answer in time
    UNREACHABLE = enum.auto()  # no connection, or it broke without a reaction of discovery
    REFUSED_OR_RESET = enum.auto()  # or another error that shows that discovery can be reached
    REJECTED = enum.auto()  # answered with a status other than 200
    INVALID = enum.auto()  # answered with something that is not a list


class DiscoveryCall(NamedTuple):
    """A call to make: when it starts, what it requests, and how long its answer may take."""

    start_at: float
    is_full_list: bool  # False: a watch, which requests changes
    wait_seconds: float  # how long discovery may hold a watch open until something changes
    timeout_seconds: float


class WatchSchedule:
    """Schedules the calls: `next_call` returns the next one, `on_call_ended` handles how one ended.

    `poll_interval_seconds` is the longest time between two polls according to the settings; `has_agent` is
    whether lists are pushed, so that the calls go to an agent on this machine.
    """

    def __init__(
        self, node_count: int, poll_interval_seconds: float, rng: random.Random, *, has_agent: bool
    ) -> None:
        self._has_agent = has_agent
        self._rng = rng
        # From the start of a call that failed, but did not time out, to its notification deadline.
        self._failed_call_deadline_seconds = min(
            NOTIFICATION_SECONDS, _FAILED_CALL_FACTOR * poll_interval_seconds
        )
        # Without jitter, the simultaneous calls of a large fleet fill discovery's queue (a thundering herd):
        # every call waits there until it fails, and immediate retries keep the queue full. There is no
        # jitter if the calls of the whole fleet fit into the queue timeout.
        fleet_seconds = min(NOTIFICATION_SECONDS, _CALL_COST_SECONDS * node_count)
        self._max_jitter_seconds = 0.0 if has_agent else max(0.0, fleet_seconds - _QUEUE_TIMEOUT_SECONDS)
        self._max_first_jitter_seconds = min(self._max_jitter_seconds, _MAX_FIRST_JITTER_SECONDS)
        self.failures = 0  # calls in a row that returned no list
        self._is_full_list_wanted = False  # with the next call
        self._was_full_list_requested = False  # by the last call
        self._next_start = 0.0
        self._follows_answer = False  # whether the next call directly follows an answer
        self._needs_prompt_answer = False  # whether the next call should be answered soon
        self._notification_deadline = math.inf
        self._last_start = 0.0
        self._last_answer = 0.0

    def on_start(self, now: float, *, has_list: bool) -> None:
        """Schedule the first call; a node without a list requests the full one immediately."""
        self._is_full_list_wanted = not has_list
        self._needs_prompt_answer = has_list  # so that the first call is answered soon, changes or not
        self._last_answer = now
        first_jitter = self._rng.uniform(0.0, self._max_first_jitter_seconds) if has_list else 0.0
        self._next_start = now + first_jitter

    def next_call(self) -> DiscoveryCall:
        """Return the next call."""
        wait = _SHORT_WAIT_SECONDS if self._needs_prompt_answer else _WATCH_WAIT_SECONDS
        timeout = self._allowance() + (0.0 if self._is_full_list_wanted else wait)
        return DiscoveryCall(self._next_start, self._is_full_list_wanted, wait, timeout)

    def _allowance(self) -> float:
        """Return how long an answer may take beyond its call's wait."""
        if self._needs_prompt_answer and self._has_agent:
            return _AGENT_ALLOWANCE_SECONDS
        if self._follows_answer or self._has_agent:
            return _OVERDUE_ALLOWANCE_SECONDS
        # Longer than the queue timeout alone: otherwise any network delay would turn a rejection after the
        # queue timeout into a silence, and a whole fleet would suspend its lists while discovery is down.
        return _QUEUE_TIMEOUT_SECONDS + _OVERDUE_ALLOWANCE_SECONDS

    def on_call_started(self, now: float) -> None:
        """Record that the next call starts now."""
        self._last_start = now
        self._was_full_list_requested = self._is_full_list_wanted

    def on_call_ended(self, result: CallResult, now: float, *, must_retry_soon: bool = False) -> None:
        """Schedule the next call according to how the last one ended.

        With `must_retry_soon`, a failed call is repeated as soon as if discovery had been unreachable.
        """
        self._follows_answer = result is CallResult.ANSWERED
        if result is CallResult.ANSWERED:
            self._on_answer(now)
            return
        self.failures += 1
        self._needs_prompt_answer = True
        is_timeout = result is CallResult.TIMED_OUT
        deadline_seconds = NOTIFICATION_SECONDS if is_timeout else self._failed_call_deadline_seconds
        self._notification_deadline = min(self._notification_deadline, self._last_start + deadline_seconds)
        if self._has_agent:
            self._next_start = now + (0.0 if is_timeout else _AGENT_RETRY_SECONDS)
        elif must_retry_soon or result is CallResult.UNREACHABLE:
            self._next_start = now + self._rng.uniform(_MIN_RECONNECT_SECONDS, _MAX_RECONNECT_SECONDS)
        else:
            self._next_start = now + self._retry_delay(deadline_seconds, now, is_timeout=is_timeout)

    def _on_answer(self, now: float) -> None:
        self.failures = 0
        self._needs_prompt_answer = False
        self._notification_deadline = math.inf
        self._last_answer = now
        self._next_start = now
        # A full list that was requested after the start of this call is still pending.
        self._is_full_list_wanted = self._is_full_list_wanted and not self._was_full_list_requested

    def _retry_delay(self, deadline_seconds: float, now: float, *, is_timeout: bool) -> float:
        """Return a random delay before the next call, if possible so short that it can meet its deadline.

        `deadline_seconds` is the time from the start of the last call to its notification deadline.
        """
        if is_timeout:
            # Silence does not indicate an overloaded discovery, so a small fleet calls again immediately.
            backoff = min_delay = 0.0
        else:
            backoff = self._backoff()
            min_delay = max(0.5 * backoff, _MIN_JITTER_FRACTION * self._max_jitter_seconds)
        latest_start = self._notification_deadline - _QUEUE_TIMEOUT_SECONDS
        if latest_start - now <= min_delay:
            # The deadline of earlier calls can't be met any more: aim for the one counted from the last call.
            latest_start = self._last_start + deadline_seconds - _QUEUE_TIMEOUT_SECONDS
        # The lower bound delays the next call even if its deadline has passed, except after a timeout.
        max_delay = max(min(min_delay, 0.5 * _MIN_BACKOFF_SECONDS), latest_start - now)
        wanted_delay = max(backoff, self._max_jitter_seconds)
        return self._rng.uniform(min(min_delay, max_delay), min(wanted_delay, max_delay))

    def _backoff(self) -> float:
        doublings = min(self.failures - 1, _MAX_BACKOFF_DOUBLINGS)
        return min(_MAX_BACKOFF_SECONDS, _MIN_BACKOFF_SECONDS * 2.0**doublings)

    def notification_deadline(self) -> float:
        """Return when the node counts as notified of changes it may have missed; infinity if none."""
        return self._notification_deadline

    def age_seconds(self, now: float) -> float:
        """Return how long ago discovery last answered (before the first answer: since the start)."""
        return now - self._last_answer

    def request_full_list(self) -> None:
        """Request the full list with the next call."""
        self._is_full_list_wanted = True

    def on_address_changed(self, now: float) -> None:
        """Request the full list immediately: versions from another address are not comparable."""
        self.failures = 0
        self._is_full_list_wanted = True
        self._next_start = now
        self._follows_answer = False
        self._needs_prompt_answer = False
        self._notification_deadline = math.inf
