"""A stand-in executor: a machine behind HTTP, its call-backs, its failures, and its ledger."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from contextlib import suppress

import trio

from burlmoor.testbed.clock import now_ms
from burlmoor.testbed.event_record import AttemptRecord, EventRecord
from burlmoor.testbed.executor_model import ExecutorModel, ExecutorSpec, JobProgress
from burlmoor.testbed.http_stream import HttpMessage, HttpServer, HttpStream, connect

_REPEATS, _REPEAT_AFTER = 10, 0.2
_ANSWERED_WITHIN = 1.0  # seconds that a call-back waits for its answer


class Executor:
    """Owns one executor: its process, which may die and come back, and the machine that it runs on."""

    def __init__(
        self, name: str, spec: ExecutorSpec, ledger: EventRecord, nursery: trio.Nursery, zone: str = "a"
    ) -> None:
        self.name, self.spec, self.zone = name, spec, zone
        self._ledger, self._nursery = ledger, nursery
        self.model = ExecutorModel(spec, now_ms())
        self._servers: dict[str, HttpServer] = {}
        self._relays: dict[str, tuple[str, int]] = {}
        self._of: dict[
            str, tuple[AttemptRecord, str]
        ] = {}  # what it holds: its row, and the node that sent it
        self._woken = trio.Event()
        self._go = trio.Event()
        self._go.set()
        self.planned_faults: list[str] = []  # what the next requests meet: full, error, reset, hang
        self.is_failing = False  # whether every job fails at once
        self.started_unix_ms = 0.0
        self.is_alive = True
        nursery.start_soon(self._work)

    async def listen_for_node(self, node: str, relay: tuple[str, int]) -> str:
        """An address for one node, whose call-backs go to `relay`."""
        self._relays[node] = relay

        async def serve(wire: HttpStream) -> None:
            await self._serve(node, wire)

        server = self._servers[node] = HttpServer(serve, self._nursery)
        return await server.open()

    async def listen_for_all_nodes(
        self, address: tuple[str, int], caller: Callable[[str], tuple[str, tuple[str, int]]]
    ) -> None:
        """One address for all nodes; `caller` tells from a connection's source who it is, and their relay."""

        async def serve(wire: HttpStream) -> None:
            node, relay = caller(wire.socket_stream.socket.getpeername()[0])
            self._relays[node] = relay
            await self._serve(node, wire)

        server = self._servers[""] = HttpServer(serve, self._nursery)
        server.address = address
        await server.open()

    # --- failures -------------------------------------------------------------------------------

    def kill(self) -> None:
        """The process is killed: what it held is lost and nobody is told."""
        self.is_alive = False
        for server in self._servers.values():
            server.abort()
        for row, _ in self._of.values():
            row.outcome = row.outcome or "died"
            row.ended_ms = now_ms()
        self._of.clear()
        self.model = ExecutorModel(self.spec, now_ms(), cold=True)

    async def restart(self) -> None:
        """A new process starts, cold, at the same addresses."""
        self.model = ExecutorModel(self.spec, now_ms(), cold=True)
        self.started_unix_ms = time.time() * 1000.0
        self.is_alive = True
        for server in self._servers.values():
            await server.open()

    def set_stalled(self, still: bool) -> None:
        """Stand still, with connections open and nothing said; or go on."""
        self.model.set_stalled(now_ms(), still)
        if still:
            self._go = trio.Event()
        else:
            self._go.set()
        self._woken.set()

    def set_slowdown(self, factor: float) -> None:
        """Run so many times slower."""
        self.model.set_slowdown(now_ms(), factor)
        self._woken.set()

    async def return_queued_jobs(self) -> None:
        """Return what waits unstarted, as one that drains may."""
        for job in self.model.take_queued(now_ms()):
            self._end(job, "handed back", "returned")

    # --- what nodes ask -------------------------------------------------------------------------

    async def _serve(self, node: str, wire: HttpStream) -> None:
        while (message := await wire.read()) is not None:
            await self._go.wait()
            if message.method == "DELETE":
                self._give_up(message.path.rsplit("/", 1)[-1])
                await wire.write("HTTP/1.1 204 No Content")
            elif message.method == "GET":
                await wire.write("HTTP/1.1 200 OK")
            elif not await self._asked(node, wire, message):
                return

    async def _asked(self, node: str, wire: HttpStream, message: HttpMessage) -> bool:
        """One job comes in; whether the connection goes on."""
        ref = message.headers.get("request-id", "")
        if ref not in self._ledger.requests:
            self._ledger.protocol_violations.append(f"{self.name}: id {ref!r} that no client sent")
            await wire.write("HTTP/1.1 400 Bad" if ref else "HTTP/1.1 404 No id")
            return True
        given = json.loads(message.body)
        slots = int(given.get("slots", 1))
        row = AttemptRecord(
            ref,
            message.path.split("/")[1],
            self.name,
            now_ms(),
            node=node,
            work_ms=given["work"],
            slots=slots,
        )
        self._ledger.attempts.append(row)
        act = self.planned_faults.pop(0) if self.planned_faults else "error" if self.is_failing else ""
        if act == "reset":
            row.started_ms = now_ms()  # it may have run
            wire.reset()
            return False
        if act == "hang":
            await trio.sleep_forever()
        if act == "error":
            row.started_ms = row.ended_ms = now_ms()
            row.outcome = "error"
            await wire.write("HTTP/1.1 500 Failed")
            return True
        taken = act != "full" and self.model.admit(now_ms(), ref, given["work"], slots)
        if not taken:
            row.outcome, row.ended_ms = "full", now_ms()
            await wire.write("HTTP/1.1 503 Full", Not_Started="1")
            return True
        self._of[ref] = (row, node)
        self._woken.set()
        if given.get("fails"):
            row.outcome = "to fail"
        await wire.write("HTTP/1.1 202 Accepted")
        return True

    def _give_up(self, ref: str) -> None:
        if self.model.drop_queued(now_ms(), ref):
            row, _ = self._of.pop(ref)
            row.outcome, row.ended_ms = "given up", now_ms()

    # --- work and call-backs --------------------------------------------------------------------

    async def _work(self) -> None:
        while True:
            self._woken = trio.Event()
            for note in self.model.step(now_ms()):
                self._tell(note)
            wait = (self.model.next_due_ms() - now_ms()) / 1000.0
            with trio.move_on_after(max(0.0005, wait)):
                await self._woken.wait()

    def _tell(self, note: JobProgress) -> None:
        held = self._of.get(note.job)
        if held is None:
            return
        row, node = held
        if note.state == "done":
            fails = row.outcome == "to fail"
            self._end(note.job, "failed" if fails else "done", "failed" if fails else "done")
            return
        if note.state == "started":
            row.started_ms = now_ms()
        self._call(
            node, {"id": note.job, "from": self.name, "state": note.state, "share": note.done_fraction}
        )

    def _end(self, job: str, end: str, state: str) -> None:
        row, node = self._of.pop(job)
        row.outcome, row.ended_ms = end, now_ms()
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
                        wire.socket_stream.socket.close()
            await trio.sleep(_REPEAT_AFTER)
