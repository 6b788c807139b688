"""The node's log: one JSON line an event on standard error, bounded in rate."""

from __future__ import annotations

import sys
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

_PER_WINDOW = 10  # lines of one event in a window; the next window's first line tells how many were left out
_WINDOW = 10.0


class EventLog:
    """Owns the log's stream and how often each event has been written lately."""

    def __init__(
        self, node: str, sink: BinaryIO | None = None, clock: Callable[[], float] = time.time
    ) -> None:
        self._node, self._clock = node, clock
        self._sink = sink or sys.stderr.buffer
        self._since = clock()
        self._written: dict[str, int] = defaultdict(int)

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line, unless this event has filled its share of the window."""
        now = self._clock()
        if now >= self._since + _WINDOW:
            dropped = {
                name: count - _PER_WINDOW for name, count in self._written.items() if count > _PER_WINDOW
            }
            self._since = now
            self._written.clear()
            if dropped:
                self._write(now, "log-dropped", {"events": dropped})
        self._written[event] += 1
        if self._written[event] <= _PER_WINDOW:
            self._write(now, event, fields)

    def _write(self, now: float, event: str, fields: dict[str, Any]) -> None:
        line = {"at": round(now, 3), "node": self._node, "event": event, **fields}
        try:
            self._sink.write(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
            self._sink.flush()
        except (OSError, ValueError):
            # Guards against a full or closed log ending the node.
            return


EventLogger = Callable[..., None]
