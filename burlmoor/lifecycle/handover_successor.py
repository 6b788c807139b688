"""The successor's side of a handover: this process takes over from its predecessor."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.lifecycle.handover_messages import Accepting, Hello, Snapshot
from burlmoor.log_events import HandoverTimedOut

if TYPE_CHECKING:
    from burlmoor.lifecycle.components import NodeComponents
    from burlmoor.lifecycle.connection_limits import SharedConnectionLimits
    from burlmoor.lifecycle.handover_channel import HandoverChannel
    from burlmoor.lifecycle.state_transfer import StateTransfer
    from burlmoor.log import EventLogger

_SNAPSHOT_TIMEOUT_SECONDS = 1.5  # a predecessor that takes longer is considered hung
_COUNTS_TIMEOUT_SECONDS = 0.5


class SuccessorRole:
    """Requests the predecessor's state over the channel to it, and applies what it sends."""

    def __init__(
        self,
        components: NodeComponents,
        state: StateTransfer,
        limits: SharedConnectionLimits,
        log: EventLogger,
    ) -> None:
        self._jobs = components.core.jobs
        self._state = state
        self._limits = limits
        self._log = log
        self._channel: HandoverChannel | None = None
        self._has_snapshot = trio.Event()
        self._has_counts = trio.Event()

    @property
    def predecessor_channel(self) -> HandoverChannel | None:
        """The channel to the predecessor, if there is one."""
        return self._channel

    async def request_snapshot(self, channel: HandoverChannel) -> None:
        """Request the predecessor's state; if it does not arrive in time, this process starts without it."""
        self._channel = channel
        channel.send(Hello())
        with trio.move_on_after(_SNAPSHOT_TIMEOUT_SECONDS):
            await self._has_snapshot.wait()
        if not self._has_snapshot.is_set() or not channel.is_connected:
            self._log(HandoverTimedOut())
            channel.close()
            self._channel = None

    async def announce_accepting(self) -> None:
        """Notify the predecessor that this process accepts, and wait briefly for it to stop accepting."""
        if self._channel is not None and self._channel.send(Accepting()):
            with trio.move_on_after(_COUNTS_TIMEOUT_SECONDS):
                await self._has_counts.wait()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Restore the predecessor's state, and leave room for its open connections."""
        self._state.restore(snapshot)
        self._limits.reserve(snapshot.downstream_connections, snapshot.upstream_connections)
        self._has_snapshot.set()

    def on_connection_counts(self, downstream: int, upstream: int) -> None:
        """Subtract the connections that the predecessor still has open from this process's limits."""
        self._limits.reserve(downstream, upstream)
        self._has_counts.set()

    def on_channel_lost(self) -> None:
        """Continue without the predecessor, which has ended or does not answer.

        Apply the node's full limits; the ids of the predecessor's jobs stay in use for some time.
        """
        self._channel = None
        self._jobs.on_other_process_ended()
        self._limits.reserve(0, 0)
        self._has_snapshot.set()
        self._has_counts.set()
