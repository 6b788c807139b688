"""Tests the division of connection limits between directions and between a node's two processes."""

from __future__ import annotations

import pytest

from burlmoor.lifecycle.connection_limits import SharedConnectionLimits, SocketBudget, divide_sockets
from tests.support.node_harness import open_node_harness


@pytest.mark.parametrize(
    ("max_sockets", "budget"),
    [
        (0, SocketBudget(23, 9)),
        (64, SocketBudget(23, 9)),
        (128, SocketBudget(45, 19)),
        (1024, SocketBudget(672, 288)),
    ],
)
def test_reserved_descriptors_are_at_most_64_and_at_most_half(max_sockets: int, budget: SocketBudget) -> None:
    assert divide_sockets(max_sockets) == budget


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
