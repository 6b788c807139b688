"""A new process takes over from an old one under load: two real processes, and scripted peers that fail."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest
import trio

from burlmoor.lifecycle import handover_channel as p
from burlmoor.testbed.http_wire import Message, Wire
from tests.integration.test_program import ROOT, free_address
from tests.support.admin_client import call_admin, get_readiness_status, serve_job
from tests.support.configuration import write_config
from tests.support.node_harness import Stage, play


class Process:
    """One real process of the node."""

    def __init__(self, process: trio.Process, control: str) -> None:
        self.process, self.control = process, control

    async def call(self, path: str, name: str = "") -> Message:
        method = "GET" if path == "/ready" else "POST"
        host, _, port = self.control.partition(":")
        with trio.fail_after(30.0):
            while True:
                try:
                    wire = Wire(await trio.open_tcp_stream(host, int(port)))
                    break
                except OSError:
                    await trio.sleep(0.02)
            body = msgspec.json.encode({"name": name}) if name else b""
            await wire.write(f"{method} {path} HTTP/1.1", body, Host="node")
            answer = await wire.read()
        assert answer is not None
        return answer

    async def ready(self) -> None:
        with trio.fail_after(30.0):
            while (await self.call("/ready")).status != 200:
                await trio.sleep(0.02)

    async def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        with trio.fail_after(30.0):
            assert await self.process.wait() == 0


class House(Stage):
    """Peers round one node whose processes share the socket that clients come to."""

    def __init__(self, nursery: trio.Nursery, held: socket.socket, folder: Path) -> None:
        super().__init__([], nursery)
        self.held, self.folder, self.address = held, folder, held.getsockname()
        self.environment: dict[str, str] = {}
        self.processes: list[trio.Process] = []

    async def start(self, **more: str) -> Process:
        control, number = free_address(), self.held.fileno()
        environment = {
            **os.environ, **self.environment, "TMPDIR": str(self.folder), "RELAY_CONTROL": control,
            "RELAY_PASSED_SOCKET": str(number), **more,
        }  # fmt: skip
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "burlmoor"],
            env=environment,
            cwd=str(ROOT),
            pass_fds=[number],
            stderr=subprocess.DEVNULL,
        )
        self.processes.append(process)
        return Process(process, control)


@asynccontextmanager
async def house(folder: Path) -> AsyncIterator[House]:
    shared = folder / "shared"
    shared.mkdir()
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with trio.open_nursery() as nursery:
            made = House(nursery, held, shared)
            for name in ("e0", "e1"):
                await made.executor(name)
            host, port = held.getsockname()
            made.environment = write_config(
                folder,
                listen=f"{host}:{port}",
                discovery=await made.discovery(),
                known=made.listed(3, e0="active", e1="active"),
            )
            try:
                yield made
            finally:
                for process in made.processes:
                    process.kill()
            nursery.cancel_scope.cancel()


def test_a_new_process_takes_over_without_a_client_noticing(tmp_path: Path) -> None:
    async def story() -> None:
        async with house(tmp_path) as made:
            old = await made.start()
            await old.ready()
            kept = await made.submit("once", "a1")
            await made.until(lambda: made.jobs)
            assert await made.tell("done", "one") == 204
            assert (await made.answer(kept)).body == b"one"
            under_way = await made.submit("once", "a2", 5000)
            await made.until(lambda: len(made.jobs) == 2)
            half = await made.client()
            await half.stream.send_all(b"POST /once/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: a3\r\n")
            silent = await made.client()
            assert (await old.call("/executors/disable", "e0")).status == 200

            new = await made.start()
            await new.ready()
            assert await get_readiness_status(made) == 200
            assert (await old.call("/ready")).status == 503
            # What is set at either of them holds at both.
            assert (await new.call("/executors/disable", "e1")).status == 200
            assert (await old.call("/executors/enable", "e1")).status == 200
            assert msgspec.json.decode((await new.call("/ready")).body)["out"] == ["e0"]

            # The job is the old process's, its call-back comes to the new one.
            assert await made.tell("started", job=1) == 204
            assert await made.tell("done", "two", job=1) == 204
            answer = await made.answer(under_way)
            assert (answer.status, answer.body, answer.headers.get("connection")) == (200, b"two", None)
            taken = await made.submit("once", "a4")
            await made.until(lambda: len(made.jobs) == 3)
            old.process.send_signal(signal.SIGTERM)
            await half.stream.send_all(b"Request-Timeout-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
            await made.until(lambda: len(made.jobs) == 4)
            assert {name for name, _ in made.jobs[2:]} == {"e1"}
            for job in (2, 3):
                await made.tell("done", "on", job=job)
            for wire in (taken, half):
                assert (await made.answer(wire)).body == b"on"
            with trio.fail_after(3.0):
                assert await old.process.wait() == 0
            # Every connection that was open goes on at the new process.
            for number, wire in enumerate((kept, under_way, half, silent, taken)):
                await made.ask(wire, "once", f"b{number}")
                await made.until(lambda number=number: len(made.jobs) == 5 + number)  # type: ignore[misc]
                await made.tell("done", "fine")
                assert (await made.answer(wire)).body == b"fine"
            await new.stop()

    trio.run(story)


def test_a_drained_node_is_upgraded_twice_while_the_first_process_still_has_a_job(tmp_path: Path) -> None:
    async def story() -> None:
        async with house(tmp_path) as made:
            first = await made.start()
            await first.ready()
            wire = await made.submit("once", "a1", 5000)
            await made.until(lambda: made.jobs)
            second = await made.start()
            await second.ready()
            assert (await second.call("/drain")).status == 200
            third = await made.start()
            # This process is ready, and its old one may go; the node is drained all the same.
            await third.ready()
            assert await get_readiness_status(made) == 503
            # The result comes to the third process, for a job of the first.
            assert await made.tell("done", "far") == 204
            assert (await made.answer(wire)).body == b"far"
            assert (await third.call("/undrain")).status == 200
            assert await get_readiness_status(made) == 200
            for process in (first, second, third):
                await process.stop()

    trio.run(story)


def test_a_new_process_that_fails_changes_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        async with house(tmp_path) as made:
            old = await made.start()
            await old.ready()
            broken = await made.start(RELAY_LISTEN="nowhere")
            assert await broken.process.wait() == 2
            # One that is killed after it took over: the old process takes clients again.
            killed = await made.start()
            await killed.ready()
            killed.process.kill()
            await old.ready()
            assert await serve_job(made, "a1") in ("e0", "e1")
            await old.stop()

    trio.run(story)


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"\x00garbage",
        msgspec.msgpack.encode(p.Hello(version=99)),
        msgspec.msgpack.encode({"type": "Later"}),
        b"x" * 200_000,
    ],
)
def test_a_peer_that_makes_no_sense_leaves_the_node_alone(said: bytes, tmp_path: Path) -> None:
    async def story(made: Stage) -> None:
        link = tmp_path / "n0.link"
        await made.until(link.exists)
        for _ in range(2):
            peer = p.connect_to(link)
            assert peer is not None
            if said:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                peer.send(said)
                await trio.to_thread.run_sync(peer.recv, 100)  # ended by the node
            peer.close()
        assert await serve_job(made, "a1") in ("e0", "e1")
        assert (await call_admin(made, "/ready", method="GET"))[0] == 200

    with socket.create_server(("127.0.0.1", 0)) as held:

        async def run(made: Stage) -> None:
            made.address = held.getsockname()
            await story(made)

        play(run, listener_fd=held.dup().detach(), state_folder=tmp_path)


@pytest.mark.parametrize("predecessor", ["stale", "mute", "gone"])
def test_a_node_starts_alone_where_nobody_hands_over(predecessor: str, tmp_path: Path) -> None:
    old = p.listen(tmp_path / "n0.link")
    if predecessor == "stale":
        old.close()

    async def story(made: Stage) -> None:
        made.address = held.getsockname()
        if predecessor == "gone":
            peer = await trio.to_thread.run_sync(lambda: old.accept()[0])
            peer.close()
        await made.until(lambda: made.node.admin.is_serving)
        assert await get_readiness_status(made) == 200

    with socket.create_server(("127.0.0.1", 0)) as held:
        if predecessor != "stale":
            old.setblocking(True)
        play(story, listener_fd=held.dup().detach(), state_folder=tmp_path)
        old.close()


def test_a_call_back_is_answered_only_once_the_other_process_has_taken_it() -> None:
    async def story(made: Stage) -> None:
        asked: list[bytes] = []
        answers = [False, True]

        async def elsewhere(body: bytes) -> bool:
            asked.append(body)
            return answers[len(asked) - 1]

        made.node.server.forward_callback = elsewhere
        body = b'{"id":"x","from":"e0","state":"done"}'
        assert await made.tell_raw(body) == 503  # its executor tells it again
        assert await made.tell_raw(body) == 204
        assert asked == [body, body]

    play(story)


def test_a_connection_is_passed_on_only_between_requests() -> None:
    async def story(made: Stage) -> None:
        passed: list[tuple[socket.socket, bool]] = []
        wire = await made.submit("once", "a1")
        half = await made.client()
        await half.stream.send_all(b"POST /once")
        await made.until(lambda: made.jobs and len(made.node.server.connections) == 2)
        made.node.server.pass_connection = lambda sock, used, _age: passed.append((sock, used))
        made.node.server.hand_over_idle()
        assert not passed
        await made.tell("done", "fine")
        assert (await made.answer(wire)).status == 200
        assert [used for _, used in passed] == [True]
        # The descriptor is taken over by whoever serves it next.
        made.node.server.pass_connection = None
        for sock, used in passed:
            made.node.server.adopt(sock, used)
        await made.ask(wire, "once", "a2")
        await made.until(lambda: len(made.jobs) == 2)
        await made.tell("done", "again")
        assert (await made.answer(wire)).body == b"again"

    play(story)


def test_an_id_that_the_other_process_has_taken_is_refused() -> None:
    async def story(made: Stage) -> None:
        made.node.engine.ids_in_other_process.add("a1")
        assert (await made.answer(await made.submit("once", "a1"))).status == 400
        assert not made.jobs

    play(story)
