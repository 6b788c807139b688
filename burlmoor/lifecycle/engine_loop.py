"""The task that calls `Engine.step` whenever the engine is due."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.engine.engine import Engine


class EngineLoop:
    """Waits until the engine is due or woken, then steps it; `clock` returns milliseconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._wake_event = trio.Event()

    def wake(self) -> None:
        """Make the loop recompute when the engine is next due."""
        self._wake_event.set()

    async def run(self, engine: Engine) -> None:
        """Step the engine until cancelled."""
        while True:
            self._wake_event = trio.Event()
            wait_seconds = self._seconds_until_due(engine)
            if wait_seconds > 0.0:
                with trio.move_on_after(wait_seconds):
                    await self._wake_event.wait()
                # Woken early: wait again until the engine is due. It collects events for one tick, then
                # passes them to the policy together.
                if self._seconds_until_due(engine) > 0.0:
                    continue
            else:
                await trio.lowlevel.checkpoint()
            engine.step()

    def _seconds_until_due(self, engine: Engine) -> float:
        return (engine.next_due() - self._clock()) / 1000.0
