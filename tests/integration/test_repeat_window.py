"""Attempts that were chosen in time and wait for a connection: none is sent once it is too late."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest
import trio

from burlmoor.upstream.errors import RequestIncompleteError
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from burlmoor.upstream.connection import PooledConnection
    from tests.support.node_harness import NodeHarness

WINDOW_SECONDS = 0.6
ANSWERED_WITHIN_SECONDS = 0.2  # after the window for repeats, or the deadline
SETTINGS = {
    **SETTINGS_OBJECT,
    "RequestClasses": [
        {**job_class, "RepeatWindow": 1000.0 * WINDOW_SECONDS}
        for job_class in SETTINGS_OBJECT["RequestClasses"]
    ],
    "Limits": {**SETTINGS_OBJECT["Limits"], "ConnectTimeout": 2000.0},
}


class Wait(NamedTuple):
    """What delays an attempt between its choice and its first byte, and for how long."""

    seconds: float = 0.0
    is_stall: bool = False  # the process does not run meanwhile
    is_stale: bool = False  # the connection is a reused one that breaks, and another is opened


async def wait_for(wait: Wait) -> None:
    """Wait, or stall the process."""
    if wait.is_stall:
        time.sleep(wait.seconds)  # noqa: ASYNC251 - stalls the process
    else:
        await trio.sleep(wait.seconds)


def delay_connections(harness: NodeHarness, monkeypatch: pytest.MonkeyPatch, *waits: Wait) -> None:
    """Delay the connections of the first attempts, in the order in which they are acquired."""
    pool = harness.components.pool
    acquire, connect = pool.acquire, pool.connect
    remaining = list(waits)

    async def acquire_later(address: str) -> PooledConnection:
        wait = remaining.pop(0) if remaining else Wait()
        connection = await acquire(address)
        if wait.is_stale:
            connection.is_reused = True

            async def fail(*_: object, **__: object) -> None:
                raise RequestIncompleteError(address, "stale")

            async def connect_later(address: str) -> PooledConnection:
                await wait_for(wait)
                return await connect(address)

            monkeypatch.setattr(connection, "write", fail)
            monkeypatch.setattr(pool, "connect", connect_later)
        else:
            await wait_for(wait)
        return connection

    monkeypatch.setattr(pool, "acquire", acquire_later)


def violations(harness: NodeHarness) -> dict[str, Any]:
    return harness.components.core.invariants.counts()


IN_TIME = 0.5 * WINDOW_SECONDS
TOO_LATE = 1.5 * WINDOW_SECONDS


@pytest.mark.parametrize(
    ("first", "second", "is_sent_again"),
    [
        (Wait(), Wait(IN_TIME), True),
        (Wait(), Wait(IN_TIME, is_stall=True), True),
        (Wait(), Wait(IN_TIME, is_stale=True), True),
        # The window counts from the first byte of the first attempt, not from its choice.
        (Wait(IN_TIME), Wait(0.75 * WINDOW_SECONDS), True),
        (Wait(), Wait(TOO_LATE), False),
        (Wait(), Wait(TOO_LATE, is_stall=True), False),
        (Wait(), Wait(TOO_LATE, is_stale=True), False),
        (Wait(IN_TIME), Wait(TOO_LATE), False),
    ],
)
async def test_a_keyed_job_whose_repeat_waits_beyond_its_window_is_not_sent_again(
    first: Wait, second: Wait, is_sent_again: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a second run: executors do not know the key any more when the connection comes up.
    async with open_node_harness("500", given_settings=SETTINGS) as harness:
        await harness.wait_ready()
        delay_connections(harness, monkeypatch, first, second)
        client = await harness.submit_job("keyed")
        await harness.wait_until(lambda: harness.jobs)
        sent_at = trio.current_time()
        if is_sent_again:
            await harness.wait_until(lambda: len(harness.jobs) == 2)
            await harness.send_callback("done", "again")
            assert (await harness.read_response(client)).body == b"again"
        else:
            # Its client may send it again: all executors drop repeats.
            assert (await harness.read_response(client)).status == 503
            stall_seconds = second.seconds if second.is_stall else 0.0
            latest = sent_at + max(WINDOW_SECONDS, stall_seconds) + ANSWERED_WITHIN_SECONDS
            assert trio.current_time() < latest
            await trio.sleep(TOO_LATE)
            assert len(harness.jobs) == 1
        assert violations(harness) == {}


@pytest.mark.parametrize("job_class", ["lookup", "once", "keyed"])
async def test_an_attempt_whose_deadline_ends_while_the_process_is_stalled_is_not_sent(
    job_class: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against work for clients that wait no longer, with a deadline of 1 ms passed on.
    async with open_node_harness(given_settings=SETTINGS) as harness:
        await harness.wait_ready()
        delay_connections(harness, monkeypatch, Wait(0.4, is_stall=True))
        client = await harness.submit_job(job_class, timeout_ms=300)
        assert (await harness.read_response(client)).status == 503
        await trio.sleep(ANSWERED_WITHIN_SECONDS)
        assert not harness.jobs
        assert violations(harness) == {}


async def test_a_repeat_that_is_written_after_its_window_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against the fault staying unseen: no invariant and no drill showed it.
    monkeypatch.setattr("burlmoor.upstream.request_sender.check_send_time", lambda *_: None)
    async with open_node_harness("500", given_settings=SETTINGS) as harness:
        await harness.wait_ready()
        delay_connections(harness, monkeypatch, Wait(), Wait(TOO_LATE, is_stall=True))
        harness.open_clients.append(await harness.submit_job("keyed"))
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        assert violations(harness) == {"repeat-window": 1}
