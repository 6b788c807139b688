"""The successor's side of a handover: a new process takes over from the one that serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.lifecycle.handover_messages import Accepting, Hello, Snapshot
from burlmoor.log_events import HandoverTimedOut

if TYPE_CHECKING:
    import socket

    from burlmoor.lifecycle.connection_limits import SharedConnectionLimits
    from burlmoor.lifecycle.handover_channel import HandoverChannel
    from burlmoor.lifecycle.parts import NodeParts
    from burlmoor.log import EventLogger

_SNAPSHOT_TIMEOUT_SECONDS = 1.5  # a process that has not answered by then is taken to be stuck
_COUNTS_TIMEOUT_SECONDS = 0.5


class SuccessorRole:
    """Owns the channel to the predecessor, and takes over from it what it sends."""

    def __init__(self, parts: NodeParts, limits: SharedConnectionLimits, log: EventLogger) -> None:
        self._parts = parts
        self._limits = limits
        self._log = log
        self.channel: HandoverChannel | None = None  # None: there is no predecessor
        self._has_snapshot = trio.Event()
        self._has_counts = trio.Event()

    async def request_snapshot(self, channel: HandoverChannel) -> None:
        """Ask the predecessor for its state; without an answer in time, this process starts alone."""
        self.channel = channel
        channel.send(Hello())
        with trio.move_on_after(_SNAPSHOT_TIMEOUT_SECONDS):
            await self._has_snapshot.wait()
        if not self._has_snapshot.is_set() or not channel.is_connected:
            self._log(HandoverTimedOut())
            channel.close()
            self.channel = None

    async def announce_accepting(self) -> None:
        """Tell the predecessor that this process accepts, and wait a moment until it has stopped."""
        if self.channel is not None and self.channel.send(Accepting()):
            with trio.move_on_after(_COUNTS_TIMEOUT_SECONDS):
                await self._has_counts.wait()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Go on from the predecessor's state."""
        self._parts.admin.replace(snapshot.overrides)
        self._parts.directory.restore(snapshot.endpoints)
        core = self._parts.core
        self._parts.engine.step()  # the policy gets the list first: statistics are restored for its endpoints
        core.policy.restore_statistics_snapshot(snapshot.statistics, core.clock())
        core.jobs.add_ids_in_other_process(snapshot.job_ids)
        self._limits.reserve(snapshot.downstream, snapshot.upstream)
        self._has_snapshot.set()

    def on_connection_counts(self, downstream: int, upstream: int) -> None:
        """Leave out of this process's limits what the predecessor still has open."""
        self._limits.reserve(downstream, upstream)
        self._has_counts.set()

    def on_connection_passed(self, sock: socket.socket, has_been_used: bool, age_seconds: float) -> None:
        """Serve a connection that the predecessor accepted."""
        self._parts.server.adopt(sock, has_been_used=has_been_used, age_seconds=age_seconds)

    def on_channel_lost(self) -> None:
        """Go on alone: the predecessor has ended."""
        self.channel = None
        self._parts.core.jobs.clear_ids_in_other_process()
        self._limits.reserve(0, 0)
        self._has_snapshot.set()
        self._has_counts.set()
