"""Floods a real node with input during a test."""

from __future__ import annotations

import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol

import trio

from burlmoor.testbed.fleet import input_flood

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Addressed(Protocol):
    """A node, or what stands for its processes."""

    @property
    def address(self) -> tuple[str, int]:
        """The address to which clients connect."""


@asynccontextmanager
async def flooding(node: Addressed, kind: str, connection_count: int) -> AsyncIterator[None]:
    """Flood a node until the context ends."""
    host, port = node.address
    arguments = [kind, host, str(port), str(connection_count), str(input_flood.MAX_SECONDS)]
    process = await trio.lowlevel.open_process([sys.executable, "-m", input_flood.__name__, *arguments])
    try:
        yield
        assert process.poll() is None, "the flooding client has ended"
    finally:
        with trio.CancelScope(shield=True):
            process.kill()
            await process.wait()
