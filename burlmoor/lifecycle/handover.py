"""One process of a node taking over from another under load, without a client's noticing."""

from __future__ import annotations

import socket
from pathlib import Path

import trio

from burlmoor.admin.requests import AdminRequest
from burlmoor.admin.service import AdminService
from burlmoor.downstream import callbacks
from burlmoor.downstream.server import DownstreamServer
from burlmoor.endpoints.directory import EndpointDirectory
from burlmoor.engine.engine import Engine
from burlmoor.lifecycle.handover_channel import (
    VERSION,
    Accepting,
    Acknowledged,
    ApplyOverride,
    ConnectionCounts,
    ForwardedCallback,
    HandoverChannel,
    Hello,
    JobOpened,
    Message,
    PassedConnection,
    Snapshot,
    connect_to,
    listen,
)
from burlmoor.log import EventLogger
from burlmoor.upstream.pool import ConnectionPool

_SNAPSHOT_WITHIN = 1.5  # seconds after which a process that does not answer is taken to be stuck
_YIELD_WITHIN = 0.5
_CALL_BACK_WITHIN = 0.7
_REPORT_EVERY = 0.1
_LEAST = 8  # connections of each sort that a process may always have


class Handover:
    """Owns the links to the process before this one and to the one after it."""

    def __init__(
        self,
        engine: Engine,
        server: DownstreamServer,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        admin: AdminService,
        path: Path | None,
        shared: bool,
        nursery: trio.Nursery,
        log: EventLogger,
    ) -> None:
        self._engine, self._server, self._pool, self._directory, self._admin = (
            engine,
            server,
            pool,
            directory,
            admin,
        )
        self._path, self._shared, self._nursery, self._log = path, shared, nursery, log
        self._before: HandoverChannel | None = None
        self._after: HandoverChannel | None = None
        self._clients, self._targets = server.max_connections, pool.max_connections
        self._told, self._yielded = trio.Event(), trio.Event()
        self._accept: trio.CancelScope | None = None
        admin.forward_to_peer = self._obey_elsewhere

    @property
    def has_handed_over(self) -> bool:
        """Whether another process accepts in this one's place."""
        return self._after is not None and self._accept is None

    @property
    def has_unsent(self) -> bool:
        """Whether something that the other process is to have is still here."""
        return self._after is not None and self._after.has_unsent

    async def run(self) -> None:
        """Accept, in the place of the process before if there is one; then wait for the next."""
        self._nursery.start_soon(self._accept_clients)
        if self._before is not None and self._before.post(Accepting()):
            with trio.move_on_after(_YIELD_WITHIN):
                await self._yielded.wait()
        # Only now: the old process gets SIGTERM after this yes, and would answer that it takes no clients.
        self._admin.is_serving = True
        self._log(
            "started",
            listen=":".join(map(str, self._server.address)),
            version=self._directory.version,
            took_over=self._before is not None,
        )
        if self._path is not None:
            await self._await_successors(self._path)
        elif self._shared:
            # Another process may accept beside this one, and call-backs would reach the wrong one.
            self._log("handover-unavailable", error="TMPDIR is not set")

    def close(self) -> None:
        """End the links: this process has nothing more to say."""
        after, self._after = self._after, None
        for peer in (self._before, after):
            if peer is not None:
                peer.close()

    # --- taking over ----------------------------------------------------------------------------

    async def contact_predecessor(self) -> None:
        """Learn from the process that is here, if one is, how things stand."""
        sock = connect_to(self._path) if self._path is not None else None
        if sock is None:
            return
        self._before = peer = HandoverChannel(sock, self, self._nursery, self._log)
        self._nursery.start_soon(peer.run)
        peer.post(Hello())
        with trio.move_on_after(_SNAPSHOT_WITHIN):
            await self._told.wait()
        if not self._told.is_set() or not peer.is_connected:
            self._log("handover-timed-out")
            peer.close()
            self._before = None

    async def _accept_clients(self) -> None:
        with trio.CancelScope() as self._accept:
            await self._server.run()

    async def _await_successors(self, path: Path) -> None:
        try:
            sock = listen(path)
        except OSError as error:
            # Guards the start: a node that nobody can take over from still serves.
            self._log("handover-unavailable", error=str(error))
            return
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                accepted, _ = sock.accept()
            except OSError:
                await trio.sleep(0.05)
                continue
            if self._after is not None:
                accepted.close()
                continue
            self._after = peer = HandoverChannel(accepted, self, self._nursery, self._log)
            self._nursery.start_soon(peer.run)

    # --- what the other process says ------------------------------------------------------------

    def on_message(self, peer: HandoverChannel, message: Message, sock: socket.socket | None) -> None:
        """A message has come, perhaps with a connection."""
        if sock is not None and not (isinstance(message, PassedConnection) and peer is self._before):
            sock.close()  # nobody's: only the process before this one passes connections on
        match message:
            case Hello(version):
                if version != VERSION:
                    raise ValueError(f"version {version} of the link")
                clients, targets = len(self._server.connections), self._pool.open_count
                ids, learnt = self._engine.open_job_ids(), self._engine.statistics_snapshot()
                peer.post(
                    Snapshot(self._admin.overrides, self._directory.snapshot(), learnt, ids, clients, targets)
                )
            case Snapshot() if peer is self._before:
                self._take_up(message)
            case Accepting() if peer is self._after:
                self._yield(peer)
            case ConnectionCounts(clients, targets) if peer is self._before:
                self._divide(clients, targets)
                self._yielded.set()
            case JobOpened(request_id):
                self._engine.ids_in_other_process.add(request_id)
            case ApplyOverride(number, path, name):
                self._admin.apply_forwarded(path, name)
                peer.post(Acknowledged(number))
            case ForwardedCallback(number, body):
                found = callbacks.handle_callback(self._engine, body)
                if found is callbacks.CallbackResult.UNKNOWN and self._peers(but=peer):
                    self._nursery.start_soon(self._call_back_further, peer, number, body)
                else:
                    peer.post(Acknowledged(number))
            case PassedConnection(used, age) if peer is self._before and sock is not None:
                self._server.adopt(sock, used, age)

    def on_peer_lost(self, peer: HandoverChannel) -> None:
        """The peer is gone: whatever it was, this process goes on alone."""
        if peer is self._before:
            self._before = None
            self._engine.ids_in_other_process.clear()
            self._divide(0, 0)
            self._told.set()
            self._yielded.set()
        if peer is self._after:
            self._after = None
            self._server.pass_connection = self._server.on_job_opened = None
            if self._accept is None:
                # The one that took over has died: whoever connects now is ours again.
                self._log("handover-reverted")
                self._engine.set_handed_over(False)
                self._server.max_connections, self._pool.max_connections = self._clients, self._targets
                self._admin.is_serving = True
                self._nursery.start_soon(self._accept_clients)
        self._server.forward_callback = self._call_back_elsewhere if self._peers() else None

    def _take_up(self, given: Snapshot) -> None:
        self._admin.replace(given.overrides)
        self._directory.restore(given.endpoints)
        self._engine.restore_statistics(given.statistics)
        self._engine.ids_in_other_process.update(given.job_ids)
        self._divide(given.downstream, given.upstream)
        self._server.forward_callback = self._call_back_elsewhere
        self._told.set()

    def _divide(self, clients: int, targets: int) -> None:
        """The limits are the node's: what the process before this one holds is not ours to use."""
        self._server.max_connections = max(_LEAST, self._clients - clients)
        self._pool.max_connections = max(_LEAST, self._targets - targets)

    def _yield(self, peer: HandoverChannel) -> None:
        """Another process accepts from now on; what lies idle here goes to it."""
        if self._accept is None:
            return
        self._accept.cancel()
        self._accept = None
        self._admin.is_serving = False
        self._pool.max_connections = self._pool.open_count  # no more than there are: the rest is the other's
        self._engine.set_handed_over(True)
        self._server.forward_callback = self._call_back_elsewhere
        self._server.pass_connection, self._server.on_job_opened = self._pass_on, self._opened
        self._server.hand_over_idle()
        self._report(peer)
        self._log("handover-yielded", open=self._engine.open_job_count)
        self._nursery.start_soon(self._report_on, peer)

    def _pass_on(self, sock: socket.socket, used: bool, age: float) -> None:
        if self._after is None or not self._after.post(PassedConnection(used, age), sock):
            sock.close()

    def _report(self, peer: HandoverChannel) -> None:
        peer.post(ConnectionCounts(len(self._server.connections), self._pool.open_count))

    async def _report_on(self, peer: HandoverChannel) -> None:
        while peer.is_connected:
            await trio.sleep(_REPORT_EVERY)
            self._server.hand_over_idle()
            self._report(peer)

    # --- what this process says -----------------------------------------------------------------

    def _peers(self, but: HandoverChannel | None = None) -> list[HandoverChannel]:
        both = (self._before, self._after)
        return [peer for peer in both if peer is not None and peer is not but and peer.is_connected]

    async def _call_back_further(self, peer: HandoverChannel, number: int, body: bytes) -> None:
        """Guards against lost results where a third process starts before the first has ended."""
        asked = [
            await other.request(lambda n: ForwardedCallback(n, body), 0.3) for other in self._peers(but=peer)
        ]
        if all(asked):
            peer.post(Acknowledged(number))

    def _opened(self, request_id: str) -> None:
        if self._after is not None:
            self._after.post(JobOpened(request_id))

    async def _call_back_elsewhere(self, body: bytes) -> bool:
        """Pass on a call-back for a job that is not known here; whether it was taken."""
        return all(
            [
                await peer.request(lambda n: ForwardedCallback(n, body), _CALL_BACK_WITHIN)
                for peer in self._peers()
            ]
        )

    async def _obey_elsewhere(self, call: AdminRequest) -> None:
        """See to it that an operator's yes holds for the whole node."""
        for peer in self._peers():
            await peer.request(lambda number: ApplyOverride(number, call.path, call.name), 0.1)
