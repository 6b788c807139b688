"""The record of a case: what was sent, answered and run, one JSON line an event."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writes each event to a file and keeps it; times are in ms since the record began."""

    def __init__(self, path: Path) -> None:
        self.events: list[dict[str, Any]] = []
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the time in ms since the record began."""
        return (time.monotonic() - self._began_at) * 1000.0

    def add(self, event: str, **fields: object) -> dict[str, Any]:
        """Record an event that happens now, and return it."""
        entry = {"at": round(self.now(), 1), "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()
        return entry

    def find(self, event: str, **fields: object) -> list[dict[str, Any]]:
        """Return the events of this name with these fields, in the order in which they happened."""
        return [
            entry
            for entry in self.events
            if entry["event"] == event and all(entry.get(name) == fields[name] for name in fields)
        ]

    def close(self) -> None:
        """Close the file."""
        self._file.close()
