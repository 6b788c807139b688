"""What the helper processes of a fleet read: lines of JSON on standard input, until it ends."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, TypeVar

import msgspec
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

_Config = TypeVar("_Config")


def run_process(serve: Callable[[_Config], Awaitable[None]], config_type: type[_Config]) -> int:
    """Read the configuration from the first line, run `serve` with it, and return the exit status."""
    trio.run(serve, msgspec.json.decode(read_first_line(), type=config_type))
    return 0


async def read_lines() -> AsyncIterator[bytes]:
    """Yield each non-empty line until the input ends.

    Nothing else may read standard input, and the first line must be read with `read_first_line`: a buffered
    reader would keep bytes of the lines after it.
    """
    stream = trio.lowlevel.FdStream(sys.stdin.fileno())
    buffer = b""
    while data := await stream.receive_some(65_536):
        *complete, buffer = (buffer + data).split(b"\n")
        for line in complete:
            if line.strip():
                yield line


def read_first_line() -> bytes:
    """Return the first line, read byte by byte so that none of the second is consumed."""
    line = b""
    while not line.endswith(b"\n"):
        byte = os.read(sys.stdin.fileno(), 1)
        if not byte:
            break
        line += byte
    return line
