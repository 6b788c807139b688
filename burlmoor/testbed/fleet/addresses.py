"""Allocates the addresses of a fleet in 127.0.0.0/8: one for each node, each executor and each link.

A link joins a node to an executor, or two nodes. A node connects to an executor at the address of their link,
on which a relay listens. The relay connects to the executor from that same address, which tells the executor
which node sent a job. The executor sends its call-backs to the same address, on another port. Links between
two nodes carry datagrams in the same way. The two ends of a link are computed from its address, so no table
of links is needed.
"""

from __future__ import annotations

import ipaddress
import os
import socket
from contextlib import ExitStack
from typing import NamedTuple

from burlmoor.errors import BurlmoorError

MAX_PER_KIND = 2048  # of nodes and of executors: a link's address holds 11 bits for each end
_FIRST_NODE_ADDRESS = 0x7F010000  # 127.1.0.0
_FIRST_EXECUTOR_ADDRESS = 0x7F020000  # 127.2.0.0
_FIRST_LINK_ADDRESS = 0x7F400000  # 127.64.0.0
_PORT_RANGE = (20_000, 30_000)
_FIRST_RUN_STRIDE = 83  # between the first runs of ports that processes with successive ids try


class LinkAddressError(BurlmoorError, ValueError):
    """The address is outside the range of link addresses."""

    def __init__(self, address: str) -> None:
        super().__init__(f"invalid link address {address}: outside the range of link addresses")
        self.address = address


class NoFreePortsError(BurlmoorError, OSError):
    """No run of consecutive free ports on loopback was found."""

    def __init__(self, count: int) -> None:
        super().__init__(
            f"found no {count} consecutive free ports on loopback in {_PORT_RANGE[0]}-{_PORT_RANGE[1] - 1}"
        )
        self.count = count


class Link(NamedTuple):
    """The two ends of a link, by number.

    An executor and a node of the same number share the address of their links to a node; the port tells the
    links apart.
    """

    node: int
    peer: int  # an executor, or another node


def node_name(number: int) -> str:
    """Return the name of the node that has this number."""
    return f"n{number:03d}"


def parse_node_name(name: str) -> int:
    """Return the number of the node that has this name."""
    return int(name.removeprefix("n"))


def _format_address(number: int) -> str:
    return str(ipaddress.IPv4Address(number))


def node_address(number: int) -> str:
    """Return the address that a node listens on."""
    return _format_address(_FIRST_NODE_ADDRESS + number + 1)


def executor_address(number: int) -> str:
    """Return the address that an executor listens on."""
    return _format_address(_FIRST_EXECUTOR_ADDRESS + number + 1)


def link_address(node: int, peer: int) -> str:
    """Return the address of the link from a node to an executor or to another node."""
    return _format_address(_FIRST_LINK_ADDRESS + node * MAX_PER_KIND + peer)


def parse_link_address(address: str) -> Link:
    """Return the ends of the link that has this address.

    Raises:
        LinkAddressError: the address is outside the range of link addresses.
    """
    number = int(ipaddress.IPv4Address(address)) - _FIRST_LINK_ADDRESS
    if not 0 <= number < MAX_PER_KIND * MAX_PER_KIND:
        raise LinkAddressError(address)
    return Link(*divmod(number, MAX_PER_KIND))


class Ports(NamedTuple):
    """The consecutive ports of one fleet; every address uses the same ones."""

    node_http: int  # where nodes take jobs and call-backs
    node_admin: int  # the nodes' admin servers
    executor_http: int  # where executors take jobs
    relay_to_executors: int  # where the relays take connections from nodes to executors
    relay_to_nodes: int  # where the relays take call-backs from executors to nodes
    switch_datagrams: int  # where the switch takes datagrams between nodes
    node_datagrams: int  # where nodes take other nodes' datagrams


def bind_to_loopback(sock: socket.socket) -> None:
    """Restrict a socket that listens on all addresses to loopback, so that no other host reaches it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")


def find_free_ports() -> Ports:
    """Return consecutive ports that are free on loopback at the moment.

    Raises:
        NoFreePortsError: no run of free ports is long enough.
    """
    # Fleets that start together have successive process ids. Each starts its search far from the others,
    # since the ports that one of them has found free are not bound yet when the next searches.
    first_ports = range(*_PORT_RANGE, len(Ports._fields))
    offset = os.getpid() * _FIRST_RUN_STRIDE % len(first_ports)
    for first in (*first_ports[offset:], *first_ports[:offset]):
        ports = Ports(*range(first, first + len(Ports._fields)))
        if _are_free(ports):
            return ports
    raise NoFreePortsError(len(Ports._fields))


def _are_free(ports: Ports) -> bool:
    """Whether all ports can be bound at the same time, for TCP and UDP."""
    with ExitStack() as sockets:
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = sockets.enter_context(socket.socket(socket.AF_INET, kind))
                    bind_to_loopback(sock)
                    sock.bind(("0.0.0.0", port))
        except OSError:
            return False
        return True
