"""The life of a node's watch on discovery: when it calls, what for, and when an answer is overdue.

Pure: no socket and no clock. It is told how each call ended and says what the next one is. All times are in
seconds.

What this rests on, of the protocol: what a watch that has fallen silent misses counts as told `_TOLD` after
it fell silent, and after a call that failed, was refused or was given up, a change counts as told `_TOLD`
after discovery had it and could be reached. Neither moment is seen from here. Discovery may have had the
change, and been within reach, from the moment on in which the call was made, so all is counted from there,
and the next call's answer has to be there `_TOLD` later. A new call may stand in discovery's queue for
`_TURN` before it is answered or fails. So whatever became of a call,

    from when it was made until the next is made: at most _TOLD - turn 2.0 = 4.0

where a call that is given up in its turn (turn 2.0, and the wait of 0.1) leaves 1.9 to spread the next
over, and a watch that falls silent (wait 1.0, late 0.5) leaves 2.5. A silent watch looks as one without news
does: all that shows it is an answer that is overdue. A call that goes on from an answer stands in no queue
and costs discovery nothing, so the wait may be short. A node that has just started is held to its old list
for as long as the settings give for asking, which may be less, and to four times that after a failed call.

Where lists are pushed, the address is an agent on this machine that answers at once and at no cost. What it
has counts as told, watch or no watch, so nothing is spread or put off there: a call that went wrong is made
anew well within the drain rule's 250 ms, and until the agent answers again its calls wait no longer either.
"""

from __future__ import annotations

import enum
import math
import random
from typing import NamedTuple

_TOLD = 6.0
_WAIT, _LATE = 1.0, 0.5
_TURN = 2.0  # how long a call waits in its turn at discovery at most before it fails there
_A_CALL = 0.2  # what discovery is taken to need for one call
_BACKOFF = (0.1, 2.0)  # before the first call after a failure, and at most, where a fleet's calls fit
_LEAST = 0.25  # of the spread passes before the first call after a failure
_FAILED_CALL = 4.0  # times as long as the settings say a node may go without asking after a failed call
_IN_DOUBT = 0.1  # the wait of calls that open a watch anew: whether they are answered shows soon
_AGENT_AGAIN = 0.1  # before a new call to an agent, where one has failed
_AGENT_LATE = 0.1  # the allowance for its answers while it is silent


class CallResult(enum.Enum):
    """How a call to discovery ended."""

    ANSWERED = enum.auto()  # with a list
    SILENT = enum.auto()  # nothing came in time
    FAILED = enum.auto()  # refused, reset, 503
    UNREADABLE = enum.auto()  # with something that is no list


class DiscoveryCall(NamedTuple):
    """The next call: when, what for, and how long its answer may take."""

    at: float
    is_full_list: bool  # for the whole list, else a watch
    wait_seconds: float  # how long a watch may wait for news
    timeout_seconds: float


class WatchSchedule:
    """Owns what is known of the watch. `next` says which call is due, `ended` hears what became of it."""

    def __init__(self, balancers: int, ask_within: float, pushed: bool, rng: random.Random) -> None:
        self._pushed, self._rng = pushed, rng
        # What is there before a call is made counts as told so long after it, if it fails; and an old list.
        self._old, self._failed = min(_TOLD, ask_within), min(_TOLD, _FAILED_CALL * ask_within)
        # Guards against a herd: what a fleet asks at once fills the queue, every call there then waits until
        # it fails, and calls made again after a moment keep it full. A fleet whose calls fit asks at once.
        self.spread = 0.0 if pushed else max(0.0, min(_TOLD, _A_CALL * balancers) - _TURN)
        self.failures = 0  # in a row
        self._whole = self._asked_whole = False  # wanted with the next call; asked for with the last
        self._at = 0.0  # when the next call is due
        self._open = False  # whether the last call was answered, so that the next goes on from it
        self._doubt = False  # whether the watch has broken, or an agent is silent
        self._told_at = math.inf  # when what may have been missed counts as told, whether or not it came
        self._made = self._heard = 0.0  # when the last call was made, and the last answer came

    def on_start(self, now: float, has_list: bool) -> None:
        """The node starts, perhaps with an old list; without one it asks for the whole."""
        self._whole, self._heard = not has_list, now
        room = max(0.0, min(self.spread, self._old - _TURN))
        self._at = now + (self._rng.uniform(0.0, room) if has_list else 0.0)

    def next_call(self) -> DiscoveryCall:
        """The call that is due next. A watch without news is answered when its wait is over."""
        wait = _IN_DOUBT if self._doubt else _WAIT
        late = _LATE if self._open or self._pushed else _TURN
        if self._doubt and self._pushed:
            late = _AGENT_LATE
        return DiscoveryCall(self._at, self._whole, wait, late + (0.0 if self._whole else wait))

    def on_call_started(self, now: float) -> None:
        """The call that is due goes out."""
        self._made, self._asked_whole = now, self._whole

    def on_call_ended(self, end: CallResult, now: float) -> None:
        """What became of the call that was made last."""
        self._open, self._at = end is CallResult.ANSWERED, now
        if end is CallResult.ANSWERED:
            self.failures, self._told_at, self._doubt, self._heard = 0, math.inf, False, now
            self._whole = self._whole and not self._asked_whole  # asked for again until it has come
            return
        self.failures, self._doubt = self.failures + 1, True
        silent = end is CallResult.SILENT
        allowed = _TOLD if silent else self._failed
        self._told_at = min(self._told_at, self._made + allowed)
        if self._pushed:
            self._at += 0.0 if silent else _AGENT_AGAIN
            return
        # Silence is no sign that discovery is unwell, so a small fleet asks again at once.
        backoff = 0.0 if silent else min(_BACKOFF[1], _BACKOFF[0] * 2.0 ** min(self.failures - 1, 16))
        least = 0.0 if silent else max(0.5 * backoff, _LEAST * self.spread)
        by = self._told_at - _TURN
        if by - now <= least:  # too late for what came first: for what has come since this call was made
            by = self._made + allowed - _TURN
        room = max(min(least, 0.5 * _BACKOFF[0]), by - now)  # guards against a spin
        self._at += self._rng.uniform(min(least, room), min(max(backoff, self.spread), room))

    def notification_deadline(self) -> float:
        """When what may have been missed counts as told, whether or not it came; infinite if nothing is."""
        return self._told_at

    def age(self, now: float) -> float:
        """How long ago discovery last answered."""
        return now - self._heard

    def request_full_list(self) -> None:
        """The whole list is wanted with the next call."""
        self._whole = True

    def on_address_changed(self, now: float) -> None:
        """Discovery is at another address, whose versions are its own: ask for the whole list at once."""
        self.failures, self._whole, self._at = 0, True, now
        self._open, self._doubt, self._told_at = False, False, math.inf
