"""What parties in processes of their own are told: lines on standard input, until it ends."""

from __future__ import annotations

import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

_T = TypeVar("_T")


def play(run: Callable[[_T], Awaitable[None]], plan: type[_T]) -> int:
    """A party's whole life: it is told its plan in the first line, and runs; the exit status."""
    trio.run(run, msgspec.json.decode(first(), type=plan))
    return 0


async def lines() -> AsyncIterator[bytes]:
    """Each line that comes; the end of input ends it.

    Nothing else may read standard input, and the first line is to be read with `first` alone: a buffer
    under it would keep what came along.
    """
    stream = trio.lowlevel.FdStream(sys.stdin.fileno())
    buffer = b""
    while data := await stream.receive_some(65_536):
        *whole, buffer = (buffer + data).split(b"\n")
        for line in whole:
            if line.strip():
                yield line


def first() -> bytes:
    """The first line, read byte by byte so that none of the second is taken along."""
    line = b""
    while not line.endswith(b"\n"):
        byte = os.read(sys.stdin.fileno(), 1)
        if not byte:
            break
        line += byte
    return line
