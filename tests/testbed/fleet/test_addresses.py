"""The addresses of nodes, executors and links."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.testbed.fleet.addresses import (
    MAX_PER_KIND,
    executor_address,
    link_address,
    node_address,
    parse_link_address,
)


@given(st.integers(0, MAX_PER_KIND - 1), st.integers(0, MAX_PER_KIND - 1))
def test_only_a_link_address_is_parsed_and_gives_the_ends_of_the_link(node: int, peer: int) -> None:
    assert parse_link_address(link_address(node, peer)) == (node, peer)
    assert len({node_address(node), executor_address(node), link_address(node, node)}) == 3
    for address in (node_address(node), executor_address(peer)):
        with pytest.raises(ValueError, match="invalid link address"):
            parse_link_address(address)
