"""Evictions at the connection limit: which connections are closed, and how much work that takes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from burlmoor.counters import EventCounters
from burlmoor.downstream.connection_set import ConnectionSet
from burlmoor.types.reasons import CloseReason
from tests.support.node_harness import open_node_harness
from tests.support.occupied_turn import occupy_turn

if TYPE_CHECKING:
    import pytest

CONNECTIONS = 2000
EVICTIONS = 200
# Each connection is looked at when it is ranked and before it is closed.
MAX_LOOKS = CONNECTIONS + 4 * EVICTIONS
CHUNKS = b"POST /lookup/0f HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000
SLOW_CONNECTIONS = 100
HANDLING_SECONDS = 0.002
STALLED_SECONDS = 0.6  # longer than slow clients pause
SERVED_WITHIN_SECONDS = 1.0


class IdleConnection:
    """A connection on which nothing has ever arrived; counts how often its state is looked at."""

    looks = 0
    has_been_used = has_unsent_output = has_partial_request = is_awaiting_response = is_finished = False
    last_received_at = 0.0

    def __init__(self, number: int) -> None:
        self.state_since = float(number)
        self.close_reason: CloseReason | None = None

    @property
    def is_idle(self) -> bool:
        IdleConnection.looks += 1
        return True

    def read_pending_input(self, *, may_exceed_allowance: bool = False) -> None: ...

    def close_unless_readable(self, reason: CloseReason) -> bool:
        self.close(reason)
        return True

    def close(self, reason: CloseReason) -> None:
        self.close_reason = reason

    def pass_to_successor(self) -> None: ...


async def test_many_evictions_in_a_row_do_not_each_look_at_all_connections(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Guards against stalls of seconds at the connection limit, when each accept ranks all connections.
    autojump_clock.jump(CONNECTIONS + 1.0)
    connection_set = ConnectionSet(CONNECTIONS, EventCounters())
    connections = [IdleConnection(number) for number in range(CONNECTIONS)]
    for connection in connections:
        connection_set.add(connection)
    IdleConnection.looks = 0
    for _ in range(EVICTIONS):
        assert connection_set.evict_one()
    assert IdleConnection.looks <= MAX_LOOKS
    evicted = [connection for connection in connections if connection.close_reason is CloseReason.MADE_ROOM]
    assert evicted == connections[:EVICTIONS]


class SlowConnection(IdleConnection):
    """A connection with input that takes some time to handle."""

    def read_pending_input(self, *, may_exceed_allowance: bool = False) -> None:
        time.sleep(HANDLING_SECONDS)


async def test_other_tasks_run_during_a_pass_over_many_connections() -> None:
    # Guards against stalls in a shutdown, which has all connections handle their pending input.
    connection_set = ConnectionSet(CONNECTIONS, EventCounters())
    for number in range(SLOW_CONNECTIONS):
        connection_set.add(SlowConnection(number))
    run_count = 0

    async def run_often() -> None:
        nonlocal run_count
        while True:
            run_count += 1
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_often)
        await connection_set.read_pending_input()
        nursery.cancel_scope.cancel()
    assert run_count > SLOW_CONNECTIONS / 10


async def test_connections_whose_input_waits_for_a_turn_make_room_for_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against counting input that was read before as a sign that the client is still writing.
    async with open_node_harness(sockets=128) as harness:
        occupying = await occupy_turn(harness, monkeypatch)
        flooding = [await harness.connect_client() for _ in range(60)]
        for client in flooding:
            await client.socket_stream.send_all(CHUNKS)
        await trio.sleep(STALLED_SECONDS)
        with trio.fail_after(SERVED_WITHIN_SECONDS):
            client = await harness.submit_job("once")
            await harness.wait_until(lambda: harness.jobs)
        for each in (occupying, client, *flooding):
            each.close()
