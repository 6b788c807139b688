"""The predecessor's side of a handover: the process that serves lets another one accept in its place."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.lifecycle.handover_codec import UnsupportedVersionError
from burlmoor.lifecycle.handover_messages import (
    PROTOCOL_VERSION,
    ConnectionCounts,
    JobOpened,
    PassedConnection,
    Snapshot,
)
from burlmoor.log_events import HandoverCompleted, HandoverReverted

if TYPE_CHECKING:
    import socket

    from burlmoor.lifecycle.connection_limits import SharedConnectionLimits
    from burlmoor.lifecycle.handover_channel import HandoverChannel
    from burlmoor.lifecycle.parts import NodeParts
    from burlmoor.log import EventLogger

_REPORT_INTERVAL_SECONDS = 0.1


class PredecessorRole:
    """Owns the channel to the successor, and whether this process accepts connections.

    Once it has handed over, it is the downstream server's `SuccessorProcess`.
    """

    def __init__(
        self, parts: NodeParts, limits: SharedConnectionLimits, nursery: trio.Nursery, log: EventLogger
    ) -> None:
        self._parts = parts
        self._limits = limits
        self._nursery = nursery
        self._log = log
        self.channel: HandoverChannel | None = None  # None: there is no successor
        self._accept_scope: trio.CancelScope | None = None

    @property
    def has_handed_over(self) -> bool:
        """Whether the successor accepts in this process's place."""
        return self.channel is not None and self._accept_scope is None

    @property
    def has_unsent(self) -> bool:
        """Whether something that the successor is to have has not been sent yet."""
        return self.channel is not None and self.channel.has_unsent

    def start_accepting(self) -> None:
        """Start the task that accepts connections."""
        self._nursery.start_soon(self._accept_connections)

    async def _accept_connections(self) -> None:
        with trio.CancelScope() as self._accept_scope:
            await self._parts.server.run()

    def send_snapshot(self, channel: HandoverChannel, version: int) -> None:
        """Answer a new process's hello; `UnsupportedVersionError` if it speaks another version."""
        if version != PROTOCOL_VERSION:
            raise UnsupportedVersionError(version)
        parts = self._parts
        snapshot = Snapshot(
            overrides=parts.admin.overrides,
            endpoints=parts.directory.snapshot(),
            statistics=parts.core.policy.take_statistics_snapshot(parts.core.clock()),
            job_ids=parts.core.jobs.ids(),
            downstream=len(parts.server.connections),
            upstream=parts.pool.open_count,
        )
        channel.send(snapshot)

    def hand_over(self, channel: HandoverChannel) -> None:
        """Stop accepting, and pass connections that lie between requests to the successor from now on."""
        if self._accept_scope is None:
            return
        self._accept_scope.cancel()
        self._accept_scope = None
        self._parts.admin.is_serving = False
        self._limits.freeze_upstream()
        self._parts.core.policy.on_handover_changed(is_handed_over=True)
        self._parts.server.peers.attach_successor(self)
        self._parts.server.connections.pass_idle_to_successor()
        self._send_counts(channel)
        self._log(HandoverCompleted(open_jobs=self._parts.core.jobs.count_open()))
        self._nursery.start_soon(self._report_counts, channel)

    def _send_counts(self, channel: HandoverChannel) -> None:
        channel.send(ConnectionCounts(len(self._parts.server.connections), self._parts.pool.open_count))

    async def _report_counts(self, channel: HandoverChannel) -> None:
        while channel.is_connected:
            await trio.sleep(_REPORT_INTERVAL_SECONDS)
            self._parts.server.connections.pass_idle_to_successor()
            self._send_counts(channel)

    def pass_connection(self, sock: socket.socket, *, has_been_used: bool, age_seconds: float) -> None:
        """Send a connection that lies between requests to the successor."""
        message = PassedConnection(has_been_used, age_seconds)
        if self.channel is None or not self.channel.send(message, sock):
            sock.close()

    def on_job_opened(self, request_id: str) -> None:
        """Tell the successor of a job that was admitted here after the handover."""
        if self.channel is not None:
            self.channel.send(JobOpened(request_id))

    def on_channel_lost(self) -> None:
        """Accept again if the successor that had taken over has died."""
        self.channel = None
        self._parts.server.peers.attach_successor(None)
        if self._accept_scope is None:
            self._log(HandoverReverted())
            self._parts.core.policy.on_handover_changed(is_handed_over=False)
            self._limits.restore()
            self._parts.admin.is_serving = True
            self.start_accepting()

    def release_channel(self) -> HandoverChannel | None:
        """Give up the channel, so that its end does not revert the handover."""
        channel, self.channel = self.channel, None
        return channel
