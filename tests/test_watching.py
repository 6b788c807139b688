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

from burlmoor.net import watching
from burlmoor.net.target import BrokenReply, Reply
from burlmoor.net.target_group import TargetGroup
from burlmoor.net.watch import Watch
from burlmoor.net.watching import End, Watching

PATIENCE, GRACE = 2.0, 0.25


def life(nodes: int, seed: object = 1, pushed: bool = False) -> Watching:
    return Watching(nodes, 10.0, pushed, random.Random(f"{seed}"))


def asked(lives: list[Watching], at: list[float], a_call: float) -> tuple[list[float], int]:
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
            lives[number].made(came)
            lives[number].ended(End.FAILED, came + PATIENCE)
            heapq.heappush(calls, (lives[number].next().at, number))
        else:
            queue.append(heapq.heappop(calls))
    return answered, failed


def test_a_herd_gets_through_to_a_discovery_that_answers_in_turn() -> None:
    for seed in range(8):
        lives = [life(40, f"{seed}/{number}") for number in range(40)]
        for each in lives:
            each.begin(0.0, True)
        answered, failed = asked(lives, [each.next().at for each in lives], 0.2)
        assert len(answered) == 40
        assert max(answered) < 12.0
        assert failed < 20


def test_a_fleet_whose_watches_fall_silent_as_one_is_back_before_the_news_counts_as_told() -> None:
    for nodes, a_call in ((5, 0.2), (40, 0.1), (200, 0.02), (230, 0.015)):
        for seed in range(4):
            rng, lives, at = random.Random(seed), [], []
            for number in range(nodes):
                each = life(nodes, f"{seed}/{number}")
                each.begin(0.0, True)
                made = rng.uniform(0.0, 1.0)  # every watch is somewhere in its second when all fall silent
                each.made(made - 2.0)
                each.ended(End.ANSWERED, made)
                each.made(made)
                each.ended(End.SILENT, made + each.next().within)
                lives.append(each)
                at.append(each.next().at)
            answered, _ = asked(lives, at, a_call)
            assert max(answered) <= 1.0 + 6.0 + GRACE, (nodes, seed)


def test_a_fleet_whose_calls_fit_into_a_calls_patience_asks_at_once() -> None:
    each = life(4)
    each.begin(5.0, True)
    assert each.next().at == 5.0
    for failures, least, most in ((1, 0.05, 0.1), (9, 1.0, 2.0)):
        each.failures = failures - 1
        each.made(6.0)
        each.ended(End.FAILED, 6.0)
        assert least <= each.next().at - 6.0 <= most


def test_no_wait_is_longer_than_a_node_may_go_without_asking() -> None:
    for seed in range(50):
        each = life(4000, seed)
        each.begin(0.0, True)
        assert each.next().at <= 8.0
        each.failures = 2000
        each.made(0.0)
        each.ended(End.FAILED, 0.0)
        assert each.next().at <= 8.0


class World(NamedTuple):
    """What befalls one node's watch, in seconds."""

    nodes: int
    pushed: bool
    changes: list[float]  # when discovery has something new to tell: a target is to leave
    silences: list[float]  # the watch that is open then is lost without a sign
    resets: list[float]
    downs: list[tuple[float, float]]
    moves: list[float]
    seed: int


worlds = st.builds(
    World,
    nodes=st.sampled_from([1, 5, 40, 230]),
    pushed=st.booleans(),
    changes=st.lists(st.floats(0.0, 40.0), min_size=1, max_size=8),
    # One that opens anew is not lost as well: a large fleet's second try would come too late.
    silences=st.lists(st.floats(0.0, 10.0), max_size=3).map(
        lambda each: [15.0 * n + s for n, s in enumerate(each)]
    ),
    resets=st.lists(st.floats(0.0, 30.0), max_size=2),
    # An agent that is silent for less than its watch's wait is not known to be.
    downs=st.lists(st.tuples(st.floats(0.0, 30.0), st.floats(2.0, 8.0)), max_size=1),
    moves=st.lists(st.floats(0.0, 30.0), max_size=1),
    seed=st.integers(0, 1000),
)


def latest(world: World) -> float:
    """How long after it counted as told a change was heard at most; what is written in time counts as 0."""
    each, rng = life(world.nodes, world.seed, world.pushed), random.Random(world.seed)
    each.begin(0.0, True)
    changes, silences = sorted(world.changes), sorted(world.silences)
    downs = [(since, since + lasts) for since, lasts in world.downs]
    moves, resets = sorted(world.moves), sorted(world.resets)
    now, heard, worst, moved = 0.0, 0, 0.0, -math.inf
    last_answer, last_call, failed = -math.inf, -math.inf, False
    lost: tuple[float, float] | None = None  # when a watch fell silent, and when its call's wait was over

    def told(change: float) -> float:
        down = next((end for since, end in downs if since <= change < end), None)
        if world.pushed:
            at = max(moved + 4.0, change if down is None else down)
            return max(at, lost[0] + 6.0, lost[1] + 2.0) if lost and change >= lost[0] else at
        if lost and not failed and down is None:
            return max(moved + 4.0, change, lost[0] + 6.0, lost[1] + 2.0)
        held = last_call + (40.0 if failed else 10.0)
        return max(
            moved + 4.0, change + 10.0, held, *(end + 10.0 for since, end in downs if since <= now + 10.0)
        )

    while now < 60.0:
        call = each.next()
        now = max(now, call.at)
        goes_on = now <= last_answer + 0.2
        turn = 0.0 if world.pushed or goes_on else rng.uniform(0.0, 0.95 * PATIENCE)
        begins = now + turn
        each.made(now)
        last_call = now
        news = max(begins, changes[heard]) if heard < len(changes) else math.inf
        answer = begins if call.whole else min(news, begins + call.wait)
        while resets and resets[0] < now:
            resets.pop(0)
        while silences and silences[0] < now:
            silences.pop(0)
        down = next(((a, b) for a, b in downs if a < answer and now < b), None)
        over, end, since = answer, End.ANSWERED, None
        if down is not None and world.pushed:
            over, end = now + call.within, End.SILENT
        elif down is not None:
            over, end = max(now + rng.uniform(0.01, PATIENCE), down[0]), End.FAILED
        elif silences and silences[0] < answer:
            over, end, since = now + call.within, End.SILENT, silences[0]
        elif resets and resets[0] < answer:
            over, end = resets[0], End.FAILED
        else:
            assert answer - now <= call.within  # an answer in time is never given up
        if moves and moves[0] < over:
            moved = now = max(now, moves.pop(0))
            each.moved(now)
            lost, last_answer, failed = None, -math.inf, False
            continue
        if since is not None and lost is None:
            lost = (since, now + call.wait)
        while end is End.ANSWERED and heard < len(changes) and changes[heard] <= answer:
            worst = max(worst, answer - told(changes[heard]))
            heard += 1
        if end is End.ANSWERED:
            last_answer, failed, lost = answer, False, None
        failed = failed or down is not None
        now = over
        each.ended(end, now)
    return worst


@settings(max_examples=400, deadline=None)
@given(worlds)
def test_nothing_is_heard_later_than_the_drain_rule_allows(world: World) -> None:
    assert latest(world) <= GRACE


def silence_is_a_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fleet that has fallen silent spreads its calls as one that starts, past the moment that counts."""
    told_at = Watching.told_at
    monkeypatch.setattr(Watching, "told_at", lambda self: told_at(self) + 4.0)


def given_up_when_told(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wait that was at fault: its end and the allowance add up to the moment that counts."""
    monkeypatch.setattr(watching, "_WAIT", 8.0)
    monkeypatch.setattr(watching, "_LATE", 2.0)


def agent_is_a_crowd(monkeypatch: pytest.MonkeyPatch) -> None:
    """An agent that is silent is asked again after a back-off."""
    monkeypatch.setattr(watching, "_AGENT_AGAIN", 1.0)
    monkeypatch.setattr(watching, "_AGENT_LATE", 1.0)


@pytest.mark.parametrize(
    ("fault", "pushed"), [(silence_is_a_start, False), (given_up_when_told, False), (agent_is_a_crowd, True)]
)
def test_a_fault_in_the_life_of_a_watch_is_noticed(
    fault: Callable[[pytest.MonkeyPatch], None], pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    def world(nodes: int, seed: int) -> World:
        downs = [(9.3, 4.0)] if pushed else []
        return World(nodes, pushed, [4.0, 10.0, 12.0], [3.5], [], downs, [], seed)

    cases = [(nodes, seed) for nodes in (1, 5, 40, 230) for seed in range(5)]
    assert all(latest(world(*case)) <= GRACE for case in cases)
    fault(monkeypatch)
    assert any(latest(world(*case)) > GRACE for case in cases)


def test_a_watch_waits_its_turn_at_the_start_and_after_each_failure() -> None:
    at: list[float] = []

    class Busy:
        async def call(self, *_: object) -> Reply:
            at.append(trio.current_time())
            raise BrokenReply("status 503")

    def deaf(*_: object, **__: object) -> None:
        return

    async def story() -> None:
        group = TargetGroup(cast(Any, None), cast(Any, None), lambda unix: unix, deaf)
        group.version = 41  # a list, if an old one
        watch = Watch(group, cast(Any, Busy()), "127.0.0.1:1", life(40, 3), deaf)
        began = trio.current_time()
        with trio.move_on_after(20.0):
            await watch.run()
        at[:] = [each - began for each in at]

    trio.run(story, clock=trio.testing.MockClock(autojump_threshold=0))
    assert at[0] > 0.1
    assert 4 <= len(at) <= 10  # where one was made at once and then every two seconds: over ten
    assert min(later - each for each, later in pairwise(at)) > 0.5
