"""One process of a node taking over from another under load, without a client's noticing."""

from __future__ import annotations

import socket
from pathlib import Path

import trio

from burlmoor.core import Core, Say
from burlmoor.net import callbacks
from burlmoor.net.control import Call
from burlmoor.net.front import Front
from burlmoor.net.peer import (
    VERSION,
    Accepting,
    CalledBack,
    Client,
    Hello,
    Holds,
    Message,
    Obey,
    Opened,
    Peer,
    Snapshot,
    Taken,
    listen_at,
    reach,
)
from burlmoor.net.pool import Pool
from burlmoor.net.target_group import TargetGroup
from burlmoor.operators import Desk

_SNAPSHOT_WITHIN = 1.5  # seconds after which a process that does not answer is taken to be stuck
_YIELD_WITHIN = 0.5
_CALL_BACK_WITHIN = 0.7
_REPORT_EVERY = 0.1
_LEAST = 8  # connections of each sort that a process may always have


class Succession:
    """Owns the links to the process before this one and to the one after it."""

    def __init__(
        self,
        core: Core,
        front: Front,
        pool: Pool,
        group: TargetGroup,
        desk: Desk,
        path: Path | None,
        shared: bool,
        nursery: trio.Nursery,
        say: Say,
    ) -> None:
        self._core, self._front, self._pool, self._group, self._desk = core, front, pool, group, desk
        self._path, self._shared, self._nursery, self._say = path, shared, nursery, say
        self._before: Peer | None = None
        self._after: Peer | None = None
        self._clients, self._targets = front.size, pool.size
        self._told, self._yielded = trio.Event(), trio.Event()
        self._accept: trio.CancelScope | None = None
        desk.elsewhere = self._obey_elsewhere

    @property
    def yielded(self) -> bool:
        """Whether another process accepts in this one's place."""
        return self._after is not None and self._accept is None

    @property
    def unsent(self) -> bool:
        """Whether something that the other process is to have is still here."""
        return self._after is not None and self._after.unsent

    async def run(self) -> None:
        """Accept, in the place of the process before if there is one; then wait for the next."""
        self._nursery.start_soon(self._accept_clients)
        if self._before is not None and self._before.post(Accepting()):
            with trio.move_on_after(_YIELD_WITHIN):
                await self._yielded.wait()
        # Only now: the old process gets SIGTERM after this yes, and would answer that it takes no clients.
        self._desk.serving = True
        self._say(
            "started",
            listen=":".join(map(str, self._front.address)),
            version=self._group.version,
            took_over=self._before is not None,
        )
        if self._path is not None:
            await self._await_successors(self._path)
        elif self._shared:
            # Another process may accept beside this one, and call-backs would reach the wrong one.
            self._say("no-succession", error="TMPDIR is not set")

    def end(self) -> None:
        """End the links: this process has nothing more to say."""
        after, self._after = self._after, None
        for peer in (self._before, after):
            if peer is not None:
                peer.close()

    # --- taking over ----------------------------------------------------------------------------

    async def approach(self) -> None:
        """Learn from the process that is here, if one is, how things stand."""
        sock = reach(self._path) if self._path is not None else None
        if sock is None:
            return
        self._before = peer = Peer(sock, self, self._nursery, self._say)
        self._nursery.start_soon(peer.run)
        peer.post(Hello())
        with trio.move_on_after(_SNAPSHOT_WITHIN):
            await self._told.wait()
        if not self._told.is_set() or not peer.alive:
            self._say("took-over-nothing")
            peer.close()
            self._before = None

    async def _accept_clients(self) -> None:
        with trio.CancelScope() as self._accept:
            await self._front.run()

    async def _await_successors(self, path: Path) -> None:
        try:
            sock = listen_at(path)
        except OSError as error:
            # Guards the start: a node that nobody can take over from still serves.
            self._say("no-succession", error=str(error))
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
            self._after = peer = Peer(accepted, self, self._nursery, self._say)
            self._nursery.start_soon(peer.run)

    # --- what the other process says ------------------------------------------------------------

    def told(self, peer: Peer, message: Message, sock: socket.socket | None) -> None:
        """A message has come, perhaps with a connection."""
        if sock is not None and not (isinstance(message, Client) and peer is self._before):
            sock.close()  # nobody's: only the process before this one passes connections on
        match message:
            case Hello(version):
                if version != VERSION:
                    raise ValueError(f"version {version} of the link")
                clients, targets = len(self._front.links), self._pool.open
                ids, learnt = self._core.open_ids(), self._core.what_is_learnt()
                peer.post(Snapshot(self._desk.set, self._group.whole(), learnt, ids, clients, targets))
            case Snapshot() if peer is self._before:
                self._take_up(message)
            case Accepting() if peer is self._after:
                self._yield(peer)
            case Holds(clients, targets) if peer is self._before:
                self._divide(clients, targets)
                self._yielded.set()
            case Opened(request_id):
                self._core.elsewhere.add(request_id)
            case Obey(number, path, name):
                self._desk.apply(Call(path, name))
                peer.post(Taken(number))
            case CalledBack(number, body):
                found = callbacks.take(self._core, body)
                if found is callbacks.Found.UNKNOWN and self._peers(but=peer):
                    self._nursery.start_soon(self._call_back_further, peer, number, body)
                else:
                    peer.post(Taken(number))
            case Client(used, age) if peer is self._before and sock is not None:
                self._front.adopt(sock, used, age)

    def lost(self, peer: Peer) -> None:
        """The peer is gone: whatever it was, this process goes on alone."""
        if peer is self._before:
            self._before = None
            self._core.elsewhere.clear()
            self._divide(0, 0)
            self._told.set()
            self._yielded.set()
        if peer is self._after:
            self._after = None
            self._front.pass_on = self._front.opened = None
            if self._accept is None:
                # The one that took over has died: whoever connects now is ours again.
                self._say("took-back")
                self._core.yielded(False)
                self._front.size, self._pool.size = self._clients, self._targets
                self._desk.serving = True
                self._nursery.start_soon(self._accept_clients)
        self._front.call_back_elsewhere = self._call_back_elsewhere if self._peers() else None

    def _take_up(self, given: Snapshot) -> None:
        self._desk.take_up(given.by_hand)
        self._group.take_up(given.hosts)
        self._core.take_up(given.learnt)
        self._core.elsewhere.update(given.ids)
        self._divide(given.clients, given.targets)
        self._front.call_back_elsewhere = self._call_back_elsewhere
        self._told.set()

    def _divide(self, clients: int, targets: int) -> None:
        """The limits are the node's: what the process before this one holds is not ours to use."""
        self._front.size = max(_LEAST, self._clients - clients)
        self._pool.size = max(_LEAST, self._targets - targets)

    def _yield(self, peer: Peer) -> None:
        """Another process accepts from now on; what lies idle here goes to it."""
        if self._accept is None:
            return
        self._accept.cancel()
        self._accept = None
        self._desk.serving = False
        self._pool.size = self._pool.open  # no more than there are: the rest is the other's
        self._core.yielded(True)
        self._front.call_back_elsewhere = self._call_back_elsewhere
        self._front.pass_on, self._front.opened = self._pass_on, self._opened
        self._front.pass_idle()
        self._report(peer)
        self._say("yielded", open=self._core.open_jobs)
        self._nursery.start_soon(self._report_on, peer)

    def _pass_on(self, sock: socket.socket, used: bool, age: float) -> None:
        if self._after is None or not self._after.post(Client(used, age), sock):
            sock.close()

    def _report(self, peer: Peer) -> None:
        peer.post(Holds(len(self._front.links), self._pool.open))

    async def _report_on(self, peer: Peer) -> None:
        while peer.alive:
            await trio.sleep(_REPORT_EVERY)
            self._front.pass_idle()
            self._report(peer)

    # --- what this process says -----------------------------------------------------------------

    def _peers(self, but: Peer | None = None) -> list[Peer]:
        both = (self._before, self._after)
        return [peer for peer in both if peer is not None and peer is not but and peer.alive]

    async def _call_back_further(self, peer: Peer, number: int, body: bytes) -> None:
        """Guards against lost results where a third process starts before the first has ended."""
        asked = [await other.ask(lambda n: CalledBack(n, body), 0.3) for other in self._peers(but=peer)]
        if all(asked):
            peer.post(Taken(number))

    def _opened(self, request_id: str) -> None:
        if self._after is not None:
            self._after.post(Opened(request_id))

    async def _call_back_elsewhere(self, body: bytes) -> bool:
        """Pass on a call-back for a job that is not known here; whether it was taken."""
        return all(
            [await peer.ask(lambda n: CalledBack(n, body), _CALL_BACK_WITHIN) for peer in self._peers()]
        )

    async def _obey_elsewhere(self, call: Call) -> None:
        """See to it that an operator's yes holds for the whole node."""
        for peer in self._peers():
            await peer.ask(lambda number: Obey(number, call.path, call.name), 0.1)
