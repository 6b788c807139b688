"""Reads what a client sends on one connection, and parses it in portions.

Within the connection's allowance, input is handled as soon as it arrives; what exceeds it waits for turns
(`excess_input`).
"""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING, Protocol

import trio

from burlmoor.downstream.accepted_socket import LINGER_BYTES
from burlmoor.downstream.excess_input import AbandonedInputError, InputAllowance
from burlmoor.transport.stream import ReceiveResult

if TYPE_CHECKING:
    from burlmoor.downstream.accepted_socket import AcceptedSocket
    from burlmoor.downstream.excess_input import ExcessInputTurns
    from burlmoor.downstream.http import HttpServerConnection
    from burlmoor.downstream.requests import ParsedRequest

# More portions than the largest request with a Content-Length takes: 16 KiB are read at a time.
_MAX_PENDING_PORTIONS = 12
_MAX_EXCESS_PORTIONS = 1  # enough for the rest of a head and its body
_DISCARD_BYTES_PER_TURN = 1 << 20  # less than a millisecond's work


class InputHandler(Protocol):
    """Handles the input of one connection."""

    def on_portion_begins(self) -> None:
        """Handle that a portion of the input is about to be parsed."""

    def on_portion_parsed(self, request: ParsedRequest | None) -> None:
        """Handle a portion, and the request that it completes, if any."""

    def on_input_handled(self) -> None:
        """Handle that all input has been handled that arrived at once, or that the allowance is used up."""


class InputReader:
    """Reads the input of one connection, which owns the reader.

    - `last_received_at`: when data last arrived
    """

    def __init__(
        self,
        accepted_socket: AcceptedSocket,
        http: HttpServerConnection,
        handler: InputHandler,
        turns: ExcessInputTurns,
        last_received_at: float,
    ) -> None:
        self._socket = accepted_socket
        self._stream = accepted_socket.stream
        self._http = http
        # Not a cycle of references, so that a connection that has ended is freed at once.
        self._handler: InputHandler = weakref.proxy(handler)
        self._turns = turns
        self._allowance = InputAllowance()
        self._receive_scope = trio.CancelScope()  # cancels the wait for further input
        self.last_received_at = last_received_at

    @property
    def can_handle_input(self) -> bool:
        """Whether input has been read that may be handled now."""
        # A job admitted from a connection that is closed, or about to be, could not be answered.
        is_closed = self._stream.is_closed or self._socket.scope.cancel_called
        if is_closed or self._http.has_open_request or self._http.is_closing:
            return False
        return bool(self._stream.inbound) or self._http.has_unparsed_input

    @property
    def has_excess_input(self) -> bool:
        """Whether input has been read that waits for a turn."""
        return self._allowance.is_used_up and self.can_handle_input

    def read_now(self) -> None:
        """Handle the input that has already arrived, without waiting, as far as the allowance goes.

        Raises:
            OSError: the connection broke.
        """
        if self._stream.receive_now() is ReceiveResult.DATA:
            self._handle_received()

    async def read(self) -> None:
        """Read and handle input until nothing more is to be read, or the client has disconnected.

        Raises:
            OSError: the connection broke.
        """
        while not self._http.is_finished:
            if self.can_handle_input:
                if not await self._handle_in_turn():
                    return
                continue
            if not self._stream.inbound.free_space:
                # Keep reading with a full buffer, to notice when the client disconnects: a close is only read
                # after all data before it, and its job would otherwise go on. The client has sent more than
                # the open request, so the rest is discarded and the response closes the connection.
                self._http.stop_reading()
                if not await self._stream.discard_up_to(LINGER_BYTES):
                    await self._discard_in_turns()
                return
            if not await self._receive():
                return

    async def _handle_in_turn(self) -> bool:
        """Handle a portion of the input in a turn; return False if the client has disconnected before.

        An executor may close its connection right after a call-back, which counts nevertheless.

        Raises:
            StreamClosedError: this side has closed the connection.
        """
        outlasts_peer = self._http.is_receiving_callback
        try:
            async with self._turns.turn(
                self._stream, self._allowance.turn_level, outlasts_peer=outlasts_peer
            ):
                self._handle_next_portion()
        except AbandonedInputError:
            return False
        return True

    async def _discard_in_turns(self) -> None:
        """Discard what the client sends in excess until it disconnects.

        Its close may be behind megabytes that its kernel has not sent yet, so they are not read slowly.

        Raises:
            OSError: the connection broke, or this side has closed it.
        """
        while await self._stream.wait_readable():
            try:
                async with self._turns.turn(self._stream, self._allowance.turn_level, outlasts_peer=False):
                    self._stream.discard_available(_DISCARD_BYTES_PER_TURN)
            except AbandonedInputError:
                return

    async def _receive(self) -> bool:
        """Wait for input, or until `resume` is called, and handle it.

        Returns False if the client has shut down its sending side.

        Raises:
            OSError: the connection broke.
        """
        with trio.CancelScope() as self._receive_scope:
            if not await self._stream.receive():
                return False
        self._handle_received()
        return True

    def resume(self) -> None:
        """Have the task that waits for further input handle what was read before."""
        self._receive_scope.cancel()

    def _handle_received(self) -> None:
        """Handle the input that has been read, as far as the allowance goes; `read` handles the rest."""
        self.last_received_at = trio.current_time()
        self._allowance.on_read(len(self._stream.inbound))
        while self.can_handle_input and not self._allowance.is_used_up:
            self._handle_next_portion()
        self._handler.on_input_handled()

    def _handle_next_portion(self) -> None:
        """Parse the next portion of the input, and pass on the request that it completes."""
        if not self.can_handle_input:
            return
        self._handler.on_portion_begins()
        request = self._http.receive_data(self._stream.inbound.read_all())
        self._allowance.on_lines_parsed(self._http.last_line_count)
        if request is not None:
            self._allowance.on_request(has_more_input=self._http.has_unparsed_input)
        self._handler.on_portion_parsed(request)

    def read_pending(self, *, may_exceed_allowance: bool) -> None:
        """Handle input that has arrived but was not read yet, up to the end of one request.

        Input beyond the allowance waits for a turn. Before the connection is closed, it may exceed the
        allowance by as much as the rest of a request that a slow client has written in many pieces.

        Raises:
            OSError: the connection broke.
        """
        has_received = self._handle_pending(_MAX_EXCESS_PORTIONS if may_exceed_allowance else 0)
        # A client that has sent more than was handled is not a slow one.
        if has_received and not self.can_handle_input:
            self.last_received_at = trio.current_time()

    def _handle_pending(self, max_excess_portions: int) -> bool:
        """Read and handle input up to the end of one request; return whether any has arrived.

        Raises:
            OSError: the connection broke.
        """
        has_received = False
        excess_portions = 0
        for _ in range(_MAX_PENDING_PORTIONS):
            if self._stream.is_closed or self._http.has_open_request or self._http.is_closing:
                break
            if self._allowance.is_used_up:
                if excess_portions == max_excess_portions:
                    break
                excess_portions += 1
            if not self.can_handle_input:
                if self._stream.receive_now() is not ReceiveResult.DATA:
                    break
                has_received = True
                self._allowance.on_read(len(self._stream.inbound))
            self._handle_next_portion()
        return has_received

    def read_ahead(self) -> bool:
        """Read what has arrived behind the open request; return whether the client's close follows it.

        Raises:
            OSError: the connection broke.
        """
        while (result := self._stream.receive_now()) is ReceiveResult.DATA:
            pass
        if not self._stream.inbound.free_space:
            self._http.stop_reading()
            self._receive_scope.cancel()  # the task discards further input
            self._stream.discard_available(LINGER_BYTES)
        return result is ReceiveResult.END or self._stream.has_peer_closed()
