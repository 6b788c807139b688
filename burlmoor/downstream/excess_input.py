"""Limits the time that the node spends on connections that send more than a client needs to send.

A client sends one request at a time and waits for its response, so it never uses up its allowance. What a
connection sends beyond it (requests without waiting, single bytes, chunks of one byte, heads of thousands of
fields) is handled in turns, which all such connections share.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from burlmoor.counters import CounterGroup

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burlmoor.counters import EventCounters

# Costs in lines: what the parser does per line of a head or of the chunked encoding.
_ALLOWANCE_LINES = 320  # four short reads: clients and executors may write a head and its body in pieces
_READ_COST_LINES = 4
_SHORT_READ_COST_LINES = 64  # such reads cost the event loop much for what they bring
_SHORT_READ_BYTES = 512
_REQUEST_COST_LINES = 16
# After a turn none begins for this many times its duration, so that turns take a quarter of the node's time.
_PAUSE_FACTOR = 3.0
_TURN = "turns"  # as counted
_MAX_COUNTED_SECONDS = 0.02  # of a turn, since a turn may also take long because the process is stalled


class InputAllowance:
    """What one connection may have read and parsed without a turn, since it last waited for a response."""

    def __init__(self) -> None:
        self._used_lines = 0

    @property
    def is_used_up(self) -> bool:
        """Whether further input of the connection has to wait for a turn."""
        return self._used_lines >= _ALLOWANCE_LINES

    def on_read(self, byte_count: int) -> None:
        """Count one read from the socket, which returned this many bytes."""
        is_short = byte_count < _SHORT_READ_BYTES
        self._used_lines += _SHORT_READ_COST_LINES if is_short else _READ_COST_LINES

    def on_lines_parsed(self, line_count: int) -> None:
        """Count lines that were parsed."""
        self._used_lines += line_count

    def on_request(self, *, has_more_input: bool) -> None:
        """Count a complete request, or restore the allowance if the client has sent nothing after it."""
        self._used_lines = self._used_lines + _REQUEST_COST_LINES if has_more_input else 0


class ExcessInputTurns:
    """Gives one connection at a time a turn, in the order in which they ask for one."""

    def __init__(self, counters: EventCounters) -> None:
        self._lock = trio.Lock()  # trio's locks are fair
        self._counters = counters

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Wait for a turn; the enclosed code must not suspend."""
        async with self._lock:
            self._counters.count(CounterGroup.EXCESS_INPUT, _TURN)
            started_at = trio.current_time()
            yield
            duration_seconds = min(trio.current_time() - started_at, _MAX_COUNTED_SECONDS)
            await trio.sleep(_PAUSE_FACTOR * duration_seconds)
