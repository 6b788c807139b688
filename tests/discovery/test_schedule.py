"""The schedule of calls under a fake clock: a fleet that calls one discovery service, and backoff."""

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
from burlmoor.discovery.polled_list_lease import PolledListLease
from burlmoor.discovery.schedule import CallResult, WatchSchedule
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.endpoints.list_updater import EndpointListUpdater
from burlmoor.upstream.errors import ConnectionEndedError
from tests.discovery.watch_simulation import DRAIN_GRACE_SECONDS, QUEUE_TIMEOUT_SECONDS, new_schedule

if TYPE_CHECKING:
    from burlmoor.types.endpoint_list import EndpointEntry, ListKind
    from burlmoor.upstream.http import Response


class FleetAnswers(NamedTuple):
    """How discovery answered the calls of a fleet."""

    answered_at: list[float]  # by node, in the order of the answers
    failed_calls: int


def answer_sequentially(
    schedules: list[WatchSchedule], starts: list[float], call_seconds: float
) -> FleetAnswers:
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
            if ends <= arrived_at + QUEUE_TIMEOUT_SECONDS:
                free_at = ends
                answered.append(ends)
                continue
            free_at = max(free_at, min(ends, arrived_at + QUEUE_TIMEOUT_SECONDS))
            failed += 1
            schedules[number].on_call_started(arrived_at)
            schedules[number].on_call_ended(CallResult.REFUSED_OR_RESET, arrived_at + QUEUE_TIMEOUT_SECONDS)
            heapq.heappush(calls, (schedules[number].next_call().start_at, number))
        else:
            queue.append(heapq.heappop(calls))
    return FleetAnswers(answered, failed)


def start_simultaneously(nodes: int, call_seconds: float, seed: int) -> FleetAnswers:
    """Start all nodes of a fleet simultaneously, and return the answers that they get."""
    schedules = [new_schedule(nodes, f"{seed}/{number}") for number in range(nodes)]
    for schedule in schedules:
        schedule.on_start(0.0, has_list=True)
    starts = [schedule.next_call().start_at for schedule in schedules]
    answers = answer_sequentially(schedules, starts, call_seconds)
    assert len(answers.answered_at) == nodes
    return answers


def test_a_fleet_that_starts_simultaneously_is_answered_in_time() -> None:
    for nodes, call_seconds in ((5, 0.2), (40, 0.1), (182, 0.0225), (200, 0.02)):
        for seed in range(8):
            answers = start_simultaneously(nodes, call_seconds, seed)
            assert max(answers.answered_at) <= 6.0 + DRAIN_GRACE_SECONDS
            assert answers.failed_calls == 0


def test_a_slow_discovery_answers_the_whole_fleet() -> None:
    for seed in range(8):
        answers = start_simultaneously(40, 0.2, seed)  # 8 s of work
        assert max(answers.answered_at) < 12.0
        assert answers.failed_calls < 40


def test_a_fleet_whose_watches_fall_silent_is_answered_in_time() -> None:
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
            answers = answer_sequentially(schedules, starts, call_seconds)
            assert max(answers.answered_at) <= 1.0 + 6.0 + DRAIN_GRACE_SECONDS, (nodes, seed)


def test_a_small_fleet_calls_without_jitter() -> None:
    schedule = new_schedule(4)
    schedule.on_start(5.0, has_list=True)
    assert schedule.next_call().start_at == 5.0
    for failures, least, most in ((1, 0.05, 0.1), (9, 1.0, 2.0)):
        schedule.failures = failures - 1
        schedule.on_call_started(6.0)
        schedule.on_call_ended(CallResult.REFUSED_OR_RESET, 6.0)
        assert least <= schedule.next_call().start_at - 6.0 <= most


@pytest.mark.parametrize("poll_interval", [0.5, 2.0, 3.0, 10.0, 60.0])
def test_each_failed_call_is_repeated_before_the_notification_deadline(
    poll_interval: float,
) -> None:
    failure_allowance = min(6.0, 4.0 * poll_interval)
    for seed in range(50):
        schedule = new_schedule(4000, seed, poll_interval=poll_interval)
        schedule.on_start(0.0, has_list=True)
        # For all settings: no job is sent before the first call has shown that discovery is reachable.
        assert schedule.next_call().start_at <= 2.5
        now = 0.0
        for number in range(30):
            schedule.on_call_started(now)
            ended = now + random.Random(f"{seed}/{number}").uniform(0.0, 2.0)
            result = (CallResult.REFUSED_OR_RESET, CallResult.INVALID, CallResult.TIMED_OUT)[number % 3]
            schedule.on_call_ended(result, ended)
            allowance = 6.0 if result is CallResult.TIMED_OUT else failure_allowance
            next_start = schedule.next_call().start_at
            assert next_start <= max(now + allowance - 2.0, ended + 0.05)
            # A failed call is never repeated without a delay, except after a timeout.
            assert result is CallResult.TIMED_OUT or next_start >= ended + 0.025
            now = next_start


def fail_calls_until(returns_at: float, schedule: WatchSchedule, rng: random.Random) -> None:
    """Let all calls of a node fail until discovery returns: refused immediately, or timed out."""
    schedule.on_start(0.0, has_list=True)
    schedule.on_call_started(0.0)
    schedule.on_call_ended(CallResult.REFUSED_OR_RESET, rng.uniform(0.0, 0.5))
    while (now := schedule.next_call().start_at) < returns_at:
        schedule.on_call_started(now)
        timed_out = rng.random() < 0.5
        result = CallResult.TIMED_OUT if timed_out else CallResult.REFUSED_OR_RESET
        schedule.on_call_ended(result, now + timed_out * schedule.next_call().timeout_seconds)


def test_a_partitioned_fleet_is_answered_in_time_after_healing() -> None:
    for nodes, call_seconds in ((5, 0.2), (20, 0.2), (30, 0.1), (200, 0.02), (230, 0.015)):
        for seed in range(4):
            rng = random.Random(seed)
            returns_at = rng.uniform(3.0, 9.0)
            schedules = [new_schedule(nodes, f"{seed}/{number}") for number in range(nodes)]
            for schedule in schedules:
                fail_calls_until(returns_at, schedule, rng)
            starts = [schedule.next_call().start_at for schedule in schedules]
            answers = answer_sequentially(schedules, starts, call_seconds)
            assert max(answers.answered_at) <= returns_at + 6.0 + DRAIN_GRACE_SECONDS, (nodes, seed)


class ListObserverStub:
    def on_endpoint_list(self, kind: ListKind, entries: list[EndpointEntry]) -> None: ...


class FailingConnectionPool:
    """Stands in for the connection pool; every call fails."""

    def __init__(self) -> None:
        self.called_at: list[float] = []

    async def call(self, *_: object) -> Response:
        self.called_at.append(trio.current_time())
        raise ConnectionEndedError


def discard_log_event(*_: object, **__: object) -> None:
    """Stand in for the logger."""


async def test_calls_are_spread_at_the_start_and_after_each_failure(
    autojump_clock: trio.testing.MockClock,
) -> None:
    discovery = FailingConnectionPool()
    directory = EndpointDirectory(from_unix=lambda unix_ms: unix_ms, has_lease=lambda: True)
    updater = EndpointListUpdater(
        directory, ListObserverStub(), cast("Any", None), cast("Any", None), discard_log_event
    )
    updater.load_cached(DiscoveredList(41))  # an old list
    client = DiscoveryClient(
        directory,
        updater,
        cast("Any", discovery),
        "127.0.0.1:1",
        new_schedule(200, 3),
        PolledListLease(),
        discard_log_event,
    )
    started_at = trio.current_time()
    with trio.move_on_after(20.0):
        await client.run()
    calls = [called_at - started_at for called_at in discovery.called_at]
    assert calls[0] > 0.1
    # Calls without jitter, at once and then every two seconds, would be more than ten.
    assert 4 <= len(calls) <= 10
    pauses = [later - earlier for earlier, later in pairwise(calls)]
    assert pauses[0] <= 0.25  # the second failure shows whether a partition only delayed the first
    assert min(pauses[1:]) > 0.5
