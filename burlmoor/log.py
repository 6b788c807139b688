"""The node's log: one JSON line an event on standard error, bounded in rate."""

from __future__ import annotations

import sys
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

# Lines of one event in a window; the first line of the next window says how many were dropped.
_MAX_LINES_PER_WINDOW = 10
_MAX_LINES_OF_EVENT = {"job-ended": 200}  # a line a job, which an incident cannot do without
_WINDOW_SECONDS = 10.0


# Logs one event: called with its name, and its fields as keyword arguments.
EventLogger = Callable[..., None]


class EventLog:
    """Owns the log's stream, and how many lines of each event the current window has."""

    def __init__(
        self, node: str, sink: BinaryIO | None = None, clock: Callable[[], float] = time.time
    ) -> None:
        self._node = node
        self._sink = sink or sys.stderr.buffer
        self._clock = clock
        self._window_start = clock()
        self._line_counts: dict[str, int] = defaultdict(int)

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line, unless the window has enough of this event."""
        now = self._clock()
        if now >= self._window_start + _WINDOW_SECONDS:
            self._start_window(now)
        self._line_counts[event] += 1
        if self._line_counts[event] <= _max_lines(event):
            self._write(now, event, fields)

    def _start_window(self, now: float) -> None:
        dropped = {
            event: count - _max_lines(event)
            for event, count in self._line_counts.items()
            if count > _max_lines(event)
        }
        self._window_start = now
        self._line_counts.clear()
        if dropped:
            self._write(now, "log-dropped", {"events": dropped})

    def _write(self, now: float, event: str, fields: dict[str, Any]) -> None:
        line = {"at": round(now, 3), "node": self._node, "event": event, **fields}
        try:
            self._sink.write(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
            self._sink.flush()
        except (OSError, ValueError):
            # Without this, a full or closed log would end the node.
            return


def _max_lines(event: str) -> int:
    """Return how many lines of an event one window may have."""
    return _MAX_LINES_OF_EVENT.get(event, _MAX_LINES_PER_WINDOW)
