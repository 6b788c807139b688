"""The life of a watch under a fake clock: many nodes' calls to one discovery, and one node in any silence."""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from itertools import pairwise
from typing import Any, NamedTuple, cast

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from burlmoor.discovery import schedule
from burlmoor.discovery.client import DiscoveryClient
from burlmoor.discovery.schedule import CallResult, WatchSchedule
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.upstream.http import BrokenResponseError, Response

PATIENCE, GRACE = 2.0, 0.25


def life(nodes: int, seed: object = 1, pushed: bool = False, ask_within: float = 10.0) -> WatchSchedule:
    return WatchSchedule(nodes, ask_within, pushed, random.Random(f"{seed}"))


def asked(lives: list[WatchSchedule], at: list[float], a_call: float) -> tuple[list[float], int]:
    """When each node's watch began, and how many calls failed; one that waits too long has gone in vain."""
    calls = [(each, number) for number, each in enumerate(at)]
    failed, free, answered = 0, 0.0, list[float]()
    heapq.heapify(calls)
    queue = deque[tuple[float, int]]()
    while calls or queue:
        if queue and (not calls or max(free, queue[0][0]) <= calls[0][0]):
            came, number = queue.popleft()
            ends = max(free, came) + a_call
            if ends <= came + PATIENCE:
                free = ends
                answered.append(ends)
                continue
            free = max(free, min(ends, came + PATIENCE))
            failed += 1
            lives[number].on_call_started(came)
            lives[number].on_call_ended(CallResult.FAILED, came + PATIENCE)
            heapq.heappush(calls, (lives[number].next_call().at, number))
        else:
            queue.append(heapq.heappop(calls))
    return answered, failed


def herd(nodes: int, a_call: float, seed: int) -> tuple[float, int]:
    """When the last of a fleet that starts as one has been answered, and how many calls failed."""
    lives = [life(nodes, f"{seed}/{number}") for number in range(nodes)]
    for each in lives:
        each.on_start(0.0, True)
    answered, failed = asked(lives, [each.next_call().at for each in lives], a_call)
    assert len(answered) == nodes
    return max(answered), failed


def test_a_herd_gets_through_to_a_discovery_that_answers_in_turn() -> None:
    for nodes, a_call in ((5, 0.2), (40, 0.1), (182, 0.0225), (200, 0.02)):
        for seed in range(8):
            last, failed = herd(nodes, a_call, seed)
            assert last <= 6.0 + GRACE
            assert failed == 0


def test_a_herd_gets_through_to_a_discovery_that_needs_longer_than_news_may_take() -> None:
    for seed in range(8):
        last, failed = herd(40, 0.2, seed)  # 8 s of work
        assert last < 12.0
        assert failed < 40


def test_a_fleet_whose_watches_fall_silent_as_one_is_back_before_the_news_counts_as_told() -> None:
    for nodes, a_call in ((5, 0.2), (40, 0.1), (200, 0.02), (230, 0.015)):
        for seed in range(4):
            rng, lives, at = random.Random(seed), [], []
            for number in range(nodes):
                each = life(nodes, f"{seed}/{number}")
                each.on_start(0.0, True)
                made = rng.uniform(0.0, 1.0)  # every watch is somewhere in its second when all fall silent
                each.on_call_started(made - 2.0)
                each.on_call_ended(CallResult.ANSWERED, made)
                each.on_call_started(made)
                each.on_call_ended(CallResult.SILENT, made + each.next_call().timeout_seconds)
                lives.append(each)
                at.append(each.next_call().at)
            answered, _ = asked(lives, at, a_call)
            assert max(answered) <= 1.0 + 6.0 + GRACE, (nodes, seed)


def test_a_fleet_whose_calls_fit_into_a_calls_patience_asks_at_once() -> None:
    each = life(4)
    each.on_start(5.0, True)
    assert each.next_call().at == 5.0
    for failures, least, most in ((1, 0.05, 0.1), (9, 1.0, 2.0)):
        each.failures = failures - 1
        each.on_call_started(6.0)
        each.on_call_ended(CallResult.FAILED, 6.0)
        assert least <= each.next_call().at - 6.0 <= most


@pytest.mark.parametrize("ask_within", [0.5, 2.0, 3.0, 10.0, 60.0])
def test_a_call_follows_each_that_failed_in_time_for_what_counts_as_told(ask_within: float) -> None:
    old, failed = min(6.0, ask_within), min(6.0, 4.0 * ask_within)
    for seed in range(50):
        each = life(4000, seed, ask_within=ask_within)
        each.on_start(0.0, True)
        assert each.next_call().at <= max(0.0, old - 2.0)
        now = 0.0
        for number in range(30):
            each.on_call_started(now)
            lasts = random.Random(f"{seed}/{number}").uniform(0.0, 2.0)
            end = (CallResult.FAILED, CallResult.UNREADABLE, CallResult.SILENT)[number % 3]
            each.on_call_ended(end, now + lasts)
            allowed = 6.0 if end is CallResult.SILENT else failed
            assert each.next_call().at <= max(now + allowed - 2.0, now + lasts + 0.05)
            assert end is CallResult.SILENT or each.next_call().at >= now + lasts + 0.025  # no spin
            now = each.next_call().at


def test_a_fleet_that_could_not_reach_discovery_is_back_before_the_news_counts_as_told() -> None:
    for nodes, a_call in ((5, 0.2), (20, 0.2), (30, 0.1), (200, 0.02), (230, 0.015)):
        for seed in range(4):
            rng, lives, at = random.Random(seed), [], []
            back = rng.uniform(3.0, 9.0)
            for number in range(nodes):
                each = life(nodes, f"{seed}/{number}")
                each.on_start(0.0, True)
                each.on_call_started(0.0)
                each.on_call_ended(CallResult.FAILED, rng.uniform(0.0, 0.5))
                while each.next_call().at < back:  # refused at once, or left to wait until it is given up
                    now = each.next_call().at
                    each.on_call_started(now)
                    given_up = rng.random() < 0.5
                    each.on_call_ended(
                        CallResult.SILENT if given_up else CallResult.FAILED,
                        now + given_up * each.next_call().timeout_seconds,
                    )
                lives.append(each)
                at.append(each.next_call().at)
            answered, _ = asked(lives, at, a_call)
            assert max(answered) <= back + 6.0 + GRACE, (nodes, seed)


class World(NamedTuple):
    """What befalls one node's watch, in seconds."""

    nodes: int
    pushed: bool
    changes: list[float]  # when discovery has something new to tell: a target is to leave
    silences: list[float]  # the watch that is open then is lost without a sign
    resets: list[float]
    downs: list[tuple[float, float]]
    moves: list[float]
    spoilt: list[float]  # an answer at that time, or the next one, is no list
    ask_within: float
    seed: int


worlds = st.builds(
    World,
    nodes=st.sampled_from([1, 5, 40, 230]),
    pushed=st.booleans(),
    changes=st.lists(st.floats(0.0, 40.0), min_size=1, max_size=8),
    silences=st.lists(st.floats(0.0, 10.0), max_size=3).map(
        lambda each: [15.0 * n + s for n, s in enumerate(each)]
    ),
    resets=st.lists(st.floats(0.0, 30.0), max_size=2),
    # An agent that is silent for less than its watch's wait is not known to be.
    downs=st.lists(st.tuples(st.floats(0.0, 30.0), st.floats(2.0, 8.0)), max_size=1),
    moves=st.lists(st.floats(0.0, 30.0), max_size=1),
    spoilt=st.lists(st.floats(0.0, 30.0), max_size=2),
    ask_within=st.sampled_from([PATIENCE, 3.0, 10.0, 60.0]),  # in less no call comes through in its turn
    seed=st.integers(0, 1000),
)


def latest(world: World) -> float:
    """How long after it counted as told a change was heard at most; what is written in time counts as 0."""
    each = life(world.nodes, world.seed, world.pushed, world.ask_within)
    rng = random.Random(world.seed)
    each.on_start(0.0, True)
    changes, silences = sorted(world.changes), sorted(world.silences)
    downs = [(since, since + lasts) for since, lasts in world.downs]
    moves, resets = sorted(world.moves), sorted(world.resets)
    spoilt = [] if world.pushed else sorted(world.spoilt)  # what an agent has spoilt it may not tell again
    now, heard, worst, moved = 0.0, 0, 0.0, -math.inf
    last_answer, last_call = -math.inf, -math.inf
    failed = missed = False  # since the last answer: a call to a discovery that was down; any call
    lost: tuple[float, float] | None = None  # when a watch fell silent, and when its call's wait was over

    def told(change: float) -> float:
        down = next((end for since, end in downs if since <= change < end), None)
        if world.pushed:
            # An agent that falls silent within the rule's 250 ms, just after a reset, is not heard.
            lost_too = (end for since, end in downs if since <= change + GRACE and change < end and missed)
            at = max(moved + 4.0, next(lost_too, change) if down is None else down)
            if lost and change >= lost[0]:
                at = max(at, lost[0] + 6.0, lost[1] + 2.0)
                # Nor one that falls silent before the watch's silence has shown.
                at = max([at, *(end for since, end in downs if since < at < end)])
            return at
        # Whatever else is allowed: 6 s after discovery had it and could be reached for as long.
        latest = max(moved, change)
        for since, end in downs:
            latest = end if since < latest + 6.0 and end > latest else latest
        if lost and not failed and down is None:
            return max(moved + 4.0, change, min(latest, lost[0]) + 6.0)
        held = last_call + world.ask_within * (4.0 if failed else 1.0)
        returns = (end + world.ask_within for since, end in downs if since <= now + world.ask_within)
        older = max(moved + 4.0, change + world.ask_within, held, *returns)
        return min(older, latest + 6.0) if missed else older

    while now < 60.0:
        call = each.next_call()
        now = max(now, call.at)
        goes_on = now <= last_answer + 0.2
        turn = 0.0 if world.pushed or goes_on else rng.uniform(0.0, 0.95 * PATIENCE)
        begins = now + turn
        each.on_call_started(now)
        last_call = now
        news = max(begins, changes[heard]) if heard < len(changes) else math.inf
        answer = begins if call.is_full_list else min(news, begins + call.wait_seconds)
        # One that opens anew does not fail as well, nor one of many in its turn: a second try would be late.
        spared = not goes_on and (missed or world.nodes > 10)
        for faults in (resets, silences):
            while faults and (faults[0] < now or (spared and faults[0] < answer)):
                faults.pop(0)
        down = next(((a, b) for a, b in downs if a < answer and now < b), None)
        over, end, since = answer, CallResult.ANSWERED, None
        if down is not None and world.pushed:
            over, end = now + call.timeout_seconds, CallResult.SILENT
        elif down is not None:
            over, end = max(now + rng.uniform(0.01, PATIENCE), down[0]), CallResult.FAILED
        elif silences and silences[0] < answer:
            over, end, since = now + call.timeout_seconds, CallResult.SILENT, silences[0]
        elif resets and resets[0] < answer:
            over, end = max(now, resets[0]), CallResult.FAILED
        elif spoilt and spoilt[0] <= answer and not spared:
            spoilt.pop(0)
            end = CallResult.UNREADABLE
        else:
            assert answer - now <= call.timeout_seconds  # an answer in time is never given up
        if moves and moves[0] < over:
            moved = now = max(now, moves.pop(0))
            each.on_address_changed(now)
            lost, last_answer, failed, missed = None, -math.inf, False, False
            continue
        if since is not None and lost is None:
            lost = (since, now + call.wait_seconds)
        while end is CallResult.ANSWERED and heard < len(changes) and changes[heard] <= answer:
            worst = max(worst, answer - told(changes[heard]))
            heard += 1
        if end is CallResult.ANSWERED:
            last_answer, failed, missed, lost = answer, False, False, None
        else:
            failed, missed = failed or down is not None, True
        now = over
        each.on_call_ended(end, now)
    return worst


@settings(max_examples=400, deadline=None)
@given(worlds)
def test_nothing_is_heard_later_than_the_drain_rule_allows(world: World) -> None:
    assert latest(world) <= GRACE


def silence_is_a_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fleet that has fallen silent spreads its calls as one that starts, past the moment that counts."""
    monkeypatch.setattr(schedule, "_TOLD", 10.0)


def failed_calls_back_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wait after failed calls that was at fault: it grew to the spread of a whole fleet."""

    def later(self: WatchSchedule, end: CallResult, now: float) -> None:
        ended(self, end, now)
        if self.failures > 2:
            self._at = now + self._rng.uniform(4.0, 8.0)

    ended = WatchSchedule.on_call_ended
    monkeypatch.setattr(WatchSchedule, "on_call_ended", later)


def given_up_when_told(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wait that was at fault: its end and the allowance add up to the moment that counts."""
    monkeypatch.setattr(schedule, "_WAIT", 8.0)
    monkeypatch.setattr(schedule, "_LATE", 2.0)


def agent_is_a_crowd(monkeypatch: pytest.MonkeyPatch) -> None:
    """An agent that is silent is asked again after a back-off."""
    monkeypatch.setattr(schedule, "_AGENT_AGAIN", 1.0)
    monkeypatch.setattr(schedule, "_AGENT_LATE", 1.0)


@pytest.mark.parametrize(
    ("fault", "pushed", "down"),
    [
        (silence_is_a_start, False, None),
        (given_up_when_told, False, None),
        (failed_calls_back_off, False, (9.0, 8.0)),
        (agent_is_a_crowd, True, (15.3, 4.0)),
    ],
)
def test_a_fault_in_the_life_of_a_watch_is_noticed(
    fault: Callable[[pytest.MonkeyPatch], None],
    pushed: bool,
    down: tuple[float, float] | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def world(nodes: int, seed: int) -> World:
        silences = [] if down and not pushed else [9.5]
        return World(
            nodes, pushed, [10.0, 12.0, 16.0], silences, [], [down] if down else [], [], [], 10.0, seed
        )

    cases = [(nodes, seed) for nodes in (1, 5, 40, 230) for seed in range(5)]
    assert all(latest(world(*case)) <= GRACE for case in cases)
    fault(monkeypatch)
    assert any(latest(world(*case)) > GRACE for case in cases)


def test_a_watch_waits_its_turn_at_the_start_and_after_each_failure() -> None:
    at: list[float] = []

    class Busy:
        async def call(self, *_: object) -> Response:
            at.append(trio.current_time())
            raise BrokenResponseError("status 503")

    class Observer:
        def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None: ...

    def deaf(*_: object, **__: object) -> None:
        return

    async def story() -> None:
        directory = EndpointDirectory(Observer(), cast(Any, None), lambda unix_ms: unix_ms, deaf)
        directory.load_cached(DiscoveredList(41))  # a list, if an old one
        watch = DiscoveryClient(directory, cast(Any, Busy()), "127.0.0.1:1", life(40, 3), deaf)
        began = trio.current_time()
        with trio.move_on_after(20.0):
            await watch.run()
        at[:] = [each - began for each in at]

    trio.run(story, clock=trio.testing.MockClock(autojump_threshold=0))
    assert at[0] > 0.1
    assert 4 <= len(at) <= 10  # where one was made at once and then every two seconds: over ten
    assert min(later - each for each, later in pairwise(at)) > 0.5
