"""Evictions at the connection limit: which connections are closed, and how much work that takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.support.node_harness import open_node_harness
from tests.support.occupied_turn import occupy_turn

if TYPE_CHECKING:
    import pytest

CHUNKS = b"POST /lookup/0f HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000
STALLED_SECONDS = 0.6  # longer than slow clients pause
SERVED_WITHIN_SECONDS = 1.0


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
