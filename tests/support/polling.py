"""Polling for a state of a real process, which does not notify the test."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

POLL_SECONDS = 0.02
TIMEOUT_SECONDS = 30.0


async def poll_until(
    condition: Callable[[], Awaitable[bool]], interval_seconds: float = POLL_SECONDS
) -> None:
    """Poll until the condition holds; raise `trio.TooSlowError` after 30 s."""
    with trio.fail_after(TIMEOUT_SECONDS):
        while True:
            if await condition():
                return
            await trio.sleep(interval_seconds)
