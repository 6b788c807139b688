"""The node's log: one JSON line per event on standard error, limited in rate."""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, BinaryIO

import orjson

from burlmoor.log_events import JobEnded, LogDropped, LogEvent

if TYPE_CHECKING:
    from collections.abc import Mapping

# Per event type and window. The first event after the window reports how many lines were dropped.
_MAX_LINES_PER_WINDOW = 10
_MAX_LINES_OF_EVENT: Mapping[type[LogEvent], int] = {
    JobEnded: 200,  # needed to analyse an incident
}
_WINDOW_SECONDS = 10.0


EventLogger = Callable[[LogEvent], None]  # logs one event


class EventLog:
    """Writes events to the log's stream, and counts the lines of each event in the current window."""

    def __init__(
        self, node: str, sink: BinaryIO | None = None, clock: Callable[[], float] = time.time
    ) -> None:
        self._node = node
        self._sink = sink or sys.stderr.buffer
        self._clock = clock
        self._window_start = clock()
        self._line_counts: Counter[type[LogEvent]] = Counter()

    def __call__(self, event: LogEvent) -> None:
        """Write one line, unless the window has reached its limit for this event."""
        now = self._clock()
        if now >= self._window_start + _WINDOW_SECONDS:
            self._start_window(now)
        event_type = type(event)
        self._line_counts[event_type] += 1
        if self._line_counts[event_type] <= _max_lines(event_type):
            self._write(now, event)

    def _start_window(self, now: float) -> None:
        dropped = {
            event_type.event_name(): count - _max_lines(event_type)
            for event_type, count in self._line_counts.items()
            if count > _max_lines(event_type)
        }
        self._window_start = now
        self._line_counts.clear()
        if dropped:
            self._write(now, LogDropped(events=dropped))

    def _write(self, now: float, event: LogEvent) -> None:
        line = {"at": round(now, 3), "node": self._node, **event.to_line()}
        try:
            self._sink.write(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
            self._sink.flush()
        except (OSError, ValueError):
            # A full or closed log must not end the node.
            return


def _max_lines(event_type: type[LogEvent]) -> int:
    """Return how many lines of an event may be written in one window."""
    return _MAX_LINES_OF_EVENT.get(event_type, _MAX_LINES_PER_WINDOW)
