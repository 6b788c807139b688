"""Tests of link faults on datagrams between nodes, and of the datagram switch."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from burlmoor.testbed.fleet.addresses import (
    Ports,
    find_free_ports,
    link_address,
    node_address,
    parse_link_address,
)
from burlmoor.testbed.fleet.child_process import ChildProcess
from burlmoor.testbed.fleet.datagram_faults import DatagramFaults
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import LinkDirection
from burlmoor.testbed.fleet.link_faults import LinkFault, LinkProcessConfig

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


def make_faults(*link_faults: LinkFault) -> DatagramFaults:
    faults = DatagramFaults(1)
    faults.link_faults = list(link_faults)
    return faults


def test_one_way_partition_does_not_affect_the_other_direction() -> None:
    forward = make_faults(
        LinkFault(FaultKind.LINK_PARTITION, frozenset({1}), frozenset({2}), LinkDirection.FORWARD)
    )
    assert forward.apply(b"x", 1, 2) == []
    assert len(forward.apply(b"x", 2, 1)) == len(forward.apply(b"x", 1, 3)) == 1
    both = make_faults(LinkFault(FaultKind.LINK_PARTITION, frozenset({1}), frozenset({2})))
    assert both.apply(b"x", 1, 2) == both.apply(b"x", 2, 1) == []


def test_node_outside_a_partition_reaches_both_sides() -> None:
    faults = make_faults(LinkFault(FaultKind.LINK_PARTITION, frozenset({0, 1}), frozenset({3, 4})))
    assert faults.apply(b"x", 0, 3) == faults.apply(b"x", 4, 1) == []
    assert faults.apply(b"x", 2, 0)
    assert faults.apply(b"x", 4, 2)
    assert faults.apply(b"x", 0, 1)


@pytest.mark.parametrize(
    "kind",
    [
        FaultKind.LINK_LOSS,
        FaultKind.LINK_DUPLICATION,
        FaultKind.LINK_CORRUPTION,
        FaultKind.LINK_DELAY,
        FaultKind.LINK_REORDERING,
    ],
)
def test_fault_kind_affects_datagrams_as_specified(kind: FaultKind) -> None:
    delaying = (FaultKind.LINK_DELAY, FaultKind.LINK_REORDERING)
    magnitude = 40.0 if kind in delaying else 0.5
    faults = make_faults(LinkFault(kind, frozenset({1}), None, magnitude=magnitude))
    results = [faults.apply(b"abc", 1, 2) for _ in range(400)]
    counts = {len(copies) for copies in results}
    delays = [copy.delay_seconds for copies in results for copy in copies]
    assert counts == {FaultKind.LINK_LOSS: {0, 1}, FaultKind.LINK_DUPLICATION: {1, 2}}.get(kind, {1})
    assert (max(delays) > 0.01) == (kind in delaying)
    is_corrupted = any(copy.payload != b"abc" for copies in results for copy in copies)
    assert is_corrupted == (kind is FaultKind.LINK_CORRUPTION)


@pytest.fixture
async def switch_ports(tmp_path: Path) -> AsyncIterator[Ports]:
    """Run a datagram switch for the test, and yield its ports."""
    ports = find_free_ports()
    process = ChildProcess(["-m", "burlmoor.testbed.fleet.datagram_switch"], tmp_path / "log", has_pipes=True)
    try:
        process.send_line(LinkProcessConfig(ports, 1))
        assert await process.wait_for_line(20.0)
        yield ports
    finally:
        await process.kill()


async def test_switch_delivers_datagrams_and_answers(switch_ports: Ports) -> None:
    with socket.socket(type=socket.SOCK_DGRAM) as one, socket.socket(type=socket.SOCK_DGRAM) as two:
        for sock, node in ((one, 1), (two, 2)):
            sock.bind((node_address(node), switch_ports.node_datagrams))
            sock.settimeout(10.0)
        one.sendto(b"ping", (link_address(1, 2), switch_ports.switch_datagrams))
        ping, sender = two.recvfrom(100)
        two.sendto(b"pong", sender)
        pong = one.recv(100)
    assert (ping, pong) == (b"ping", b"pong")
    assert parse_link_address(sender[0]) == (2, 1)
