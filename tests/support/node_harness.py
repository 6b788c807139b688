"""Scripted peers on loopback sockets: executors, discovery and a client, round one in-process node."""

from __future__ import annotations

import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import msgspec
import trio

from burlmoor.config.node_config import NodeConfig
from burlmoor.config.settings import parse_settings
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.lifecycle.node import Node
from burlmoor.log import EventLog
from burlmoor.testbed.http_wire import Message, Wire
from tests.support.configuration import SETTINGS_OBJECT

REPLIES: dict[str, tuple[str, dict[str, Any]]] = {
    "take": ("HTTP/1.1 202 Accepted", {}),
    "full": ("HTTP/1.1 503 No", {"Not_Started": "1"}),
    "late": ("HTTP/1.1 504 No", {"Not_Started": "1"}),
    "503": ("HTTP/1.1 503 No", {}),
    "504": ("HTTP/1.1 504 No", {}),
    "500": ("HTTP/1.1 500 No", {}),
}


class Stage:
    """Owns the peers of one node. Both executors play from one script, an act for each job."""

    def __init__(self, script: list[str], nursery: trio.Nursery) -> None:
        self.script, self.nursery = script, nursery
        self.node: Node
        self.address: tuple[str, int]
        self.jobs: list[tuple[str, Message]] = []
        self.deleted: list[tuple[str, str]] = []
        self.ended = False  # whether the node has ended by itself
        self.broken = 0  # connections that the node closed without an answer
        self.connects = 0
        self.open: list[Wire] = []  # connections of executors
        self.dials: dict[str, str] = {}
        self.watches: list[Wire] = []
        self.silent = False  # whether watches get no answer even when their wait is over
        self.left: list[Wire] = []  # calls to discovery whose connection the node has ended
        self.asked: list[str] = []
        self.heard: list[Wire] = []  # whose call each was
        self.stray: Wire | None = None  # an executor's connection on which a second answer is to come
        self.kept: list[Wire] = []  # clients' connections that a story holds open without looking at them
        self.news = trio.Event()

    def happened(self) -> None:
        self.news.set()
        self.news = trio.Event()

    async def until(self, true: Callable[[], object]) -> None:
        """Wait for something to have happened."""
        with trio.fail_after(10.0):
            while not true():
                with trio.move_on_after(0.05):
                    await self.news.wait()

    async def listen(self, serve: Callable[[Wire], Any]) -> str:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]

        async def handle(stream: trio.SocketStream) -> None:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await serve(Wire(stream))

        self.nursery.start_soon(trio.serve_listeners, handle, [listener])
        host, port = listener.socket.getsockname()
        return f"{host}:{port}"

    async def executor(self, name: str) -> None:
        async def serve(wire: Wire) -> None:
            self.connects += 1
            self.open.append(wire)
            while (message := await wire.read()) is not None:
                if message.start.startswith("DELETE"):
                    self.deleted.append((name, message.start.split()[1]))
                    await wire.write("HTTP/1.1 204 Gone")
                elif message.start.startswith("GET"):
                    await wire.write("HTTP/1.1 200 OK")
                else:
                    act = self.script.pop(0) if self.script else "take"
                    self.jobs.append((name, message))
                    self.happened()
                    if self.stray is not None:  # now that the next job has been written
                        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                            await self.stray.write("HTTP/1.1 503 No", Not_Started="1")
                        self.stray = None
                    if act.startswith("bytes:"):  # whatever they are; then silence, or the end
                        data, _, then = act.removeprefix("bytes:").partition("|")
                        await wire.stream.send_all(data.encode("latin-1"))
                        if then == "end":
                            await wire.stream.aclose()
                            return
                        continue
                    if act == "stray":
                        self.stray = wire
                        act = "take"
                    if act == "reset":
                        await wire.stream.aclose()
                        return
                    if act == "early":  # the result comes before the 202
                        await self.tell("done", "early")
                        await wire.write("HTTP/1.1 202 Accepted")
                    elif act != "hang":
                        start, headers = REPLIES[act]
                        await wire.write(start, **headers)
                self.happened()
            self.broken += 1
            self.happened()

        self.dials[name] = await self.listen(serve)

    async def discovery(self) -> str:
        async def serve(wire: Wire) -> None:
            while (message := await wire.read()) is not None:
                path = message.start.split()[1]
                self.asked.append(path)
                self.heard.append(wire)
                self.watches.append(wire)
                self.happened()
                self.nursery.start_soon(self._nothing_new, wire, len(self.heard), path)
            self.left.append(wire)
            self.happened()

        return await self.listen(serve)

    async def _nothing_new(self, wire: Wire, number: int, path: str) -> None:
        """Answer a watch when its wait is over, unless a story has answered it."""
        _, _, wait = path.partition("&wait_ms=")
        if not wait:
            return
        await trio.sleep(float(wait) / 1000.0)
        after = path.partition("after=")[2].partition("&")[0]
        if wire in self.watches and not self.silent and wire not in self.heard[number:]:
            self.watches.remove(wire)
            body = json.dumps({"seq": int(after), "whole": False, "hosts": []}).encode()
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await wire.write("HTTP/1.1 200 OK", body)

    def listed(self, seq: int, whole: bool = True, **states: str) -> dict[str, Any]:
        hosts = [
            {"host": name, "dial": self.dials[name], "site": "a", "class": "m", "block": 1, "share": 4.0,
             "health": state, "born_ms": 0}
            for name, state in states.items()
        ]  # fmt: skip
        return {"seq": seq, "whole": whole, "hosts": hosts}

    async def publish(self, seq: int, whole: bool = True, **states: str) -> None:
        """Answer the watch that is open."""
        await self.until(lambda: self.watches)
        body = json.dumps(self.listed(seq, whole, **states)).encode()
        await self.watches.pop().write("HTTP/1.1 200 OK", body)

    async def client(self, receive_buffer: int = 0) -> Wire:
        sock = trio.socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await sock.connect(self.address)
        return Wire(trio.SocketStream(sock))

    async def submit(self, name: str = "lookup", ref: str = "a1", ms: int = 3000) -> Wire:
        wire = await self.client()
        await self.ask(wire, name, ref, ms)
        return wire

    async def ask(self, wire: Wire, name: str = "lookup", ref: str = "a1", ms: int = 3000) -> None:
        head: dict[str, Any] = {
            "Host": "svc",
            "Request_Id": ref,
            "Request_Timeout_Ms": str(ms),
            "Work_Hint": "90000",
            **({"Idempotency_Key": f"key-{ref}"} if name == "keyed" else {}),
        }
        await wire.write(f"POST /{name}/0f HTTP/1.1", b"work", **head)

    async def tell(self, state: str, result: str = "", job: int = -1, pause: float = 0.0, **more: Any) -> int:
        """A call-back for one of the jobs taken so far; the status that the node answers."""
        name, message = self.jobs[job]
        event = {"id": message.headers["request-id"], "from": name, "state": state, "result": result, **more}
        return await self.tell_raw(json.dumps(event).encode(), pause)

    async def tell_raw(self, body: bytes, pause: float = 0.0) -> int:
        wire = await self.client()
        await trio.sleep(pause)
        await wire.write("POST /v1/job-events HTTP/1.1", body, Host="node", Connection="close")
        answer = await wire.read()
        assert answer is not None
        return answer.status

    async def answer(self, wire: Wire) -> Message:
        with trio.fail_after(10.0):
            answer = await wire.read()
        assert answer is not None
        return answer


@asynccontextmanager
async def stage(
    *script: str,
    sockets: int = 1024,
    lines: list[str] | None = None,
    given_settings: dict[str, Any] = SETTINGS_OBJECT,
    **more: Any,
) -> AsyncIterator[Stage]:
    """A node that knows two live executors, e0 and e1, playing `script`."""

    class Sink:
        def write(self, line: bytes) -> None:
            if lines is not None:
                lines.append(line.decode())

        def flush(self) -> None: ...

    async with trio.open_nursery() as nursery:
        made = Stage(list(script), nursery)
        for name in ("e0", "e1"):
            await made.executor(name)
        discovery = await made.discovery()
        known = msgspec.convert(made.listed(1, e0="active", e1="active"), DiscoveredList)
        more = {"admin": ("127.0.0.1", 0), **more}
        decisions = parse_settings(given_settings)
        given = NodeConfig("n0", ("127.0.0.1", 0), discovery, 7, sockets, known, decisions, **more)

        async def run(task_status: trio.TaskStatus[None]) -> None:
            # A nursery of its own: a node that stops cancels its nursery, and must not end the story.
            async with trio.open_nursery() as inner:
                made.node = Node(given, inner, EventLog("n0", Sink()))  # type: ignore[arg-type]
                made.address = made.node.server.address
                made.node.start()
                task_status.started()
            made.ended = True
            made.happened()

        await nursery.start(run)
        yield made
        nursery.cancel_scope.cancel()


def play(story: Callable[[Stage], Awaitable[Any]], *script: str, **given: Any) -> Any:
    """Play a story against a node; what it returns."""

    async def run() -> Any:
        with trio.fail_after(20.0):
            async with stage(*script, **given) as made:
                return await story(made)

    return trio.run(run)
