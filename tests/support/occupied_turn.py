"""A client that takes the turn for excess input, so that all other connections that need one wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pytest

    from burlmoor.testbed.http_stream import HttpStream
    from tests.support.node_harness import NodeHarness

_LONG_PAUSE_FACTOR = 1e6  # no turn follows for the rest of the test
_LONG_HEAD = b"POST /lookup/0f HTTP/1.1\r\nHost: svc\r\n" + b"a:b\r\n" * 2500


async def occupy_turn(harness: NodeHarness, monkeypatch: pytest.MonkeyPatch) -> HttpStream:
    """Let a client take the turn; return its connection, which has to stay open."""
    with monkeypatch.context() as patch:
        patch.setattr("burlmoor.downstream.excess_input._PAUSE_FACTOR", _LONG_PAUSE_FACTOR)
        client = await harness.connect_client()
        await client.socket_stream.send_all(_LONG_HEAD)
        await harness.wait_until(lambda: "excess-input" in harness.components.core.counters.totals())
    return client
