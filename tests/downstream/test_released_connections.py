"""What is kept of connections that have ended."""

from __future__ import annotations

import gc

from burlmoor.downstream.connection import DownstreamConnection
from tests.support.node_harness import open_node_harness

CONNECTIONS = 30


async def test_connections_that_have_ended_are_freed_without_a_garbage_collection() -> None:
    # Guards against memory that grows with the rate of connections, each with its parser and its buffers.
    async with open_node_harness() as harness:
        gc.disable()
        try:
            for _ in range(CONNECTIONS):
                assert await harness.send_callback_body(b'{"id":"x","from":"e0","state":"done"}') == 204
            await harness.wait_until(lambda: not len(harness.components.server.connections))
            kept = [each for each in gc.get_objects() if type(each) is DownstreamConnection]
        finally:
            gc.enable()
        assert len(kept) <= 1  # the last one, in the frame that accepts
