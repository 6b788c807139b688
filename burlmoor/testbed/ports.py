"""Ports of 127.0.0.1 for servers whose port is chosen before it is bound, or bound again after a failure.

They are below the ephemeral ports. Otherwise the kernel could give an outgoing connection the port of a
server that does not listen yet, or is down.
"""

from __future__ import annotations

import os
import socket
from collections import deque
from itertools import cycle
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

_FIRST_PORT = 30_000  # above the ports that fleets use
_FIRST_EPHEMERAL_PORT = 32_768  # Linux default; ports from here on are given to outgoing connections
_PORTS = range(_FIRST_PORT, _FIRST_EPHEMERAL_PORT)
# Distance between the first ports of processes with successive ids, so that they rarely try the same port.
_FIRST_PORT_STRIDE = 83
_FIRST_INDEX = os.getpid() * _FIRST_PORT_STRIDE % len(_PORTS)

_next_ports: Iterator[int] = cycle([*_PORTS[_FIRST_INDEX:], *_PORTS[:_FIRST_INDEX]])

# A reservation ends after this many further ones, by when the server is assumed to listen on its port.
_MAX_RESERVED_PORTS = 64
_reserved_sockets: deque[socket.socket] = deque()


def reserve_free_port() -> int:
    """Return a port that is not in use, for a server that sets `SO_REUSEADDR`.

    While it is reserved, no other caller of this module gets the port, in this process or another, and the
    kernel gives it to no connection.
    """
    sock = _bind_free_port()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved_sockets.append(sock)
    if len(_reserved_sockets) > _MAX_RESERVED_PORTS:
        _reserved_sockets.popleft().close()
    return int(sock.getsockname()[1])


def listen_on_free_port(backlog: int) -> socket.socket:
    """Return a socket that listens on a port that was not in use."""
    sock = _bind_free_port()
    sock.listen(backlog)
    return sock


def _bind_free_port() -> socket.socket:
    """Return a socket with exclusive use of its port."""
    while True:
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", next(_next_ports)))
        except OSError:
            sock.close()
        else:
            return sock
