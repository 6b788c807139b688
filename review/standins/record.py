"""The record of a run: what was sent, answered and run, with the time of each event."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writes one line an event to the file; times are in seconds since the run began."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Return the present time."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> float:
        """Write an event that happens now, and return its time."""
        now = self.now()
        self._file.write(f"{now:9.3f} {text}\n")
        return now
