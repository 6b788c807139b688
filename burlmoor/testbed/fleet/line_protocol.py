"""The protocol between a run and its helper processes: lines of JSON on standard input and output.

A process reads its configuration from the first line of its input and a message from each further line, and
ends when its input ends. Executors, relays and the datagram switch write a line when they are ready;
executors and clients write one when they have finished.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, TypeVar

import msgspec
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

_Config = TypeVar("_Config")

_CHUNK_BYTES = 65_536


def run_process(serve: Callable[[_Config], Awaitable[None]], config_type: type[_Config]) -> int:
    """Read the configuration from the first line, run `serve` with it, and return the exit status."""
    trio.run(serve, msgspec.json.decode(read_first_line(), type=config_type))
    return 0


def send_status_line() -> None:
    """Write the line that tells the run that this process is ready, or has finished."""
    print("{}", flush=True)


async def read_lines() -> AsyncIterator[bytes]:
    """Yield each non-empty line of standard input until it ends.

    Nothing else may read standard input, except `read_first_line` for the first line: a buffered reader would
    hold back bytes of the lines after it.
    """
    stream = trio.lowlevel.FdStream(sys.stdin.fileno())
    buffer = b""
    while data := await stream.receive_some(_CHUNK_BYTES):
        *complete, buffer = (buffer + data).split(b"\n")
        for line in complete:
            if line.strip():
                yield line


def read_first_line() -> bytes:
    """Return the first line of standard input, read byte by byte so that none of the second is consumed."""
    line = b""
    while not line.endswith(b"\n"):
        byte = os.read(sys.stdin.fileno(), 1)
        if not byte:
            break
        line += byte
    return line
