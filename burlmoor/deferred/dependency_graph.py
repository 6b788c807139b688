"""Who waits for whom: a pure graph with events and times in, and what is to be done out.

A job is *open* from the moment the node takes it until it ends; one that waits is open too. Of each job that
ended it is remembered for a while whether it was served. A job that waits is *free* once every job that it
names
was served and its time has come; it *ends* as soon as one that it names has ended otherwise. Both are put on
a worklist and handed out by `next`, so that a chain of any length is worked off without recursion and in
pieces.

Times: `now` is ms on a clock that only goes forward; `unix` is Unix time in ms, which may step.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from burlmoor.deferred.timer_queue import Agenda


class Reason(Enum):
    """Why a job waits, or why its waiting ended."""

    JOBS = "jobs"  # a job that it names is open
    UNKNOWN = "unknown"  # a job that it names has not been heard of
    TIME = "time"  # its time has not come
    TURN = "turn"  # free, and not released yet
    PARENT = "parent"  # a job that it names was not served
    CYCLE = "cycle"  # a job that it names waits for it
    FULL = "full"  # no room to wait
    HOPELESS = "hopeless"  # what is left of its client's time does not suffice
    CLOSED = "closed"  # the node sends its clients away


@dataclass(slots=True, eq=False)
class Waiter:
    """One job that waits."""

    id: str
    since: float
    latest: float  # when it has to be released at the latest
    not_before: float
    unmet: set[str] = field(default_factory=set)  # jobs named that have not been served yet
    unknown: set[str] = field(default_factory=set)  # those of them that have not been heard of
    ending: Reason | None = None
    timely: bool = True  # whether its time has come
    tickets: list[tuple[Agenda[Waiter], int]] = field(default_factory=list)

    @property
    def free(self) -> bool:
        """Whether nothing holds it back any more."""
        return not self.unmet and self.timely and self.ending is None

    @property
    def reason(self) -> Reason:
        """Why it waits now, or why its waiting ends."""
        if self.ending is not None:
            return self.ending
        if self.unknown:
            return Reason.UNKNOWN
        if self.unmet:
            return Reason.JOBS
        return Reason.TURN if self.timely else Reason.TIME


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much a graph may hold; times in ms."""

    jobs: int
    fan_out: int
    unknown: float
    remember: float
    remembered: int


class Graph:
    """Owns every job that waits, the ids of all open ones, and how those that ended lately have ended."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.waiters: dict[str, Waiter] = {}
        self._open: set[str] = set()
        self._ended: OrderedDict[str, tuple[float, bool]] = OrderedDict()
        self._children: dict[str, dict[str, Waiter]] = {}
        self._times: Agenda[Waiter] = Agenda()  # by Unix time
        self._strangers: Agenda[Waiter] = Agenda()  # when a name not heard of has had its time
        self._latest: Agenda[Waiter] = Agenda()
        self._work: deque[Waiter] = deque()  # free or ending, in the order in which it became so

    # --- what happens ---------------------------------------------------------------------------

    def opened(self, ref: str) -> None:
        """The node has taken a job, whether it waits or not."""
        self._open.add(ref)
        self._ended.pop(ref, None)
        for child in self._children.get(ref, {}).values():
            child.unknown.discard(ref)

    def ended(self, ref: str, served: bool, now: float) -> None:
        """A job is over: served, or ended in any other way, its client's leaving included."""
        self._open.discard(ref)
        self.remove(ref)
        self._ended[ref] = (now, served)
        self._ended.move_to_end(ref)
        self._forget(now)
        for child in self._children.pop(ref, {}).values():
            if not served:
                self.turn(child, Reason.PARENT)
                continue
            child.unmet.discard(ref)
            child.unknown.discard(ref)
            if child.free:
                self._work.append(child)

    def add(
        self, ref: str, after: Iterable[str], not_before: float, latest: float, now: float, unix: float
    ) -> Waiter:
        """A job that the node has just taken (`opened`) is to wait; it may be free or ending at once."""
        waiter = Waiter(ref, now, latest, not_before)
        full = len(self.waiters) >= self.bounds.jobs
        self.waiters[ref] = waiter
        self._forget(now)
        names = [name for name in after if not self._served(name)]
        if full or any(len(self._children.get(name, ())) >= self.bounds.fan_out for name in names):
            self.turn(waiter, Reason.FULL)
        elif any(name in self._ended for name in names):
            self.turn(waiter, Reason.PARENT)
        elif latest <= now or not_before - unix > latest - now:
            self.turn(waiter, Reason.HOPELESS)
        elif self._reaches(names, ref):
            self.turn(waiter, Reason.CYCLE)
        else:
            self._link(waiter, names, now, unix)
        return waiter

    def _link(self, waiter: Waiter, names: list[str], now: float, unix: float) -> None:
        waiter.unmet.update(names)
        waiter.unknown.update(name for name in names if name not in self._open)
        for name in names:
            self._children.setdefault(name, {})[waiter.id] = waiter
        self._note(self._latest, waiter.latest, waiter)
        if waiter.unknown:
            self._note(self._strangers, now + self.bounds.unknown, waiter)
        if waiter.not_before > unix:
            waiter.timely = False
            self._note(self._times, waiter.not_before, waiter)
        if waiter.free:
            self._work.append(waiter)

    def remove(self, ref: str) -> None:
        """A job waits no longer: released, or over. Those that wait for it go on waiting."""
        waiter = self.waiters.pop(ref, None)
        if waiter is None:
            return
        for agenda, ticket in waiter.tickets:
            agenda.out(ticket)
        waiter.tickets.clear()
        for name in waiter.unmet:
            named = self._children.get(name)
            if named is not None:
                named.pop(ref, None)
                if not named:
                    del self._children[name]

    def close(self, reason: Reason = Reason.CLOSED) -> None:
        """All that waits ends."""
        for waiter in self.waiters.values():
            self.turn(waiter, reason)

    # --- what is to be done -----------------------------------------------------------------------

    def due(self, now: float, unix: float) -> float:
        """When `next` may have something to hand out, on the clock of `now`."""
        if self._work:
            return now
        return min(self._strangers.first(), self._latest.first(), now + max(0.0, self._times.first() - unix))

    def next(self, now: float, unix: float) -> Waiter | None:
        """A job that is free or ends, each once for each; None if there is none now."""
        self._look(now, unix)
        while self._work:
            waiter = self._work.popleft()
            if self.waiters.get(waiter.id) is waiter and (waiter.free or waiter.ending is not None):
                return waiter
        return None

    def _look(self, now: float, unix: float) -> None:
        while (waiter := self._times.pop(unix)) is not None:
            waiter.timely = True
            if waiter.free:
                self._work.append(waiter)
        while (waiter := self._strangers.pop(now)) is not None:
            if waiter.unknown:
                self.turn(waiter, Reason.UNKNOWN)
        while (waiter := self._latest.pop(now)) is not None:
            self.turn(waiter, Reason.HOPELESS)

    # --- bookkeeping ------------------------------------------------------------------------------

    @property
    def remembered(self) -> int:
        """How many ended jobs are remembered."""
        return len(self._ended)

    @property
    def timed(self) -> bool:
        """Whether some job waits for a time."""
        return bool(self._times)

    def waiting_for(self, ref: str) -> list[str]:
        """The jobs that wait for this one."""
        return list(self._children.get(ref, ()))

    def _served(self, name: str) -> bool:
        return self._ended.get(name, (0.0, False))[1]

    def turn(self, waiter: Waiter, reason: Reason) -> None:
        """Its waiting ends, unless it does already."""
        if waiter.ending is None:
            waiter.ending = reason
            self._work.append(waiter)

    def _note(self, agenda: Agenda[Waiter], at: float, waiter: Waiter) -> None:
        if at < math.inf:
            waiter.tickets.append((agenda, agenda.put(at, waiter)))

    def _forget(self, now: float) -> None:
        oldest = now - self.bounds.remember
        while self._ended:
            ref, (at, _) = next(iter(self._ended.items()))
            if at > oldest and len(self._ended) <= self.bounds.remembered:
                return
            del self._ended[ref]

    def _reaches(self, names: list[str], ref: str) -> bool:
        """Whether one of `names` waits, directly or not, for `ref`.

        Looked for from both sides in turn: upward from the names, downward from those that wait for `ref`.
        Either
        side running out answers, so a job that nobody waits for, or that names what does not wait, costs
        nothing.
        """
        if ref in names:
            return True
        if ref not in self._children:
            return False
        up, down = list(names), list(self._children[ref])
        above, below = set(up), set(down)
        while up and down:
            name = up.pop()
            if name in below or name == ref:
                return True
            waiter = self.waiters.get(name)
            if waiter is not None:
                fresh = waiter.unmet - above
                above |= fresh
                up.extend(fresh)
            child = down.pop()
            if child in above:
                return True
            fresh = set(self._children.get(child, ())) - below
            below |= fresh
            down.extend(fresh)
        return bool(above & below)
