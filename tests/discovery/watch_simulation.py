"""Simulates one node's watch with faults under a fake clock, and measures how late changes arrive."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from burlmoor.discovery.schedule import CallResult, DiscoveryCall, WatchSchedule

QUEUE_TIMEOUT_SECONDS = 2.0  # after which a call that is queued at discovery fails
DRAIN_GRACE_SECONDS = 0.25  # after its notification deadline, until a change is too late
_END_SECONDS = 60.0


def new_schedule(
    nodes: int, seed: object = 1, *, has_agent: bool = False, poll_interval: float = 10.0
) -> WatchSchedule:
    """Build the schedule of one node of a fleet of `nodes`."""
    return WatchSchedule(nodes, poll_interval, random.Random(f"{seed}"), has_agent=has_agent)


class WatchScenario(NamedTuple):
    """The settings and the events that affect one node's watch; times in seconds."""

    nodes: int
    has_agent: bool
    changes: list[float]  # when discovery has a change: an endpoint is to drain
    silences: list[float]  # when the watch that is open falls silent
    resets: list[float]  # when the watch that is open is reset
    outages: list[tuple[float, float]]  # start and duration
    address_changes: list[float]  # from when on discovery is at another address
    invalid: list[float]  # when an answer, or the next one after that, is not a list
    poll_interval: float
    seed: int


class SilentWatch(NamedTuple):
    """A watch that fell silent, and when its call's wait was over."""

    since: float
    wait_over_at: float


class CallEnd(NamedTuple):
    """How and when a call ends, and since when its watch is silent (None: it is not)."""

    result: CallResult
    at: float
    silent_since: float | None = None


class WatchSimulation:
    """Simulates one scenario; `lateness` is the longest time from a change's deadline to its arrival."""

    def __init__(self, scenario: WatchScenario) -> None:
        self.scenario = scenario
        self.schedule = new_schedule(
            scenario.nodes, scenario.seed, has_agent=scenario.has_agent, poll_interval=scenario.poll_interval
        )
        self.rng = random.Random(scenario.seed)
        self.changes = sorted(scenario.changes)
        self.silences = sorted(scenario.silences)
        self.resets = sorted(scenario.resets)
        self.address_changes = sorted(scenario.address_changes)
        self.outages = [(since, since + lasts) for since, lasts in scenario.outages]
        # An agent may not repeat a change that it has sent in an invalid list.
        self.invalid = [] if scenario.has_agent else sorted(scenario.invalid)
        self.now = 0.0
        self.received = 0  # number of changes received
        self.lateness = 0.0
        self.address_changed_at = -math.inf
        self.last_answer = -math.inf
        self.last_call = -math.inf
        # Since the last answer: whether a call met an outage of discovery, and whether any call failed.
        self.has_met_outage = False
        self.has_missed_call = False
        self.silent_watch: SilentWatch | None = None

    def run(self) -> float:
        """Simulate the scenario to its end, and return the lateness."""
        self.schedule.on_start(0.0, has_list=True)
        while self.now < _END_SECONDS:
            self._make_call(self.schedule.next_call())
        return self.lateness

    def _make_call(self, call: DiscoveryCall) -> None:
        self.now = max(self.now, call.start_at)
        follows_answer = self.now <= self.last_answer + 0.2
        has_no_queue = self.scenario.has_agent or follows_answer
        queued = 0.0 if has_no_queue else self.rng.uniform(0.0, 0.95 * QUEUE_TIMEOUT_SECONDS)
        begins_at = self.now + queued
        self.schedule.on_call_started(self.now)
        self.last_call = self.now
        answer = (
            begins_at
            if call.is_full_list
            else min(self._next_change(begins_at), begins_at + call.wait_seconds)
        )
        # No further fault affects the call that opens a new watch after a failure, nor a queued call of a
        # large fleet, since another retry would be late.
        skips_faults = not follows_answer and (self.has_missed_call or self.scenario.nodes > 10)
        self._drop_past_faults(answer, skips_faults=skips_faults)
        end = self._find_end(call, answer, skips_faults=skips_faults)
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

    def _next_change(self, begins_at: float) -> float:
        return max(begins_at, self.changes[self.received]) if self.received < len(self.changes) else math.inf

    def _drop_past_faults(self, answer: float, *, skips_faults: bool) -> None:
        for faults in (self.resets, self.silences):
            while faults and (faults[0] < self.now or (skips_faults and faults[0] < answer)):
                faults.pop(0)

    def _outage_during(self, answer: float) -> tuple[float, float] | None:
        return next((each for each in self.outages if each[0] < answer and self.now < each[1]), None)

    def _find_end(self, call: DiscoveryCall, answer: float, *, skips_faults: bool) -> CallEnd:
        """Return how the call ends."""
        outage = self._outage_during(answer)
        times_out_at = self.now + call.timeout_seconds
        if outage is not None and self.scenario.has_agent:
            return CallEnd(CallResult.TIMED_OUT, times_out_at)
        if outage is not None:
            fails_after = self.rng.uniform(0.01, QUEUE_TIMEOUT_SECONDS)
            return CallEnd(CallResult.REFUSED_OR_RESET, max(self.now + fails_after, outage[0]))
        if self.silences and self.silences[0] < answer:
            return CallEnd(CallResult.TIMED_OUT, times_out_at, self.silences[0])
        if self.resets and self.resets[0] < answer:
            return CallEnd(CallResult.REFUSED_OR_RESET, max(self.now, self.resets[0]))
        if self.invalid and self.invalid[0] <= answer and not skips_faults:
            self.invalid.pop(0)
            return CallEnd(CallResult.INVALID, answer)
        assert answer - self.now <= call.timeout_seconds  # a timeout never precedes a punctual answer
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
        """Return the notification deadline that the protocol sets for a change."""
        outage_end = next((end for since, end in self.outages if since <= change < end), None)
        if self.scenario.has_agent:
            return self._agent_deadline(change, outage_end)
        # At the latest, 6 s after discovery had the change, if it could be reached for all of that time.
        reachable = max(self.address_changed_at, change)
        for since, end in self.outages:
            reachable = end if since < reachable + 6.0 and end > reachable else reachable
        if self.silent_watch and not self.has_met_outage and outage_end is None:
            return max(self.address_changed_at + 4.0, change, min(reachable, self.silent_watch.since) + 6.0)
        interval = self.scenario.poll_interval
        last = self.last_call + interval * (4.0 if self.has_met_outage else 1.0)
        returns = (end + interval for since, end in self.outages if since <= self.now + interval)
        deadline = max(self.address_changed_at + 4.0, change + interval, last, *returns)
        return min(deadline, reachable + 6.0) if self.has_missed_call else deadline

    def _agent_deadline(self, change: float, outage_end: float | None) -> float:
        # A change is missed if the agent falls silent within the drain rule's 250 ms, just after a reset.
        missed_until = (
            end
            for since, end in self.outages
            if since <= change + DRAIN_GRACE_SECONDS and change < end and self.has_missed_call
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


def worst_lateness(scenario: WatchScenario) -> float:
    """Return the longest time from a change's deadline to its arrival; 0 if all arrive in time."""
    return WatchSimulation(scenario).run()
