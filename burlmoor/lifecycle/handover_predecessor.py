"""The predecessor's side of a handover: this process stops accepting once its successor does."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.lifecycle.handover_codec import UnsupportedVersionError
from burlmoor.lifecycle.handover_messages import (
    PROTOCOL_VERSION,
    ConnectionCounts,
    PassedConnection,
)
from burlmoor.log_events import HandoverCompleted, HandoverReverted

if TYPE_CHECKING:
    import socket

    from burlmoor.lifecycle.components import NodeComponents
    from burlmoor.lifecycle.connection_limits import SharedConnectionLimits
    from burlmoor.lifecycle.handover_channel import HandoverChannel
    from burlmoor.lifecycle.state_transfer import StateTransfer
    from burlmoor.log import EventLogger

_COUNTS_INTERVAL_SECONDS = 0.1


class PredecessorRole:
    """Accepts connections until a successor takes over, then passes idle connections to it.

    After the handover, the downstream server uses it as its `SuccessorProcess`.
    """

    def __init__(
        self,
        components: NodeComponents,
        state: StateTransfer,
        limits: SharedConnectionLimits,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self._admin = components.admin
        self._core = components.core
        self._pool = components.pool
        self._server = components.server
        self._state = state
        self._limits = limits
        self._nursery = nursery
        self._log = log
        self._channel: HandoverChannel | None = None
        self._accept_scope: trio.CancelScope | None = None

    @property
    def successor_channel(self) -> HandoverChannel | None:
        """The channel to the successor, if there is one."""
        return self._channel

    @property
    def has_handed_over(self) -> bool:
        """Whether the successor accepts connections in place of this process."""
        return self._channel is not None and self._accept_scope is None

    @property
    def has_unsent_messages(self) -> bool:
        """Whether a message to the successor has not been sent yet."""
        return self._channel is not None and self._channel.has_unsent_messages

    def attach_channel(self, channel: HandoverChannel) -> None:
        """Set the channel to the successor."""
        self._channel = channel

    def start_accepting(self) -> None:
        """Start the task that accepts connections."""
        self._nursery.start_soon(self._accept_connections)

    async def _accept_connections(self) -> None:
        with trio.CancelScope() as self._accept_scope:
            await self._server.run()

    def send_snapshot(self, channel: HandoverChannel, version: int) -> None:
        """Answer the `Hello` of a new process with a snapshot.

        Raises:
            UnsupportedVersionError: the new process uses another version of the protocol.
        """
        if version != PROTOCOL_VERSION:
            raise UnsupportedVersionError(version)
        channel.send(self._state.take_snapshot())

    def hand_over(self, channel: HandoverChannel) -> None:
        """Stop accepting, and pass idle connections to the successor from now on."""
        if self._accept_scope is None:
            return
        self._accept_scope.cancel()
        self._accept_scope = None
        self._admin.on_serving_changed(is_serving=False)
        self._limits.freeze_upstream()
        self._core.policy.on_handover_changed(is_handed_over=True)
        self._server.peers.attach_successor(self)
        self._server.connections.pass_idle_to_successor()
        self._send_counts(channel)
        self._log(HandoverCompleted(open_jobs=self._core.jobs.count_open()))
        self._nursery.start_soon(self._report_counts, channel)

    def _send_counts(self, channel: HandoverChannel) -> None:
        channel.send(ConnectionCounts(len(self._server.connections), self._pool.open_count))

    async def _report_counts(self, channel: HandoverChannel) -> None:
        while channel.is_connected:
            await trio.sleep(_COUNTS_INTERVAL_SECONDS)
            self._server.connections.pass_idle_to_successor()
            self._send_counts(channel)

    def pass_connection(self, sock: socket.socket, *, has_been_used: bool, age_seconds: float) -> None:
        """Send an idle connection to the successor; continue to serve it here if it can't be sent now."""
        message = PassedConnection(has_been_used, age_seconds)
        if self._channel is None or not self._channel.send(message, sock):
            self._server.serve_connection(sock, has_been_used=has_been_used, age_seconds=age_seconds)

    def on_channel_lost(self) -> None:
        """Resume accepting if the successor has ended after taking over."""
        self._channel = None
        self._server.peers.attach_successor(None)
        if self._accept_scope is None:
            self._log(HandoverReverted())
            self._core.policy.on_handover_changed(is_handed_over=False)
            self._limits.restore()
            self._admin.on_serving_changed(is_serving=True)
            self.start_accepting()

    def release_channel(self) -> HandoverChannel | None:
        """Detach and return the channel, so that closing it does not revert the handover."""
        channel, self._channel = self._channel, None
        return channel
