"""Many nodes' calls to one discovery that answers in turn, without sockets."""

import heapq
import random
from collections import deque
from itertools import pairwise
from typing import Any, cast

import trio
import trio.testing

from burlmoor.net.asking import Asking
from burlmoor.net.target import BrokenReply, Reply
from burlmoor.net.target_group import TargetGroup, Watch

A_CALL, PATIENCE = 0.2, 2.0


def asked(nodes: int, seed: int) -> tuple[list[float], int]:
    """When each node's watch began, and how many calls failed; one that waits too long has gone in vain."""
    asking = [Asking(nodes, 10.0, random.Random(f"{seed}/{number}")) for number in range(nodes)]
    calls = [(each.at_start(), number) for number, each in enumerate(asking)]
    failures, free, answered = [0] * nodes, 0.0, list[float]()
    heapq.heapify(calls)
    queue = deque[tuple[float, int]]()
    while calls or queue:
        if queue and (not calls or max(free, queue[0][0]) <= calls[0][0]):
            at, number = queue.popleft()
            ends = max(free, at) + A_CALL
            if ends <= at + PATIENCE:
                free = ends
                answered.append(ends)
                continue
            free = max(free, min(ends, at + PATIENCE))
            failures[number] += 1
            again = at + PATIENCE + asking[number].after(failures[number])
            heapq.heappush(calls, (again, number))
        else:
            queue.append(heapq.heappop(calls))
    return answered, sum(failures)


def test_a_herd_gets_through_to_a_discovery_that_answers_in_turn() -> None:
    for seed in range(8):
        answered, failed = asked(40, seed)
        assert len(answered) == 40
        assert max(answered) < 12.0
        assert failed < 20


def test_a_fleet_whose_calls_fit_into_a_calls_patience_asks_at_once() -> None:
    asking = Asking(4, 10.0, random.Random(1))
    assert asking.at_start() == 0.0
    assert 0.05 <= asking.after(1) <= 0.1
    assert 1.0 <= asking.after(9) <= 2.0


def test_no_wait_is_longer_than_a_node_may_go_without_asking() -> None:
    asking = Asking(4000, 10.0, random.Random(1))
    assert max(asking.at_start() for _ in range(100)) <= 8.0
    assert max(asking.after(2000) for _ in range(100)) <= 8.0


def test_an_agent_of_ones_own_is_asked_at_once_however_large_the_fleet() -> None:
    asking = Asking(4000, 10.0, random.Random(1), pushed=True)
    assert asking.at_start() == 0.0
    assert max(asking.after(2000) for _ in range(100)) <= 2.0


def test_a_watch_waits_its_turn_at_the_start_and_after_each_failure() -> None:
    at: list[float] = []

    class Busy:
        async def call(self, *_: object) -> Reply:
            at.append(trio.current_time())
            raise BrokenReply("status 503")

    async def story() -> None:
        group = TargetGroup(cast(Any, None), cast(Any, None), lambda unix: unix)
        group.version = 41  # a list, if an old one
        asking = Asking(40, 10.0, random.Random(3))
        watch = Watch(group, cast(Any, Busy()), "127.0.0.1:1", asking, lambda *_, **__: None)
        began = trio.current_time()
        with trio.move_on_after(20.0):
            await watch.run()
        at[:] = [each - began for each in at]

    trio.run(story, clock=trio.testing.MockClock(autojump_threshold=0))
    assert at[0] > 0.1
    assert 4 <= len(at) <= 10  # where one was made at once and then every two seconds: over ten
    assert min(later - each for each, later in pairwise(at)) > 0.5
