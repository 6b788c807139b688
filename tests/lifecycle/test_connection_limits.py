"""Tests the division of connection limits between directions and between a node's two processes."""

from __future__ import annotations

import pytest

from burlmoor.lifecycle.connection_limits import ConnectionLimits, SharedConnectionLimits, divide_descriptors
from tests.support.node_harness import open_node_harness


@pytest.mark.parametrize(
    ("max_descriptors", "limits"),
    [
        (0, ConnectionLimits(23, 9)),
        (64, ConnectionLimits(23, 9)),
        (128, ConnectionLimits(45, 19)),
        (1024, ConnectionLimits(672, 288)),
    ],
)
def test_reserved_descriptors_are_at_most_64_and_at_most_half(
    max_descriptors: int, limits: ConnectionLimits
) -> None:
    assert divide_descriptors(max_descriptors) == limits


async def test_connections_of_the_other_process_lower_the_limits_to_a_minimum() -> None:
    async with open_node_harness() as harness:
        connections, pool = harness.components.server.connections, harness.components.pool
        limits = SharedConnectionLimits(connections, pool)
        limits.reserve(downstream=72, upstream=88)
        assert (connections.max_connections, pool.max_connections) == (600, 200)
        limits.reserve(downstream=1000, upstream=1000)
        assert (connections.max_connections, pool.max_connections) == (8, 8)
        limits.freeze_upstream()
        assert (connections.max_connections, pool.max_connections) == (8, 0)
        limits.restore()
        assert (connections.max_connections, pool.max_connections) == (672, 288)
