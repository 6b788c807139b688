"""Who has which address: nodes, executors and the link between each two have places of their own in 127/8.

A node dials an executor at the address of their link, on which a relay listens; the relay goes on from that
same address, so that the executor knows who called, and calls back to it on another port. Links between two
nodes are used alike for datagrams. No list of pairs is kept anywhere: an address says whose it is.
"""

from __future__ import annotations

import ipaddress
import os
import socket
from contextlib import ExitStack
from typing import NamedTuple

MOST = 2048  # nodes, and executors: 11 bits of a link's address each
_NODES, _EXECUTORS, _LINKS = 0x7F010000, 0x7F020000, 0x7F400000


def _written(number: int) -> str:
    return str(ipaddress.IPv4Address(number))


def node(number: int) -> str:
    """The address that a node listens on."""
    return _written(_NODES + number + 1)


def executor(number: int) -> str:
    """The address that an executor listens on."""
    return _written(_EXECUTORS + number + 1)


def link(of_node: int, to: int) -> str:
    """The address of the link between a node and an executor, or another node."""
    return _written(_LINKS + of_node * MOST + to)


def ends(address: str) -> tuple[int, int]:
    """Whose link an address is: the node, and the executor or other node; ValueError where it is none."""
    number = int(ipaddress.IPv4Address(address)) - _LINKS
    if not 0 <= number < MOST * MOST:
        raise ValueError(f"{address} is no link's address")
    return divmod(number, MOST)


class Ports(NamedTuple):
    """The ports of one fleet, in a row, alike at all addresses."""

    clients: int  # where nodes take jobs and call-backs
    control: int  # where nodes hear their operators
    jobs: int  # where executors listen
    forwards: int  # where the relays take what nodes send to executors
    backwards: int  # where the relays take call-backs
    datagrams: int  # where the switch takes what nodes send each other
    peers: int  # where nodes take other nodes' datagrams


def local(sock: socket.socket) -> None:
    """Bind a socket that is to listen on every address to the loopback device: nothing else reaches it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")


def free_ports() -> Ports:
    """A row of ports that nobody on loopback listens on now; OSError where none is found."""
    # Each process looks from a place of its own, so that fleets that start together seldom meet.
    rows = range(20_000, 30_000, len(Ports._fields))
    begin = os.getpid() % len(rows)
    for first in (*rows[begin:], *rows[:begin]):
        ports = Ports(*range(first, first + len(Ports._fields)))
        with ExitStack() as held:
            try:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = held.enter_context(socket.socket(socket.AF_INET, kind))
                        local(sock)
                        sock.bind(("0.0.0.0", port))
            except OSError:
                continue
            return ports
    raise OSError("no row of free ports on loopback")
