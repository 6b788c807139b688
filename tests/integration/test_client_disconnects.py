"""Clients that disconnect or keep writing while their jobs are open; see `docs/races.md`."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Any

import pytest
import trio

from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from burlmoor.testbed.http_stream import HttpStream
    from burlmoor.upstream.connection import PooledConnection
    from tests.support.node_harness import NodeHarness

NOTICED_WITHIN_SECONDS = 0.1 + 0.05  # no attempt begins later; time limits on sockets are 50 ms longer
MUCH_SENDING_CLIENTS = 8  # how much of what each sends is read before its close varies
NO_CANCEL = {**SETTINGS_OBJECT, "Limits": {**SETTINGS_OBJECT["Limits"], "Cancel": False}}


class DelayedConnections:
    """Delays each connection that is acquired from the pool until the test sets `released`."""

    def __init__(self, harness: NodeHarness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waiting_count = 0
        self.released = trio.Event()
        acquire = harness.components.pool.acquire

        async def acquire_later(address: str) -> PooledConnection:
            connection = await acquire(address)
            self.waiting_count += 1
            harness.notify()
            await self.released.wait()
            return connection

        monkeypatch.setattr(harness.components.pool, "acquire", acquire_later)


@pytest.mark.parametrize("given_settings", [SETTINGS_OBJECT, NO_CANCEL])
@pytest.mark.parametrize("how", ["closes", "resets"])
async def test_job_is_not_sent_if_its_client_disconnects_while_the_node_connects(
    how: str, given_settings: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_node_harness(given_settings=given_settings) as harness:
        delayed = DelayedConnections(harness, monkeypatch)
        client = await harness.submit_job()
        await harness.wait_until(lambda: delayed.waiting_count)
        if how == "closes":
            await client.socket_stream.aclose()
        else:  # as when the client's process dies
            client.reset()
        await harness.wait_until(lambda: not harness.components.core.jobs.count_open())
        delayed.released.set()
        await harness.wait_until(lambda: not harness.components.attempts.in_flight)
        assert not harness.jobs
        # The job is removed, too.
        await harness.wait_until(lambda: not harness.components.core.jobs.ids())


@pytest.mark.parametrize("byte_count", [20_000, 300_000, 3_000_000])
async def test_client_disconnect_is_noticed_behind_unread_input(byte_count: int) -> None:
    # The close follows more input than the node's inbound buffer holds.
    async with open_node_harness("hang") as harness:
        client = await harness.submit_job(timeout_ms=9000)
        await harness.wait_until(lambda: harness.jobs)
        started_at = trio.current_time()
        await client.socket_stream.send_all(b"x" * byte_count)
        await client.socket_stream.aclose()
        await harness.wait_until(lambda: not harness.components.core.jobs.count_open())
        assert trio.current_time() - started_at < 2.0
        await harness.wait_until(lambda: harness.closed_by_node_count)  # and the executor notices it


async def test_a_close_behind_more_than_is_read_at_full_speed_is_noticed_in_time() -> None:
    # Guards against attempts for a client that has left, whose close its kernel can't send yet.
    async with open_node_harness(*["hang"] * MUCH_SENDING_CLIENTS) as harness:
        for number in range(MUCH_SENDING_CLIENTS):
            client = await harness.submit_job("once", f"a{number}", timeout_ms=9000)
            await harness.wait_until(lambda count=number + 1: len(harness.jobs) == count)  # type: ignore[misc]
            with trio.move_on_after(0.25):
                for _ in range(32):
                    await client.socket_stream.send_all(b"x" * (1 << 20))
            client.close()
            with trio.fail_after(NOTICED_WITHIN_SECONDS):
                await harness.wait_until(lambda: not harness.components.core.jobs.count_open())


@pytest.mark.parametrize("how", ["closes", "resets"])
@pytest.mark.parametrize("given_settings", [SETTINGS_OBJECT, NO_CANCEL])
async def test_no_attempt_begins_after_a_client_has_disconnected_behind_unread_input(
    how: str, given_settings: dict[str, Any]
) -> None:
    # Guards against a retry for a client that wrote more than the node has read, and then left.
    async with open_node_harness(*["hang"] * 20, given_settings=given_settings) as harness:
        client = await harness.submit_job(timeout_ms=6000)
        await harness.wait_until(lambda: harness.jobs)
        with trio.move_on_after(0.3):  # the first attempt is cancelled after 0.45 s without a response
            while True:
                await client.socket_stream.send_all(b"x" * 1_000_000)
        if how == "closes":
            client.close()
        else:
            client.reset()
        await trio.sleep(0.1)
        attempt_count = len(harness.jobs)
        await trio.sleep(1.0)
        assert len(harness.jobs) == attempt_count


class WritingClient:
    """Keeps writing on a connection whose request is open."""

    def __init__(self, harness: NodeHarness, connection: HttpStream) -> None:
        self._harness = harness
        self._connection = connection
        self.written_chunk_count = 0

    async def write(self) -> None:
        """Write until the connection breaks, or 200 chunks have been written."""
        with suppress(trio.BrokenResourceError):
            for _ in range(200):
                await self._connection.socket_stream.send_all(b"x" * 100_000)
                self.written_chunk_count += 1
                self._harness.notify()


async def test_a_client_that_never_stops_writing_is_answered_and_its_connection_closed() -> None:
    async with open_node_harness() as harness:
        client = await harness.submit_job(timeout_ms=5000)
        await harness.wait_until(lambda: harness.jobs)
        # A job that has not started would be retried at another executor.
        await harness.send_callback("started")
        writing_client = WritingClient(harness, client)
        harness.nursery.start_soon(writing_client.write)
        await harness.wait_until(lambda: writing_client.written_chunk_count > 100)
        other = await harness.submit_job(request_id="b1")  # must be answered meanwhile
        for request_id, waiting_client in (("b1", other), ("a1", client)):
            await harness.wait_until(lambda request_id=request_id: harness.find_attempts(request_id))  # type: ignore[misc]
            await harness.send_callback("done", "fine", job=harness.find_attempts(request_id)[-1])
            answer = await harness.read_response(waiting_client)
            assert (answer.status, answer.body) == (200, b"fine")
        assert answer.headers["connection"] == "close"
