"""Input that a client needs to send is handled at once; what exceeds it waits for a turn."""

from __future__ import annotations

import pytest
import trio

from tests.support.node_harness import open_node_harness

CALLBACK_BODY = b'{"id":"x","from":"e0","state":"done"}'
CALLBACK = (
    b"POST /v1/job-events HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n" % len(CALLBACK_BODY)
) + CALLBACK_BODY
PIECE_PAUSE_SECONDS = 0.01  # so that the node reads each piece by itself
REQUESTS = 20


@pytest.mark.parametrize(("piece_count", "has_turns"), [(1, False), (4, False), (20, True)])
async def test_requests_in_a_few_pieces_never_wait_for_a_turn(piece_count: int, has_turns: bool) -> None:
    # Guards against slowing down clients and executors that write a head and its body separately.
    async with open_node_harness() as harness:
        client = await harness.connect_client()
        piece_bytes = -(-len(CALLBACK) // piece_count)
        for _ in range(REQUESTS):
            for start in range(0, len(CALLBACK), piece_bytes):
                await client.socket_stream.send_all(CALLBACK[start : start + piece_bytes])
                await trio.sleep(PIECE_PAUSE_SECONDS if piece_count > 1 else 0.0)
            assert (await harness.read_response(client)).status == 204
        assert ("excess-input" in harness.components.core.counters.totals()) is has_turns


async def test_requests_without_waiting_are_all_answered_in_turns() -> None:
    async with open_node_harness() as harness:
        client = await harness.connect_client()
        await client.socket_stream.send_all(CALLBACK * 200)
        for _ in range(200):
            assert (await harness.read_response(client)).status == 204
        assert harness.components.core.counters.totals()["excess-input"]["turns"] > 100
