"""Idle clients as a process of their own: they connect, send nothing, and rest until the node ends them."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress


async def _rest(host: str, port: int) -> None:
    """Connect once, and wait for the end of the connection."""
    with suppress(OSError):
        reader, writer = await asyncio.open_connection(host, port)
        await reader.read()
        writer.close()


async def _rest_all(host: str, port: int, count: int) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(_rest(host, port))


if __name__ == "__main__":
    # HOST PORT COUNT: the node's address, and the number of clients.
    asyncio.run(_rest_all(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
