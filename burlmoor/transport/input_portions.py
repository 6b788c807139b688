"""Divides received bytes into portions, so that no peer's input occupies the event loop for long.

The work of the HTTP parser grows with the number of lines, of a head or of the chunked encoding, and not with
the length of a body: a peer may send thousands of lines in a few kilobytes.
"""

from __future__ import annotations

_MAX_PORTION_LINES = 64  # about a millisecond's work


class InputPortions:
    """Holds bytes that were received, but not parsed yet.

    - `last_line_count`: how many lines the last portion had; part of a body with a known length has none
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self.last_line_count = 0

    def __len__(self) -> int:
        return len(self._data)

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self._data += data

    def peek(self, count: int) -> bytes:
        """Return the first bytes, at most `count`, without removing them."""
        return bytes(self._data[:count])

    def take(self, missing_body_bytes: int) -> bytes:
        """Remove and return the next portion.

        While `missing_body_bytes` of a body with a known length are missing, it has up to so many bytes, else
        a limited number of lines.
        """
        self.last_line_count = 0
        end = missing_body_bytes or self._find_line_end()
        portion = bytes(self._data[:end])
        del self._data[:end]
        return portion

    def _find_line_end(self) -> int:
        """Return the end of the last line of a portion, or the end of the data."""
        end = 0
        while self.last_line_count < _MAX_PORTION_LINES:
            newline = self._data.find(b"\n", end)
            if newline < 0:
                return len(self._data)
            end = newline + 1
            self.last_line_count += 1
        return end
