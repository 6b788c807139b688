"""Interrupts passes over many connections, so that they do not stall the event loop."""

from __future__ import annotations

import trio

_MAX_SECONDS_WITHOUT_CHECKPOINT = 0.005


class PassLimit:
    """Lets other tasks run whenever a pass has taken some time."""

    def __init__(self) -> None:
        self._continued_at = trio.current_time()

    async def checkpoint(self) -> None:
        """Let other tasks run if the pass has taken `_MAX_SECONDS_WITHOUT_CHECKPOINT` since it last did."""
        if trio.current_time() > self._continued_at + _MAX_SECONDS_WITHOUT_CHECKPOINT:
            await trio.lowlevel.checkpoint()
            self._continued_at = trio.current_time()
