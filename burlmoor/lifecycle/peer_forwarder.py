"""Forwards call-backs, overrides and the ids of admitted jobs to the node's other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.lifecycle.handover_messages import (
    Acknowledged,
    ApplyOverride,
    ForwardedCallback,
    JobOpened,
)

if TYPE_CHECKING:
    from burlmoor.admin.requests import AdminRequest
    from burlmoor.lifecycle.handover_channel import HandoverChannel
    from burlmoor.lifecycle.handover_predecessor import PredecessorRole
    from burlmoor.lifecycle.handover_successor import SuccessorRole

_CALLBACK_TIMEOUT_SECONDS = 0.7
_RELAYED_CALLBACK_TIMEOUT_SECONDS = 0.3
_OVERRIDE_TIMEOUT_SECONDS = 0.1


class PeerForwarder:
    """Forwards to the predecessor and the successor, whichever are connected.

    The downstream server uses it as its `CallbackForwarder` and `AdmissionObserver` while at least one of
    them is connected.
    """

    def __init__(self, successor_role: SuccessorRole, predecessor_role: PredecessorRole) -> None:
        self._successor_role = successor_role
        self._predecessor_role = predecessor_role

    @property
    def has_peers(self) -> bool:
        """Whether another process of this node is connected."""
        return bool(self._connected_channels())

    def has_other_peers(self, channel: HandoverChannel) -> bool:
        """Return whether a process other than the one at the end of this channel is connected."""
        return bool(self._connected_channels(excluded=channel))

    async def forward_callback(self, body: bytes) -> bool:
        """Forward a call-back for a job that is unknown here.

        Returns False if a connected peer did not acknowledge it in time.
        """
        return await _forward_to(self._connected_channels(), body, _CALLBACK_TIMEOUT_SECONDS)

    async def relay_callback(self, sender: HandoverChannel, number: int, body: bytes) -> None:
        """Forward a call-back from one peer to the other, and pass the acknowledgement back.

        If a third process starts before the first one has ended, only the second is connected to both. It
        relays the call-backs between them, so that no result is lost.
        """
        others = self._connected_channels(excluded=sender)
        if await _forward_to(others, body, _RELAYED_CALLBACK_TIMEOUT_SECONDS):
            sender.send(Acknowledged(number))

    def on_job_admitted(self, request_id: str) -> None:
        """Notify the other processes of a job that was admitted here, so that they refuse its id."""
        self.relay_job_opened(None, request_id)

    def relay_job_opened(self, sender: HandoverChannel | None, request_id: str) -> None:
        """Notify the processes other than the sender of an admitted job."""
        for channel in self._connected_channels(excluded=sender):
            channel.send(JobOpened(request_id))

    async def forward_override(self, call: AdminRequest) -> None:
        """Forward an override to the other processes, so that it applies to the whole node."""
        for channel in self._connected_channels():
            await channel.request(
                lambda number: ApplyOverride(number, call.path, call.name), _OVERRIDE_TIMEOUT_SECONDS
            )

    def _connected_channels(self, excluded: HandoverChannel | None = None) -> list[HandoverChannel]:
        channels = (self._successor_role.predecessor_channel, self._predecessor_role.successor_channel)
        return [
            channel
            for channel in channels
            if channel is not None and channel is not excluded and channel.is_connected
        ]


async def _forward_to(channels: list[HandoverChannel], body: bytes, timeout_seconds: float) -> bool:
    """Forward a call-back on each channel in turn; return False if a peer did not acknowledge it."""
    acknowledged = [
        await channel.request(lambda number: ForwardedCallback(number, body), timeout_seconds)
        for channel in channels
    ]
    return all(acknowledged)
