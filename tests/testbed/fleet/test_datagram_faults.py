"""What link faults do to datagrams between nodes, and the switch that delivers these."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.testbed.fleet.addresses import find_free_ports, link_address, node_address, parse_link_address
from burlmoor.testbed.fleet.child_process import ChildProcess
from burlmoor.testbed.fleet.datagram_faults import DatagramFaults
from burlmoor.testbed.fleet.link_faults import LinkFault
from burlmoor.testbed.fleet.tcp_relay import RelayConfig

if TYPE_CHECKING:
    from pathlib import Path


def make_faults(*link_faults: LinkFault) -> DatagramFaults:
    faults = DatagramFaults(1)
    faults.link_faults = list(link_faults)
    return faults


def test_a_cut_of_one_direction_leaves_the_other_open() -> None:
    forward = make_faults(LinkFault("cut", frozenset({1}), frozenset({2}), "forward"))
    assert forward.apply(b"x", 1, 2) == []
    assert len(forward.apply(b"x", 2, 1)) == len(forward.apply(b"x", 1, 3)) == 1
    both = make_faults(LinkFault("cut", frozenset({1}), frozenset({2})))
    assert both.apply(b"x", 1, 2) == both.apply(b"x", 2, 1) == []


def test_a_node_outside_of_a_partition_reaches_both_halves() -> None:
    faults = make_faults(LinkFault("cut", frozenset({0, 1}), frozenset({3, 4})))
    assert faults.apply(b"x", 0, 3) == faults.apply(b"x", 4, 1) == []
    assert faults.apply(b"x", 2, 0)
    assert faults.apply(b"x", 4, 2)
    assert faults.apply(b"x", 0, 1)


@pytest.mark.parametrize("kind", ["drop", "repeat", "corrupt", "delay", "reorder"])
def test_each_kind_of_fault_affects_datagrams_in_its_own_way(kind: str) -> None:
    magnitude = 40.0 if kind in ("delay", "reorder") else 0.5
    faults = make_faults(LinkFault(kind, frozenset({1}), None, magnitude=magnitude))
    results = [faults.apply(b"abc", 1, 2) for _ in range(400)]
    counts = {len(copies) for copies in results}
    delays = [copy.delay_seconds for copies in results for copy in copies]
    assert counts == {"drop": {0, 1}, "repeat": {1, 2}}.get(kind, {1})
    assert (max(delays) > 0.01) == (kind in ("delay", "reorder"))
    assert any(copy.payload != b"abc" for copies in results for copy in copies) == (kind == "corrupt")


def test_the_switch_delivers_datagrams_and_answers_reach_the_sender(tmp_path: Path) -> None:
    async def exchange() -> tuple[bytes, str, bytes]:
        ports = find_free_ports()
        process = ChildProcess(
            ["-m", "burlmoor.testbed.fleet.datagram_switch"], tmp_path / "log", has_pipes=True
        )
        try:
            process.send_line(RelayConfig(ports, 1))
            assert await process.wait_for_line(20.0)
            with socket.socket(type=socket.SOCK_DGRAM) as one, socket.socket(type=socket.SOCK_DGRAM) as two:
                for sock, node in ((one, 1), (two, 2)):
                    sock.bind((node_address(node), ports.node_datagrams))
                    sock.settimeout(10.0)
                one.sendto(b"ping", (link_address(1, 2), ports.switch_datagrams))
                ping, sender = two.recvfrom(100)
                two.sendto(b"pong", sender)
                pong = one.recv(100)
                return ping, sender[0], pong
        finally:
            await process.kill()

    ping, sender, pong = trio.run(exchange)
    assert (ping, pong) == (b"ping", b"pong")
    assert parse_link_address(sender) == (2, 1)
