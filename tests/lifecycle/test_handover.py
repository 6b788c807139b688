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

from burlmoor.lifecycle.handover_channel import connect, listen
from burlmoor.lifecycle.handover_messages import Hello
from burlmoor.testbed.http_stream import HttpMessage, HttpStream
from tests.integration.test_program import ROOT, free_address
from tests.support.admin_client import call_admin, get_readiness_status, serve_job
from tests.support.configuration import write_config
from tests.support.node_harness import NodeHarness, run_scenario


class ServiceProcess:
    """One real process of the node."""

    def __init__(self, process: trio.Process, control: str) -> None:
        self.process, self.control = process, control

    async def call(self, path: str, name: str = "") -> HttpMessage:
        method = "GET" if path == "/ready" else "POST"
        host, _, port = self.control.partition(":")
        with trio.fail_after(30.0):
            while True:
                try:
                    wire = HttpStream(await trio.open_tcp_stream(host, int(port)))
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


class HandoverHarness(NodeHarness):
    """Peers round one node whose processes share the socket that clients come to."""

    def __init__(self, nursery: trio.Nursery, held: socket.socket, folder: Path) -> None:
        super().__init__([], nursery)
        self.shared_listener, self.folder, self.address = held, folder, held.getsockname()
        self.environment: dict[str, str] = {}
        self.processes: list[trio.Process] = []

    async def start_process(self, **more: str) -> ServiceProcess:
        control, number = free_address(), self.shared_listener.fileno()
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
        return ServiceProcess(process, control)


class OtherProcess:
    """Stands in for the node's other process: records what the downstream server passes on to it."""

    def __init__(self, acknowledgements: list[bool] | None = None) -> None:
        self._acknowledgements = acknowledgements or []
        self.callbacks: list[bytes] = []
        self.connections: list[tuple[socket.socket, bool]] = []
        self.opened_jobs: list[str] = []

    async def forward_callback(self, body: bytes) -> bool:
        self.callbacks.append(body)
        return self._acknowledgements[len(self.callbacks) - 1]

    def pass_connection(self, sock: socket.socket, has_been_used: bool, age_seconds: float) -> None:
        self.connections.append((sock, has_been_used))

    def on_job_opened(self, request_id: str) -> None:
        self.opened_jobs.append(request_id)


@asynccontextmanager
async def open_handover_harness(folder: Path) -> AsyncIterator[HandoverHarness]:
    shared = folder / "shared"
    shared.mkdir()
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with trio.open_nursery() as nursery:
            harness = HandoverHarness(nursery, held, shared)
            for name in ("e0", "e1"):
                await harness.start_executor(name)
            host, port = held.getsockname()
            harness.environment = write_config(
                folder,
                listen=f"{host}:{port}",
                discovery=await harness.start_discovery(),
                known=harness.endpoint_list(3, e0="active", e1="active"),
            )
            try:
                yield harness
            finally:
                for process in harness.processes:
                    process.kill()
            nursery.cancel_scope.cancel()


def test_a_new_process_takes_over_without_a_client_noticing(tmp_path: Path) -> None:
    async def story() -> None:
        async with open_handover_harness(tmp_path) as harness:
            old = await harness.start_process()
            await old.ready()
            kept = await harness.submit_job("once", "a1")
            await harness.wait_until(lambda: harness.jobs)
            assert await harness.send_callback("done", "one") == 204
            assert (await harness.read_response(kept)).body == b"one"
            under_way = await harness.submit_job("once", "a2", 5000)
            await harness.wait_until(lambda: len(harness.jobs) == 2)
            half = await harness.connect_client()
            await half.socket_stream.send_all(b"POST /once/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: a3\r\n")
            silent = await harness.connect_client()
            assert (await old.call("/executors/disable", "e0")).status == 200

            new = await harness.start_process()
            await new.ready()
            assert await get_readiness_status(harness) == 200
            assert (await old.call("/ready")).status == 503
            # What is set at either of them holds at both.
            assert (await new.call("/executors/disable", "e1")).status == 200
            assert (await old.call("/executors/enable", "e1")).status == 200
            assert msgspec.json.decode((await new.call("/ready")).body)["out"] == ["e0"]

            # The job is the old process's, its call-back comes to the new one.
            assert await harness.send_callback("started", job=1) == 204
            assert await harness.send_callback("done", "two", job=1) == 204
            answer = await harness.read_response(under_way)
            assert (answer.status, answer.body, answer.headers.get("connection")) == (200, b"two", None)
            taken = await harness.submit_job("once", "a4")
            await harness.wait_until(lambda: len(harness.jobs) == 3)
            old.process.send_signal(signal.SIGTERM)
            await half.socket_stream.send_all(b"Request-Timeout-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
            await harness.wait_until(lambda: len(harness.jobs) == 4)
            assert {name for name, _ in harness.jobs[2:]} == {"e1"}
            for job in (2, 3):
                await harness.send_callback("done", "on", job=job)
            for wire in (taken, half):
                assert (await harness.read_response(wire)).body == b"on"
            with trio.fail_after(3.0):
                assert await old.process.wait() == 0
            # Every connection that was open goes on at the new process.
            for number, wire in enumerate((kept, under_way, half, silent, taken)):
                await harness.send_job(wire, "once", f"b{number}")
                await harness.wait_until(lambda number=number: len(harness.jobs) == 5 + number)  # type: ignore[misc]
                await harness.send_callback("done", "fine")
                assert (await harness.read_response(wire)).body == b"fine"
            await new.stop()

    trio.run(story)


def test_a_drained_node_is_upgraded_twice_while_the_first_process_still_has_a_job(tmp_path: Path) -> None:
    async def story() -> None:
        async with open_handover_harness(tmp_path) as harness:
            first = await harness.start_process()
            await first.ready()
            wire = await harness.submit_job("once", "a1", 5000)
            await harness.wait_until(lambda: harness.jobs)
            second = await harness.start_process()
            await second.ready()
            assert (await second.call("/drain")).status == 200
            third = await harness.start_process()
            # This process is ready, and its old one may go; the node is drained all the same.
            await third.ready()
            assert await get_readiness_status(harness) == 503
            # The result comes to the third process, for a job of the first.
            assert await harness.send_callback("done", "far") == 204
            assert (await harness.read_response(wire)).body == b"far"
            assert (await third.call("/undrain")).status == 200
            assert await get_readiness_status(harness) == 200
            for process in (first, second, third):
                await process.stop()

    trio.run(story)


def test_a_new_process_that_fails_changes_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        async with open_handover_harness(tmp_path) as harness:
            old = await harness.start_process()
            await old.ready()
            broken = await harness.start_process(RELAY_LISTEN="nowhere")
            assert await broken.process.wait() == 2
            # One that is killed after it took over: the old process takes clients again.
            killed = await harness.start_process()
            await killed.ready()
            killed.process.kill()
            await old.ready()
            assert await serve_job(harness, "a1") in ("e0", "e1")
            await old.stop()

    trio.run(story)


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"\x00garbage",
        msgspec.msgpack.encode(Hello(version=99)),
        msgspec.msgpack.encode({"type": "Later"}),
        b"x" * 200_000,
    ],
)
def test_a_peer_that_makes_no_sense_leaves_the_node_alone(said: bytes, tmp_path: Path) -> None:
    async def story(harness: NodeHarness) -> None:
        link = tmp_path / "n0.link"
        await harness.wait_until(link.exists)
        for _ in range(2):
            peer = connect(link)
            assert peer is not None
            if said:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                peer.send(said)
                await trio.to_thread.run_sync(peer.recv, 100)  # ended by the node
            peer.close()
        assert await serve_job(harness, "a1") in ("e0", "e1")
        assert (await call_admin(harness, "/ready", method="GET"))[0] == 200

    with socket.create_server(("127.0.0.1", 0)) as held:

        async def run(harness: NodeHarness) -> None:
            harness.address = held.getsockname()
            await story(harness)

        run_scenario(run, listener_fd=held.dup().detach(), state_folder=tmp_path)


@pytest.mark.parametrize("predecessor", ["stale", "mute", "gone"])
def test_a_node_starts_alone_where_nobody_hands_over(predecessor: str, tmp_path: Path) -> None:
    old = listen(tmp_path / "n0.link")
    if predecessor == "stale":
        old.close()

    async def story(harness: NodeHarness) -> None:
        harness.address = held.getsockname()
        if predecessor == "gone":
            peer = await trio.to_thread.run_sync(lambda: old.accept()[0])
            peer.close()
        await harness.wait_until(lambda: harness.node.admin.is_serving)
        assert await get_readiness_status(harness) == 200

    with socket.create_server(("127.0.0.1", 0)) as held:
        if predecessor != "stale":
            old.setblocking(True)
        run_scenario(story, listener_fd=held.dup().detach(), state_folder=tmp_path)
        old.close()


def test_a_call_back_is_answered_only_once_the_other_process_has_taken_it() -> None:
    async def story(harness: NodeHarness) -> None:
        other_process = OtherProcess(acknowledgements=[False, True])
        harness.node.server.attach_callback_forwarder(other_process)
        body = b'{"id":"x","from":"e0","state":"done"}'
        assert await harness.send_callback_body(body) == 503  # its executor tells it again
        assert await harness.send_callback_body(body) == 204
        assert other_process.callbacks == [body, body]

    run_scenario(story)


def test_a_connection_is_passed_on_only_between_requests() -> None:
    async def story(harness: NodeHarness) -> None:
        successor = OtherProcess()
        wire = await harness.submit_job("once", "a1")
        half = await harness.connect_client()
        await half.socket_stream.send_all(b"POST /once")
        await harness.wait_until(lambda: harness.jobs and len(harness.node.server.connections) == 2)
        harness.node.server.attach_successor(successor)
        harness.node.server.pass_idle_to_successor()
        assert not successor.connections
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(wire)).status == 200
        assert [has_been_used for _, has_been_used in successor.connections] == [True]
        # The descriptor is taken over by whoever serves it next.
        harness.node.server.attach_successor(None)
        for sock, has_been_used in successor.connections:
            harness.node.server.adopt(sock, has_been_used)
        await harness.send_job(wire, "once", "a2")
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        await harness.send_callback("done", "again")
        assert (await harness.read_response(wire)).body == b"again"

    run_scenario(story)


def test_an_id_that_the_other_process_has_taken_is_refused() -> None:
    async def story(harness: NodeHarness) -> None:
        harness.node.engine.ids_in_other_process.add("a1")
        assert (await harness.read_response(await harness.submit_job("once", "a1"))).status == 400
        assert not harness.jobs

    run_scenario(story)
