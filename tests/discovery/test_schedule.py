"""The schedule of calls under a fake clock: many nodes' calls to one discovery service, and their backoff."""

from __future__ import annotations

import heapq
import random
from collections import deque
from itertools import pairwise
from typing import TYPE_CHECKING, Any, NamedTuple, cast

import pytest
import trio
import trio.testing

from burlmoor.discovery.client import DiscoveryClient
from burlmoor.discovery.list_lease import ListLease
from burlmoor.discovery.schedule import CallResult, WatchSchedule
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.upstream.errors import ConnectionEndedError
from tests.discovery.watch_simulation import DRAIN_RULE, QUEUE_TIMEOUT, new_schedule

if TYPE_CHECKING:
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind
    from burlmoor.upstream.http import Response


class FleetAnswers(NamedTuple):
    """How a discovery has answered a fleet of nodes."""

    answered_at: list[float]  # by node, in the order of the answers
    failed_calls: int


def answer_in_turn(schedules: list[WatchSchedule], starts: list[float], call_seconds: float) -> FleetAnswers:
    """Simulate a discovery that answers one call at a time; a call that is queued for too long fails."""
    calls = [(start, number) for number, start in enumerate(starts)]
    failed = 0
    free_at = 0.0
    answered: list[float] = []
    heapq.heapify(calls)
    queue = deque[tuple[float, int]]()
    while calls or queue:
        if queue and (not calls or max(free_at, queue[0][0]) <= calls[0][0]):
            arrived_at, number = queue.popleft()
            ends = max(free_at, arrived_at) + call_seconds
            if ends <= arrived_at + QUEUE_TIMEOUT:
                free_at = ends
                answered.append(ends)
                continue
            free_at = max(free_at, min(ends, arrived_at + QUEUE_TIMEOUT))
            failed += 1
            schedules[number].on_call_started(arrived_at)
            schedules[number].on_call_ended(CallResult.FAILED, arrived_at + QUEUE_TIMEOUT)
            heapq.heappush(calls, (schedules[number].next_call().start_at, number))
        else:
            queue.append(heapq.heappop(calls))
    return FleetAnswers(answered, failed)


def start_together(nodes: int, call_seconds: float, seed: int) -> FleetAnswers:
    """Start all nodes of a fleet simultaneously, and return its answers."""
    schedules = [new_schedule(nodes, f"{seed}/{number}") for number in range(nodes)]
    for schedule in schedules:
        schedule.on_start(0.0, has_list=True)
    starts = [schedule.next_call().start_at for schedule in schedules]
    answers = answer_in_turn(schedules, starts, call_seconds)
    assert len(answers.answered_at) == nodes
    return answers


def test_a_fleet_that_starts_simultaneously_is_answered_in_time_by_a_discovery_that_answers_in_turn() -> None:
    for nodes, call_seconds in ((5, 0.2), (40, 0.1), (182, 0.0225), (200, 0.02)):
        for seed in range(8):
            answers = start_together(nodes, call_seconds, seed)
            assert max(answers.answered_at) <= 6.0 + DRAIN_RULE
            assert answers.failed_calls == 0


def test_a_fleet_is_answered_by_a_discovery_that_needs_longer_than_the_notification_deadline() -> None:
    for seed in range(8):
        answers = start_together(40, 0.2, seed)  # 8 s of work
        assert max(answers.answered_at) < 12.0
        assert answers.failed_calls < 40


def test_a_fleet_whose_watches_fall_silent_simultaneously_is_answered_before_the_notification_deadline() -> (
    None
):
    for nodes, call_seconds in ((5, 0.2), (40, 0.1), (200, 0.02), (230, 0.015)):
        for seed in range(4):
            rng = random.Random(seed)
            schedules, starts = [], []
            for number in range(nodes):
                schedule = new_schedule(nodes, f"{seed}/{number}")
                schedule.on_start(0.0, has_list=True)
                # All watches fall silent together, each at a random moment of its one-second wait.
                called_at = rng.uniform(0.0, 1.0)
                schedule.on_call_started(called_at - 2.0)
                schedule.on_call_ended(CallResult.ANSWERED, called_at)
                schedule.on_call_started(called_at)
                timed_out_at = called_at + schedule.next_call().timeout_seconds
                schedule.on_call_ended(CallResult.TIMED_OUT, timed_out_at)
                schedules.append(schedule)
                starts.append(schedule.next_call().start_at)
            answers = answer_in_turn(schedules, starts, call_seconds)
            assert max(answers.answered_at) <= 1.0 + 6.0 + DRAIN_RULE, (nodes, seed)


def test_a_fleet_whose_calls_fit_into_the_queue_timeout_calls_at_once() -> None:
    schedule = new_schedule(4)
    schedule.on_start(5.0, has_list=True)
    assert schedule.next_call().start_at == 5.0
    for failures, least, most in ((1, 0.05, 0.1), (9, 1.0, 2.0)):
        schedule.failures = failures - 1
        schedule.on_call_started(6.0)
        schedule.on_call_ended(CallResult.FAILED, 6.0)
        assert least <= schedule.next_call().start_at - 6.0 <= most


@pytest.mark.parametrize("poll_interval", [0.5, 2.0, 3.0, 10.0, 60.0])
def test_each_failed_call_is_followed_by_one_in_time_for_the_notification_deadline(
    poll_interval: float,
) -> None:
    failure_allowance = min(6.0, 4.0 * poll_interval)
    for seed in range(50):
        schedule = new_schedule(4000, seed, poll_interval=poll_interval)
        schedule.on_start(0.0, has_list=True)
        # Whatever the settings: nothing is sent before the first call has shown that discovery is reachable.
        assert schedule.next_call().start_at <= 2.5
        now = 0.0
        for number in range(30):
            schedule.on_call_started(now)
            ended = now + random.Random(f"{seed}/{number}").uniform(0.0, 2.0)
            result = (CallResult.FAILED, CallResult.INVALID, CallResult.TIMED_OUT)[number % 3]
            schedule.on_call_ended(result, ended)
            allowance = 6.0 if result is CallResult.TIMED_OUT else failure_allowance
            next_start = schedule.next_call().start_at
            assert next_start <= max(now + allowance - 2.0, ended + 0.05)
            # No call is repeated at once without end.
            assert result is CallResult.TIMED_OUT or next_start >= ended + 0.025
            now = next_start


def fail_calls_until(back_at: float, schedule: WatchSchedule, rng: random.Random) -> None:
    """Fail all calls of a node until discovery is back: refused at once, or timed out."""
    schedule.on_start(0.0, has_list=True)
    schedule.on_call_started(0.0)
    schedule.on_call_ended(CallResult.FAILED, rng.uniform(0.0, 0.5))
    while (now := schedule.next_call().start_at) < back_at:
        schedule.on_call_started(now)
        timed_out = rng.random() < 0.5
        result = CallResult.TIMED_OUT if timed_out else CallResult.FAILED
        schedule.on_call_ended(result, now + timed_out * schedule.next_call().timeout_seconds)


def test_a_fleet_that_was_partitioned_from_discovery_is_answered_before_the_notification_deadline() -> None:
    for nodes, call_seconds in ((5, 0.2), (20, 0.2), (30, 0.1), (200, 0.02), (230, 0.015)):
        for seed in range(4):
            rng = random.Random(seed)
            back_at = rng.uniform(3.0, 9.0)
            schedules = [new_schedule(nodes, f"{seed}/{number}") for number in range(nodes)]
            for schedule in schedules:
                fail_calls_until(back_at, schedule, rng)
            starts = [schedule.next_call().start_at for schedule in schedules]
            answers = answer_in_turn(schedules, starts, call_seconds)
            assert max(answers.answered_at) <= back_at + 6.0 + DRAIN_RULE, (nodes, seed)


class Observer:
    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None: ...


class BusyDiscovery:
    """Stands in for the connection pool: each call fails."""

    def __init__(self) -> None:
        self.called_at: list[float] = []

    async def call(self, *_: object) -> Response:
        self.called_at.append(trio.current_time())
        raise ConnectionEndedError


def discard(*_: object, **__: object) -> None:
    """Stand in for the log."""


async def test_calls_are_spread_at_the_start_and_after_each_failure(
    autojump_clock: trio.testing.MockClock,
) -> None:
    discovery = BusyDiscovery()
    directory = EndpointDirectory(from_unix=lambda unix_ms: unix_ms, has_lease=lambda: True)
    updater = EndpointListUpdater(directory, Observer(), cast("Any", None), cast("Any", None), discard)
    updater.load_cached(DiscoveredList(41))  # an old list
    client = DiscoveryClient(
        directory,
        updater,
        cast("Any", discovery),
        "127.0.0.1:1",
        new_schedule(200, 3),
        ListLease(has_agent=False),
        discard,
    )
    started_at = trio.current_time()
    with trio.move_on_after(20.0):
        await client.run()
    calls = [called_at - started_at for called_at in discovery.called_at]
    assert calls[0] > 0.1
    # A node that called at once and then every two seconds would have made over ten calls.
    assert 4 <= len(calls) <= 10
    pauses = [later - earlier for earlier, later in pairwise(calls)]
    assert pauses[0] <= 0.25  # the second shows whether discovery is down, or only the first was delayed
    assert min(pauses[1:]) > 0.5
