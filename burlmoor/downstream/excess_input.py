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
from burlmoor.downstream.turn_queue import TurnQueue
from burlmoor.errors import BurlmoorError
from burlmoor.transport.peer_close_watch import PeerCloseWatch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burlmoor.counters import EventCounters
    from burlmoor.transport.stream import SocketStream

# Costs in lines: what the parser does per line of a head or of the chunked encoding.
# Four short reads of 21 lines: clients and executors may write a head and its body in pieces.
_ALLOWANCE_LINES = 384
_READ_COST_LINES = 4
_SHORT_READ_COST_LINES = 64  # such reads cost the event loop much for what they bring
_SHORT_READ_BYTES = 512
_PARSED_LINE_COST_LINES = 6  # every new connection may use its allowance, so that is one portion
_REQUEST_COST_LINES = 16
_LINES_PER_TURN_LEVEL = 64
# After a turn none begins for this many times its duration, so that turns take a quarter of the node's time.
_PAUSE_FACTOR = 3.0
_TURN, _ABANDONED = "turns", "abandoned"  # as counted
_MAX_COUNTED_SECONDS = 0.02  # of a turn, since a turn may also take long because the process is stalled


class AbandonedInputError(BurlmoorError):
    """The peer closed the connection before its turn."""

    def __init__(self) -> None:
        super().__init__("the peer closed the connection before its turn")


class InputAllowance:
    """What one connection may have read and parsed without a turn, since it last waited for a response."""

    def __init__(self) -> None:
        self._used_lines = 0

    @property
    def turn_level(self) -> int:
        """The level at which the connection waits for a turn: higher, the more it has sent."""
        return self._used_lines // _LINES_PER_TURN_LEVEL

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
        self._used_lines += _PARSED_LINE_COST_LINES * line_count

    def on_request(self, *, has_more_input: bool) -> None:
        """Count a complete request, or restore the allowance if the client has sent nothing after it."""
        self._used_lines = self._used_lines + _REQUEST_COST_LINES if has_more_input else 0


class ExcessInputTurns:
    """Gives one connection at a time a turn, those first that have sent least beyond what a client needs.

    So a client that writes its request in many pieces does not wait for those that send thousands of lines.
    `run` must be running: it ends the waits of connections whose peers close them.
    """

    def __init__(self, counters: EventCounters) -> None:
        self._queue = TurnQueue()
        self._peer_close_watch = PeerCloseWatch()
        self._counters = counters

    async def run(self) -> None:
        """Notice the peers that close their connections during a wait, until cancelled."""
        await self._peer_close_watch.run()

    @asynccontextmanager
    async def turn(self, stream: SocketStream, level: int, *, outlasts_peer: bool) -> AsyncIterator[None]:
        """Wait for a turn; the enclosed code must not suspend.

        `level` is the `turn_level` of the connection's allowance, and `outlasts_peer` whether the input of
        `stream` counts even if its peer has closed the connection.

        Raises:
            AbandonedInputError: the peer closed the connection first, and the input does not count then.
            StreamClosedError: this side has closed the stream.
        """
        if not outlasts_peer:
            await self._wait_unless_abandoned(stream, level)
        else:
            await self._queue.acquire(level)
        try:
            self._counters.count(CounterGroup.EXCESS_INPUT, _TURN)
            started_at = trio.current_time()
            yield
            duration_seconds = min(trio.current_time() - started_at, _MAX_COUNTED_SECONDS)
            await trio.sleep(_PAUSE_FACTOR * duration_seconds)
        finally:
            self._queue.release()

    async def _wait_unless_abandoned(self, stream: SocketStream, level: int) -> None:
        """Wait for a turn.

        Raises:
            AbandonedInputError: the peer closed the connection first.
            StreamClosedError: this side has closed the stream.
        """
        has_peer_closed = stream.has_peer_closed()
        if not has_peer_closed:
            with self._peer_close_watch.cancelling(stream) as scope:
                await self._queue.acquire(level)
            has_peer_closed = scope.cancelled_caught
        if has_peer_closed:
            self._counters.count(CounterGroup.EXCESS_INPUT, _ABANDONED)
            raise AbandonedInputError
