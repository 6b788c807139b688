"""Ports of 127.0.0.1 for servers whose port is chosen before it is bound, or bound again after a failure."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from itertools import cycle
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

_FIRST_PORT = 30_000  # above the ports of whole fleets
_FIRST_EPHEMERAL_PORT = 32_768  # from which on the kernel gives ports to connections
_PORTS = range(_FIRST_PORT, _FIRST_EPHEMERAL_PORT)
# Between the first ports of two processes with successive ids, so that they seldom choose the same one.
_PORTS_PER_PROCESS = 83
_FIRST_INDEX = os.getpid() * _PORTS_PER_PROCESS % len(_PORTS)

_next_ports: Iterator[int] = cycle([*_PORTS[_FIRST_INDEX:], *_PORTS[:_FIRST_INDEX]])


def find_free_port() -> int:
    """Return a port that is not in use now, and that the kernel gives to no connection.

    Otherwise a connection from this address could get the port while no server listens there.
    """
    while True:
        port = next(_next_ports)
        with suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            return port


def listen_at_free_port(backlog: int) -> socket.socket:
    """Return a socket that listens at a port as `find_free_port` returns it."""
    while True:
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", find_free_port()))
            sock.listen(backlog)
        except OSError:
            sock.close()  # another process has just taken the port
        else:
            return sock
