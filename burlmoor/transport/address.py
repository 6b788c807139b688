"""Socket addresses, and their text form `host:port`."""

from __future__ import annotations

from typing import NamedTuple

from burlmoor.errors import BurlmoorError

_MAX_PORT = 65535


class InvalidAddressError(BurlmoorError, ValueError):
    """The text `value` is not `host:port` with a port from 1 to 65535."""

    def __init__(self, value: str) -> None:
        super().__init__(f"{value!r} is not host:port")
        self.value = value


class SocketAddress(NamedTuple):
    """An IPv4 address or host name and a TCP port, as the standard library's sockets accept it."""

    host: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Parse `host:port`.

    Raises:
        InvalidAddressError: the text is not of that form.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
        raise InvalidAddressError(text)
    return SocketAddress(host, int(port))
