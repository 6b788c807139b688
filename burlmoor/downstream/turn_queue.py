"""Gives tasks turns one at a time: first those whose connections have been served least."""

from __future__ import annotations

import trio


class TurnQueue:
    """Queues the tasks that wait for a turn by level, and within a level in the order of their arrival."""

    def __init__(self) -> None:
        self._is_taken = False
        self._waiting: dict[int, dict[trio.Event, None]] = {}  # by level; the keys are in order of arrival

    async def acquire(self, level: int) -> None:
        """Wait for a turn; waiting tasks of a lower level come first.

        Raises:
            Cancelled: the wait was cancelled; the task has no turn.
        """
        if not self._is_taken:
            self._is_taken = True
            return
        granted = trio.Event()
        self._waiting.setdefault(level, {})[granted] = None
        try:
            await granted.wait()
        except trio.Cancelled:
            if granted.is_set():
                self.release()
            else:
                self._remove(level, granted)
            raise

    def release(self) -> None:
        """End the turn, and grant the next one."""
        if not self._waiting:
            self._is_taken = False
            return
        level = min(self._waiting)
        granted = next(iter(self._waiting[level]))
        self._remove(level, granted)
        granted.set()

    def _remove(self, level: int, granted: trio.Event) -> None:
        waiting = self._waiting[level]
        del waiting[granted]
        if not waiting:
            del self._waiting[level]
