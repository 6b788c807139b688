"""Bad clients as a process of their own: each sends much at once and goes, again and again."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress

_PAUSE_SECONDS = 0.2
_FIELD_COUNT = 3000
# The head of one request, of some 15 KB: thousands of short fields.
_HEAD = b"POST /slot-search/x HTTP/1.1\r\nHost: origin.svc\r\n" + b"a:b\r\n" * _FIELD_COUNT + b"\r\n"


async def _send_and_go(host: str, port: int) -> None:
    """Connect, write the head, close the connection; repeat until the process ends."""
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(host, port)
            writer.write(_HEAD)
            await writer.drain()
            writer.close()
        await asyncio.sleep(_PAUSE_SECONDS)


async def _run_all(host: str, port: int, count: int) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(_send_and_go(host, port))


if __name__ == "__main__":
    # HOST PORT COUNT: the node's address, and the number of clients.
    asyncio.run(_run_all(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
