"""Handover (hot restart): a new process of a node takes over from the old one, transparently to clients.

The new process, the successor, connects to the old one (`handover_successor`). The old process, the
predecessor, sends its state and, once the successor accepts connections, stops accepting and passes its idle
connections to the successor (`handover_predecessor`). Until the predecessor has finished its jobs, each
process forwards call-backs for jobs of the other, and overrides are applied in both (`peer_forwarder`).
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
from burlmoor.lifecycle.peer_forwarder import PeerForwarder
from burlmoor.lifecycle.state_transfer import StateTransfer
from burlmoor.log_events import HandoverUnavailable, Started

if TYPE_CHECKING:
    import socket
    from pathlib import Path

    from burlmoor.lifecycle.components import NodeComponents
    from burlmoor.log import EventLogger

_ACCEPT_RETRY_SECONDS = 0.05


class Handover:
    """Runs both roles of this process: successor of the previous process, predecessor of the next one."""

    def __init__(
        self,
        components: NodeComponents,
        socket_path: Path | None,
        nursery: trio.Nursery,
        log: EventLogger,
        *,
        is_listener_shared: bool,
    ) -> None:
        self._admin = components.admin
        self._core = components.core
        self._directory = components.directory
        self._server = components.server
        self._socket_path = socket_path  # None: handover is not possible
        self._is_listener_shared = is_listener_shared
        self._nursery = nursery
        self._log = log
        limits = SharedConnectionLimits(components.server.connections, components.pool)
        state = StateTransfer(components)
        self._successor_role = SuccessorRole(components, state, limits, log)
        self._predecessor_role = PredecessorRole(components, state, limits, nursery, log)
        self._forwarder = PeerForwarder(self._successor_role, self._predecessor_role)
        self._admin.attach_override_forwarder(self._forwarder.forward_override)

    @property
    def has_handed_over(self) -> bool:
        """Whether the successor accepts connections in place of this process."""
        return self._predecessor_role.has_handed_over

    @property
    def has_predecessor(self) -> bool:
        """Whether a predecessor is connected; it serves clients until this process accepts connections."""
        return self._successor_role.predecessor_channel is not None

    @property
    def has_unsent_messages(self) -> bool:
        """Whether a message to the successor has not been sent yet."""
        return self._predecessor_role.has_unsent_messages

    async def contact_predecessor(self) -> None:
        """Request the state of the process that serves now, if there is one, and restore it here."""
        sock = connect(self._socket_path) if self._socket_path is not None else None
        if sock is not None:
            await self._successor_role.request_snapshot(self._open_channel(sock))

    async def run(self) -> None:
        """Accept connections, in place of the predecessor if there is one; then wait for successors."""
        self._predecessor_role.start_accepting()
        await self._successor_role.announce_accepting()
        # Not reported earlier: once this process is ready, the predecessor gets SIGTERM and rejects new jobs.
        self._admin.on_serving_changed(is_serving=True)
        self._log(
            Started(
                listen=":".join(map(str, self._server.address)),
                version=self._directory.version,
                took_over=self.has_predecessor,
            )
        )
        if self._socket_path is not None:
            await self._accept_successors(self._socket_path)
        elif self._is_listener_shared:
            # Another process may accept on the same socket, and call-backs may reach the wrong process.
            self._log(HandoverUnavailable(error="TMPDIR is not set"))

    def close(self) -> None:
        """Close both channels; this process has nothing more to send."""
        successor_channel = self._predecessor_role.release_channel()
        for channel in (self._successor_role.predecessor_channel, successor_channel):
            if channel is not None:
                channel.close()

    async def _accept_successors(self, path: Path) -> None:
        try:
            listener = listen(path)
        except OSError as error:
            # Not fatal: a node that cannot hand over can still serve.
            self._log(HandoverUnavailable(error=str(error)))
            return
        while True:
            await trio.lowlevel.wait_readable(listener)
            try:
                sock, _ = listener.accept()
            except OSError:
                await trio.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            if self._predecessor_role.successor_channel is not None:
                sock.close()
                continue
            self._predecessor_role.attach_channel(self._open_channel(sock))

    def _open_channel(self, sock: socket.socket) -> HandoverChannel:
        channel = HandoverChannel(sock, self, self._nursery, self._log)
        self._nursery.start_soon(channel.run)
        return channel

    def on_message(self, channel: HandoverChannel, message: Message, sock: socket.socket | None) -> None:
        """Handle a message; `sock` is the connection that was passed with it, if any.

        Raises:
            UnsupportedVersionError: the message is a `Hello` of another protocol version.
        """
        if channel is self._successor_role.predecessor_channel:
            self._on_predecessor_message(message, sock)
        elif sock is not None:
            sock.close()  # only a predecessor may pass connections
        match message:
            case Hello(version):
                self._predecessor_role.send_snapshot(channel, version)
                self._update_admission_observer()
            case Accepting() if channel is self._predecessor_role.successor_channel:
                self._predecessor_role.hand_over(channel)
                self._update_callback_forwarder()
            case JobOpened(request_id):
                self._on_job_opened(channel, request_id)
            case ApplyOverride(number, path, name):
                self._admin.apply_forwarded_override(path, name)
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
                self._update_admission_observer()
            case ConnectionCounts(downstream, upstream):
                self._successor_role.on_connection_counts(downstream, upstream)
            case PassedConnection(has_been_used, age_seconds) if sock is not None:
                self._server.serve_connection(sock, has_been_used=has_been_used, age_seconds=age_seconds)

    def on_channel_lost(self, channel: HandoverChannel) -> None:
        """Continue without the process at the other end, which has ended or does not answer."""
        if channel is self._successor_role.predecessor_channel:
            self._successor_role.on_channel_lost()
        if channel is self._predecessor_role.successor_channel:
            self._predecessor_role.on_channel_lost()
        self._update_callback_forwarder()
        self._update_admission_observer()

    def _on_job_opened(self, channel: HandoverChannel, request_id: str) -> None:
        if channel is self._successor_role.predecessor_channel:
            self._core.jobs.add_ids_in_other_process((request_id,))
        else:
            # A successor may admit jobs for as long as this process runs, so its ids are not kept longer.
            self._core.jobs.add_recent_id(request_id)
        self._forwarder.relay_job_opened(channel, request_id)

    def _on_forwarded_callback(self, channel: HandoverChannel, number: int, body: bytes) -> None:
        result = callbacks.handle_callback(self._core.jobs, self._core.lifecycle, body)
        if result is callbacks.CallbackResult.UNKNOWN and self._forwarder.has_other_peers(channel):
            self._nursery.start_soon(self._forwarder.relay_callback, channel, number, body)
        else:
            channel.send(Acknowledged(number))

    def _update_callback_forwarder(self) -> None:
        forwarder = self._forwarder if self._forwarder.has_peers else None
        self._server.peers.attach_callback_forwarder(forwarder)

    def _update_admission_observer(self) -> None:
        observer = self._forwarder if self._forwarder.has_peers else None
        self._server.peers.attach_admission_observer(observer)
