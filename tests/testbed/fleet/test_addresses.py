"""The addresses of nodes, executors and links."""

from __future__ import annotations

import os
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.testbed.fleet.addresses import (
    MAX_PER_KIND,
    bind_to_loopback,
    executor_address,
    find_free_ports,
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


def test_fleets_that_start_together_get_different_ports(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against two fleets that use the same ports, since both found them free: one fails to bind them.
    process_id = os.getpid()
    with socket.socket() as sock:
        bind_to_loopback(sock)
        sock.bind(("0.0.0.0", find_free_ports().node_http))  # so that this process has to search on
        ports = find_free_ports()
        monkeypatch.setattr(os, "getpid", lambda: process_id + 1)
        assert set(find_free_ports()).isdisjoint(ports)
