"""Socket addresses and their parser."""

from __future__ import annotations

from typing import NamedTuple

from burlmoor.errors import BurlmoorError

_MAX_PORT = 65535


class InvalidAddressError(BurlmoorError, ValueError):
    """The text `value` is not `host:port` with a port from 1 to 65535."""

    def __init__(self, value: str) -> None:
        super().__init__(f"{value!r} is not host:port with a port from 1 to {_MAX_PORT}")
        self.value = value


class SocketAddress(NamedTuple):
    """An IPv4 address or host name and a TCP port, in the form that `socket` accepts."""

    host: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Parse `host:port`.

    Raises:
        InvalidAddressError: the text does not have that form, or the port is out of range.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
        raise InvalidAddressError(text)
    return SocketAddress(host, int(port))
