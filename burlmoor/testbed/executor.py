"""A stand-in executor: a machine behind HTTP, its call-backs, its failures, and its ledger."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from contextlib import suppress

import trio

from burlmoor.testbed.event_record import Ledger, Ran
from burlmoor.testbed.executor_model import Machine, Note, Spec
from burlmoor.testbed.http_wire import Message, Server, Wire, connect

_REPEATS, _REPEAT_AFTER = 10, 0.2
_ANSWERED_WITHIN = 1.0  # seconds that a call-back waits for its answer


def now() -> float:
    """The rig's clock: ms that only go forward, the same in all parties of one process."""
    return time.monotonic() * 1000.0


class Executor:
    """Owns one executor: its process, which may die and come back, and the machine that it runs on."""

    def __init__(self, name: str, spec: Spec, ledger: Ledger, nursery: trio.Nursery, zone: str = "a") -> None:
        self.name, self.spec, self.zone = name, spec, zone
        self._ledger, self._nursery = ledger, nursery
        self.machine = Machine(spec, now())
        self._servers: dict[str, Server] = {}
        self._relays: dict[str, tuple[str, int]] = {}
        self._of: dict[str, tuple[Ran, str]] = {}  # what it holds: its row, and the node that sent it
        self._woken = trio.Event()
        self._go = trio.Event()
        self._go.set()
        self.acts: list[str] = []  # what the next requests meet: full, error, reset, hang
        self.failing = False  # whether every job fails at once
        self.born_ms = 0.0
        self.alive = True
        nursery.start_soon(self._work)

    async def listen(self, node: str, relay: tuple[str, int]) -> str:
        """An address for one node, whose call-backs go to `relay`."""
        self._relays[node] = relay

        async def serve(wire: Wire) -> None:
            await self._serve(node, wire)

        server = self._servers[node] = Server(serve, self._nursery)
        return await server.open()

    async def listen_to_all(
        self, address: tuple[str, int], caller: Callable[[str], tuple[str, tuple[str, int]]]
    ) -> None:
        """One address for all nodes; `caller` tells from a connection's source who it is, and their relay."""

        async def serve(wire: Wire) -> None:
            node, relay = caller(wire.stream.socket.getpeername()[0])
            self._relays[node] = relay
            await self._serve(node, wire)

        server = self._servers[""] = Server(serve, self._nursery)
        server.address = address
        await server.open()

    # --- failures -------------------------------------------------------------------------------

    def die(self) -> None:
        """The process is killed: what it held is lost and nobody is told."""
        self.alive = False
        for server in self._servers.values():
            server.die()
        for row, _ in self._of.values():
            row.end = row.end or "died"
            row.ended = now()
        self._of.clear()
        self.machine = Machine(self.spec, now(), cold=True)

    async def come_back(self) -> None:
        """A new process starts, cold, at the same addresses."""
        self.machine = Machine(self.spec, now(), cold=True)
        self.born_ms = time.time() * 1000.0
        self.alive = True
        for server in self._servers.values():
            await server.open()

    def stall(self, still: bool) -> None:
        """Stand still, with connections open and nothing said; or go on."""
        self.machine.stand_still(now(), still)
        if still:
            self._go = trio.Event()
        else:
            self._go.set()
        self._woken.set()

    def slow(self, factor: float) -> None:
        """Run so many times slower."""
        self.machine.slow_down(now(), factor)
        self._woken.set()

    async def hand_back(self) -> None:
        """Return what waits unstarted, as one that drains may."""
        for job in self.machine.hand_back(now()):
            self._end(job, "handed back", "returned")

    # --- what nodes ask -------------------------------------------------------------------------

    async def _serve(self, node: str, wire: Wire) -> None:
        while (message := await wire.read()) is not None:
            await self._go.wait()
            if message.method == "DELETE":
                self._give_up(message.path.rsplit("/", 1)[-1])
                await wire.write("HTTP/1.1 204 No Content")
            elif message.method == "GET":
                await wire.write("HTTP/1.1 200 OK")
            elif not await self._asked(node, wire, message):
                return

    async def _asked(self, node: str, wire: Wire, message: Message) -> bool:
        """One job comes in; whether the connection goes on."""
        ref = message.headers.get("request-id", "")
        if ref not in self._ledger.asked:
            self._ledger.strange.append(f"{self.name}: id {ref!r} that no client sent")
            await wire.write("HTTP/1.1 400 Bad" if ref else "HTTP/1.1 404 No id")
            return True
        given = json.loads(message.body)
        slots = int(given.get("slots", 1))
        row = Ran(
            ref, message.path.split("/")[1], self.name, now(), node=node, work=given["work"], slots=slots
        )
        self._ledger.ran.append(row)
        act = self.acts.pop(0) if self.acts else "error" if self.failing else ""
        if act == "reset":
            row.began = now()  # it may have run
            wire.reset()
            return False
        if act == "hang":
            await trio.sleep_forever()
        if act == "error":
            row.began = row.ended = now()
            row.end = "error"
            await wire.write("HTTP/1.1 500 Failed")
            return True
        taken = act != "full" and self.machine.offer(now(), ref, given["work"], slots)
        if not taken:
            row.end, row.ended = "full", now()
            await wire.write("HTTP/1.1 503 Full", Not_Started="1")
            return True
        self._of[ref] = (row, node)
        self._woken.set()
        if given.get("fails"):
            row.end = "to fail"
        await wire.write("HTTP/1.1 202 Accepted")
        return True

    def _give_up(self, ref: str) -> None:
        if self.machine.drop(now(), ref):
            row, _ = self._of.pop(ref)
            row.end, row.ended = "given up", now()

    # --- work and call-backs --------------------------------------------------------------------

    async def _work(self) -> None:
        while True:
            self._woken = trio.Event()
            for note in self.machine.step(now()):
                self._tell(note)
            wait = (self.machine.due() - now()) / 1000.0
            with trio.move_on_after(max(0.0005, wait)):
                await self._woken.wait()

    def _tell(self, note: Note) -> None:
        held = self._of.get(note.job)
        if held is None:
            return
        row, node = held
        if note.state == "done":
            fails = row.end == "to fail"
            self._end(note.job, "failed" if fails else "done", "failed" if fails else "done")
            return
        if note.state == "started":
            row.began = now()
        self._call(node, {"id": note.job, "from": self.name, "state": note.state, "share": note.share})

    def _end(self, job: str, end: str, state: str) -> None:
        row, node = self._of.pop(job)
        row.end, row.ended = end, now()
        event: dict[str, object] = {"id": job, "from": self.name, "state": state}
        self._call(node, {**event, "result": f"{job}@{self.name}"} if state == "done" else event)

    def _call(self, node: str, event: dict[str, object]) -> None:
        self._nursery.start_soon(self._call_back, node, json.dumps(event).encode())

    async def _call_back(self, node: str, body: bytes) -> None:
        """Repeat until answered, ten times at most."""
        for _ in range(_REPEATS):
            await self._go.wait()
            wire = None
            try:
                with trio.fail_after(_ANSWERED_WITHIN):
                    wire = await connect(self._relays[node])
                    await wire.write("POST /v1/job-events HTTP/1.1", body, Host="node", Connection="close")
                    answer = await wire.read()
                if answer is not None and answer.status in (200, 204):
                    return
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                pass
            finally:
                if wire is not None:
                    with suppress(OSError):
                        wire.stream.socket.close()
            await trio.sleep(_REPEAT_AFTER)
