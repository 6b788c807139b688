"""Addresses as texts, `host:port`."""

from __future__ import annotations

from burlmoor.errors import BurlmoorError

_MAX_PORT = 65535


class InvalidAddressError(BurlmoorError, ValueError):
    """A text that is not `host:port` with a port from 1 to 65535; `value` is the text."""

    def __init__(self, value: str) -> None:
        super().__init__(f"{value!r} is not host:port")
        self.value = value


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port` as a socket address; InvalidAddressError if it is not one."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
        raise InvalidAddressError(text)
    return host, int(port)
