"""One node's watch under a fake clock: its faults, and how late a change arrives at most."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from burlmoor.discovery.schedule import CallResult, DiscoveryCall, WatchSchedule

QUEUE_TIMEOUT = 2.0  # seconds after which a call that is queued at discovery fails
DRAIN_RULE = 0.25  # seconds after its notification deadline from which on a change is too late
_END = 60.0


def new_schedule(
    nodes: int, seed: object = 1, *, has_agent: bool = False, poll_interval: float = 10.0
) -> WatchSchedule:
    """Build the schedule of one node of a fleet of `nodes`."""
    return WatchSchedule(nodes, poll_interval, random.Random(f"{seed}"), has_agent=has_agent)


class World(NamedTuple):
    """The events that affect one node's watch; times in seconds."""

    nodes: int
    has_agent: bool
    changes: list[float]  # when discovery has a change: an endpoint is to drain
    silences: list[float]  # the watch that is open then falls silent
    resets: list[float]
    outages: list[tuple[float, float]]  # since when, for how long
    address_changes: list[float]  # discovery is at another address from then on
    invalid: list[float]  # an answer at that time, or the next one, is no list
    poll_interval: float
    seed: int


class SilentWatch(NamedTuple):
    """A watch that fell silent, and when its call's wait was over."""

    since: float
    wait_over_at: float


class CallEnd(NamedTuple):
    """How a call ends, when, and since when its watch is silent (None: it is not)."""

    result: CallResult
    at: float
    silent_since: float | None = None


class WatchSimulation:
    """Simulates one world. `lateness` is how long after its deadline a change arrived at most."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.schedule = new_schedule(
            world.nodes, world.seed, has_agent=world.has_agent, poll_interval=world.poll_interval
        )
        self.rng = random.Random(world.seed)
        self.changes = sorted(world.changes)
        self.silences = sorted(world.silences)
        self.resets = sorted(world.resets)
        self.address_changes = sorted(world.address_changes)
        self.outages = [(since, since + lasts) for since, lasts in world.outages]
        # An agent may not repeat a change that it has sent in an invalid list.
        self.invalid = [] if world.has_agent else sorted(world.invalid)
        self.now = 0.0
        self.received = 0  # how many of the changes
        self.lateness = 0.0
        self.address_changed_at = -math.inf
        self.last_answer = -math.inf
        self.last_call = -math.inf
        # Since the last answer: whether a call failed as discovery was down, and whether any call failed.
        self.has_met_outage = False
        self.has_missed_call = False
        self.silent_watch: SilentWatch | None = None

    def run(self) -> float:
        """Simulate the world to its end, and return the lateness."""
        self.schedule.on_start(0.0, has_list=True)
        while self.now < _END:
            self._make_call(self.schedule.next_call())
        return self.lateness

    def _make_call(self, call: DiscoveryCall) -> None:
        self.now = max(self.now, call.start_at)
        continues = self.now <= self.last_answer + 0.2
        has_no_queue = self.world.has_agent or continues
        queued = 0.0 if has_no_queue else self.rng.uniform(0.0, 0.95 * QUEUE_TIMEOUT)
        begins = self.now + queued
        self.schedule.on_call_started(self.now)
        self.last_call = self.now
        answer = begins if call.is_full_list else min(self._next_change(begins), begins + call.wait_seconds)
        # A call that opens a new watch after a failure does not fail too, nor one of many that are queued:
        # another retry would be late.
        is_spared = not continues and (self.has_missed_call or self.world.nodes > 10)
        self._drop_past_faults(answer, is_spared=is_spared)
        end = self._find_end(call, answer, is_spared=is_spared)
        if self.address_changes and self.address_changes[0] < end.at:
            self._change_address()
            return
        if end.silent_since is not None and self.silent_watch is None:
            self.silent_watch = SilentWatch(end.silent_since, self.now + call.wait_seconds)
        if end.result is CallResult.ANSWERED:
            self._on_answer(answer)
        else:
            self.has_met_outage = self.has_met_outage or self._outage_during(answer) is not None
            self.has_missed_call = True
        self.now = end.at
        self.schedule.on_call_ended(end.result, end.at)

    def _next_change(self, begins: float) -> float:
        return max(begins, self.changes[self.received]) if self.received < len(self.changes) else math.inf

    def _drop_past_faults(self, answer: float, *, is_spared: bool) -> None:
        for faults in (self.resets, self.silences):
            while faults and (faults[0] < self.now or (is_spared and faults[0] < answer)):
                faults.pop(0)

    def _outage_during(self, answer: float) -> tuple[float, float] | None:
        return next((each for each in self.outages if each[0] < answer and self.now < each[1]), None)

    def _find_end(self, call: DiscoveryCall, answer: float, *, is_spared: bool) -> CallEnd:
        """Find how the call ends."""
        outage = self._outage_during(answer)
        times_out_at = self.now + call.timeout_seconds
        if outage is not None and self.world.has_agent:
            return CallEnd(CallResult.TIMED_OUT, times_out_at)
        if outage is not None:
            fails_after = self.rng.uniform(0.01, QUEUE_TIMEOUT)
            return CallEnd(CallResult.FAILED, max(self.now + fails_after, outage[0]))
        if self.silences and self.silences[0] < answer:
            return CallEnd(CallResult.TIMED_OUT, times_out_at, self.silences[0])
        if self.resets and self.resets[0] < answer:
            return CallEnd(CallResult.FAILED, max(self.now, self.resets[0]))
        if self.invalid and self.invalid[0] <= answer and not is_spared:
            self.invalid.pop(0)
            return CallEnd(CallResult.INVALID, answer)
        assert answer - self.now <= call.timeout_seconds  # an answer in time never times out
        return CallEnd(CallResult.ANSWERED, answer)

    def _change_address(self) -> None:
        self.address_changed_at = self.now = max(self.now, self.address_changes.pop(0))
        self.schedule.on_address_changed(self.now)
        self.silent_watch = None
        self.last_answer = -math.inf
        self.has_met_outage = False
        self.has_missed_call = False

    def _on_answer(self, answer: float) -> None:
        while self.received < len(self.changes) and self.changes[self.received] <= answer:
            deadline = self._deadline(self.changes[self.received])
            self.lateness = max(self.lateness, answer - deadline)
            self.received += 1
        self.last_answer = answer
        self.has_met_outage = False
        self.has_missed_call = False
        self.silent_watch = None

    def _deadline(self, change: float) -> float:
        """The protocol's notification deadline of a change."""
        outage_end = next((end for since, end in self.outages if since <= change < end), None)
        if self.world.has_agent:
            return self._agent_deadline(change, outage_end)
        # In any case: 6 s after discovery had it and could be reached for as long.
        reachable = max(self.address_changed_at, change)
        for since, end in self.outages:
            reachable = end if since < reachable + 6.0 and end > reachable else reachable
        if self.silent_watch and not self.has_met_outage and outage_end is None:
            return max(self.address_changed_at + 4.0, change, min(reachable, self.silent_watch.since) + 6.0)
        interval = self.world.poll_interval
        last = self.last_call + interval * (4.0 if self.has_met_outage else 1.0)
        returns = (end + interval for since, end in self.outages if since <= self.now + interval)
        deadline = max(self.address_changed_at + 4.0, change + interval, last, *returns)
        return min(deadline, reachable + 6.0) if self.has_missed_call else deadline

    def _agent_deadline(self, change: float, outage_end: float | None) -> float:
        # A change is missed at an agent that falls silent within the rule's 250 ms, just after a reset.
        missed_until = (
            end
            for since, end in self.outages
            if since <= change + DRAIN_RULE and change < end and self.has_missed_call
        )
        deadline = max(
            self.address_changed_at + 4.0, next(missed_until, change) if outage_end is None else outage_end
        )
        watch = self.silent_watch
        if watch and change >= watch.since:
            deadline = max(deadline, watch.since + 6.0, watch.wait_over_at + 2.0)
            # The same holds for an agent that falls silent before the silence of the watch is noticed.
            deadline = max([deadline, *(end for since, end in self.outages if since < deadline < end)])
        return deadline


def worst_lateness(world: World) -> float:
    """Return how long after its deadline a change arrives at most; 0 if all arrive in time."""
    return WatchSimulation(world).run()
