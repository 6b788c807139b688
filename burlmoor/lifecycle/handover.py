"""Handover (hot restart): one process of a node takes over from another under load, unnoticed by clients.

A new process contacts the one that serves (`handover_successor`), which sends its state and, once the new one
accepts, stops accepting and passes its idle connections on (`handover_predecessor`). Until the old one has
finished its jobs, each forwards call-backs for jobs of the other, and overrides are applied at both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.downstream import callbacks
from burlmoor.lifecycle.connection_limits import SharedConnectionLimits
from burlmoor.lifecycle.handover_channel import HandoverChannel, connect, listen
from burlmoor.lifecycle.handover_messages import (
    Accepting,
    Acknowledged,
    ApplyOverride,
    ConnectionCounts,
    ForwardedCallback,
    Hello,
    JobOpened,
    Message,
    PassedConnection,
    Snapshot,
)
from burlmoor.lifecycle.handover_predecessor import PredecessorRole
from burlmoor.lifecycle.handover_successor import SuccessorRole
from burlmoor.log_events import HandoverUnavailable, Started

if TYPE_CHECKING:
    import socket
    from pathlib import Path

    from burlmoor.admin.requests import AdminRequest
    from burlmoor.lifecycle.parts import NodeParts
    from burlmoor.log import EventLogger

_CALLBACK_TIMEOUT_SECONDS = 0.7
_RELAYED_CALLBACK_TIMEOUT_SECONDS = 0.3
_OVERRIDE_TIMEOUT_SECONDS = 0.1
_ACCEPT_RETRY_SECONDS = 0.05


class Handover:
    """Owns the two roles of this process: successor of the one before it, predecessor of the next."""

    def __init__(
        self,
        parts: NodeParts,
        socket_path: Path | None,
        is_listener_shared: bool,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self._parts = parts
        self._socket_path = socket_path  # None: this node can't hand over
        self._is_listener_shared = is_listener_shared
        self._nursery = nursery
        self._log = log
        limits = SharedConnectionLimits(parts.server, parts.pool)
        self._successor_role = SuccessorRole(parts, limits, log)
        self._predecessor_role = PredecessorRole(parts, limits, nursery, log)
        parts.admin.forward_to_peer = self._forward_override

    @property
    def has_handed_over(self) -> bool:
        """Whether another process accepts in this one's place."""
        return self._predecessor_role.has_handed_over

    @property
    def has_predecessor(self) -> bool:
        """Whether a process before this one serves, and goes on until this one accepts."""
        return self._successor_role.channel is not None

    @property
    def has_unsent(self) -> bool:
        """Whether something that the successor is to have has not been sent yet."""
        return self._predecessor_role.has_unsent

    async def contact_predecessor(self) -> None:
        """Take over the state of the process that serves now, if there is one."""
        sock = connect(self._socket_path) if self._socket_path is not None else None
        if sock is not None:
            await self._successor_role.request_snapshot(self._open_channel(sock))

    async def run(self) -> None:
        """Accept, in the predecessor's place if there is one; then wait for successors."""
        self._predecessor_role.start_accepting()
        await self._successor_role.announce_accepting()
        # Only now: the predecessor gets SIGTERM once this process is ready, and would reject new jobs.
        self._parts.admin.is_serving = True
        self._log(
            Started(
                listen=":".join(map(str, self._parts.server.address)),
                version=self._parts.directory.version,
                took_over=self.has_predecessor,
            )
        )
        if self._socket_path is not None:
            await self._accept_successors(self._socket_path)
        elif self._is_listener_shared:
            # Another process may accept beside this one, and call-backs would reach the wrong one.
            self._log(HandoverUnavailable(error="TMPDIR is not set"))

    def close(self) -> None:
        """Close the channels: this process has nothing more to send."""
        successor = self._predecessor_role.release_channel()
        for channel in (self._successor_role.channel, successor):
            if channel is not None:
                channel.close()

    async def _accept_successors(self, path: Path) -> None:
        try:
            listener = listen(path)
        except OSError as error:
            # Without this, the node would not start; one that nobody can take over from still serves.
            self._log(HandoverUnavailable(error=str(error)))
            return
        while True:
            await trio.lowlevel.wait_readable(listener)
            try:
                sock, _ = listener.accept()
            except OSError:
                await trio.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            if self._predecessor_role.channel is not None:
                sock.close()
                continue
            self._predecessor_role.channel = self._open_channel(sock)

    def _open_channel(self, sock: socket.socket) -> HandoverChannel:
        channel = HandoverChannel(sock, self, self._nursery, self._log)
        self._nursery.start_soon(channel.run)
        return channel

    # --- what the other process sends -----------------------------------------------------------

    def on_message(self, channel: HandoverChannel, message: Message, sock: socket.socket | None) -> None:
        """Handle a message, perhaps with a connection; `UnsupportedVersionError` for a hello that has one."""
        if channel is self._successor_role.channel:
            self._on_predecessor_message(message, sock)
        elif sock is not None:
            sock.close()  # only the predecessor passes connections on
        match message:
            case Hello(version):
                self._predecessor_role.send_snapshot(channel, version)
            case Accepting() if channel is self._predecessor_role.channel:
                self._predecessor_role.hand_over(channel)
                self._update_callback_forwarder()
            case JobOpened(request_id):
                self._parts.core.jobs.add_ids_in_other_process((request_id,))
            case ApplyOverride(number, path, name):
                self._parts.admin.apply_forwarded(path, name)
                channel.send(Acknowledged(number))
            case ForwardedCallback(number, body):
                self._on_forwarded_callback(channel, number, body)

    def _on_predecessor_message(self, message: Message, sock: socket.socket | None) -> None:
        if sock is not None and not isinstance(message, PassedConnection):
            sock.close()
        match message:
            case Snapshot():
                self._successor_role.on_snapshot(message)
                self._update_callback_forwarder()
            case ConnectionCounts(downstream, upstream):
                self._successor_role.on_connection_counts(downstream, upstream)
            case PassedConnection(has_been_used, age_seconds) if sock is not None:
                self._successor_role.on_connection_passed(sock, has_been_used, age_seconds)

    def on_channel_lost(self, channel: HandoverChannel) -> None:
        """Go on alone, whichever process has gone."""
        if channel is self._successor_role.channel:
            self._successor_role.on_channel_lost()
        if channel is self._predecessor_role.channel:
            self._predecessor_role.on_channel_lost()
        self._update_callback_forwarder()

    def _on_forwarded_callback(self, channel: HandoverChannel, number: int, body: bytes) -> None:
        result = callbacks.handle_callback(self._parts.core.jobs, self._parts.core.lifecycle, body)
        if result is callbacks.CallbackResult.UNKNOWN and self._connected_channels(but=channel):
            self._nursery.start_soon(self._relay_callback, channel, number, body)
        else:
            channel.send(Acknowledged(number))

    # --- what the other process is sent ---------------------------------------------------------

    def _connected_channels(self, but: HandoverChannel | None = None) -> list[HandoverChannel]:
        channels = (self._successor_role.channel, self._predecessor_role.channel)
        return [
            channel
            for channel in channels
            if channel is not None and channel is not but and channel.is_connected
        ]

    def _update_callback_forwarder(self) -> None:
        self._parts.server.peers.attach_callback_forwarder(self if self._connected_channels() else None)

    async def forward_callback(self, body: bytes) -> bool:
        """Forward a call-back for a job that is unknown here; whether it was acknowledged."""
        return await _forward_to(self._connected_channels(), body, _CALLBACK_TIMEOUT_SECONDS)

    async def _relay_callback(self, sender: HandoverChannel, number: int, body: bytes) -> None:
        """Forward a call-back from one of the other processes to the one beyond this.

        Without this, results would be lost where a third process starts before the first has ended.
        """
        others = self._connected_channels(but=sender)
        if await _forward_to(others, body, _RELAYED_CALLBACK_TIMEOUT_SECONDS):
            sender.send(Acknowledged(number))

    async def _forward_override(self, call: AdminRequest) -> None:
        """Apply an operator's call at the other processes too, so that it holds for the whole node."""
        for channel in self._connected_channels():
            await channel.request(
                lambda number: ApplyOverride(number, call.path, call.name), _OVERRIDE_TIMEOUT_SECONDS
            )


async def _forward_to(channels: list[HandoverChannel], body: bytes, timeout_seconds: float) -> bool:
    """Forward a call-back to each of these in turn; whether all have acknowledged it."""
    acknowledged = [
        await channel.request(lambda number: ForwardedCallback(number, body), timeout_seconds)
        for channel in channels
    ]
    return all(acknowledged)
