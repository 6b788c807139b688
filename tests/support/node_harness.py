"""Scripted peers of one in-process node on loopback sockets: executors, discovery and clients."""

from __future__ import annotations

import json
import socket
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from burlmoor.config.node_config import NodeConfig
from burlmoor.config.settings import parse_settings
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.lifecycle.node import Node
from burlmoor.log import EventLog
from burlmoor.testbed.http_stream import HttpMessage, HttpStream
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.scripted_executor import ScriptedExecutor

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from burlmoor.lifecycle.components import NodeComponents

_LISTEN_POLL_SECONDS = 0.01
_MAX_TEST_SECONDS = 20.0  # for the whole use of one harness


class NodeHarness:
    """Owns the scripted peers of one node. Its executors share one script, an action for each job."""

    def __init__(self, script: list[str], nursery: trio.Nursery) -> None:
        self.executor_script = script
        self.nursery = nursery
        self.node: Node
        self.address: tuple[str, int]  # to which clients connect
        self.has_node_ended = False  # on its own, before the harness closes
        # Client connections that a test keeps open without reading from them.
        self.open_clients: list[HttpStream] = []
        # Executors: their addresses by name, and what they have received, each with the executor's name.
        self.addresses: dict[str, str] = {}
        self.jobs: list[tuple[str, HttpMessage]] = []
        self.cancelled_attempts: list[tuple[str, str]] = []
        self.executor_connections: list[HttpStream] = []
        self.executor_connection_count = 0
        self.closed_by_node_count = 0  # executor connections that the node closed
        self.connection_for_second_response: HttpStream | None = None
        # Discovery: the path and the connection of each call, in order.
        self.discovery_paths: list[str] = []
        self.discovery_connections: list[HttpStream] = []
        self.closed_discovery_connections: list[HttpStream] = []  # closed by the node
        self.open_watches: list[HttpStream] = []
        self.is_discovery_silent = False  # whether watches get no response even when their wait is over
        self._changed = trio.Event()

    @property
    def components(self) -> NodeComponents:
        """The components of the node."""
        return self.node.components

    def notify(self) -> None:
        """Wake the tasks that wait for a condition: a peer has observed an event."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition holds, 10 s at most."""
        with trio.fail_after(10.0):
            while not condition():
                with trio.move_on_after(0.05):
                    await self._changed.wait()

    async def wait_ready(self) -> None:
        """Wait until the node accepts clients, which it does after the first response of discovery."""
        connection = await self.connect_client()
        await connection.write("GET /health/ready HTTP/1.1", Host="node")
        assert (await self.read_response(connection)).status == 200

    async def listen(self, serve: Callable[[HttpStream], Any]) -> str:
        """Serve connections at a new address; return the address."""
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]

        async def handle(stream: trio.SocketStream) -> None:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await serve(HttpStream(stream))

        self.nursery.start_soon(trio.serve_listeners, handle, [listener])
        host, port = listener.socket.getsockname()
        return f"{host}:{port}"

    async def start_executor(self, name: str) -> None:
        """Start an executor that answers according to the script."""
        self.addresses[name] = await self.listen(ScriptedExecutor(self, name).serve)

    async def start_discovery(self) -> str:
        """Start a discovery service whose watches the test answers with `publish`; return its address."""

        async def serve(connection: HttpStream) -> None:
            while (message := await connection.read()) is not None:
                path = message.start_line.split()[1]
                self.discovery_paths.append(path)
                self.discovery_connections.append(connection)
                self.open_watches.append(connection)
                self.notify()
                self.nursery.start_soon(
                    self._answer_expired_watch, connection, len(self.discovery_connections), path
                )
            self.closed_discovery_connections.append(connection)
            self.notify()

        return await self.listen(serve)

    async def _answer_expired_watch(self, connection: HttpStream, call_count: int, path: str) -> None:
        """Answer a watch when its wait is over, unless the test has answered it.

        `call_count` is the number of calls up to this one: a later call on the connection replaces the watch.
        """
        _, _, wait = path.partition("&wait_ms=")
        if not wait:
            return
        await trio.sleep(float(wait) / 1000.0)
        after = path.partition("after=")[2].partition("&")[0]
        if (
            connection in self.open_watches
            and not self.is_discovery_silent
            and connection not in self.discovery_connections[call_count:]
        ):
            self.open_watches.remove(connection)
            body = json.dumps({"seq": int(after), "whole": False, "hosts": []}).encode()
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await connection.write("HTTP/1.1 200 OK", body)

    def endpoint_list(self, version: int, is_complete: bool = True, **states: str) -> dict[str, Any]:
        """Build the list of these executors, with these states, as discovery sends it."""
        hosts = [
            {"host": name, "dial": self.addresses[name], "site": "a", "class": "m", "block": 1, "share": 4.0,
             "health": state, "born_ms": 0}
            for name, state in states.items()
        ]  # fmt: skip
        return {"seq": version, "whole": is_complete, "hosts": hosts}

    async def publish(self, version: int, is_complete: bool = True, **states: str) -> None:
        """Answer the open watch with this list."""
        await self.wait_until(lambda: self.open_watches)
        body = json.dumps(self.endpoint_list(version, is_complete, **states)).encode()
        await self.open_watches.pop().write("HTTP/1.1 200 OK", body)

    async def connect_client(self, receive_buffer: int = 0) -> HttpStream:
        """Connect a client, once the node listens; `receive_buffer` limits its receive buffer, in bytes."""
        with trio.fail_after(10.0):
            while True:
                sock = trio.socket.socket()
                if receive_buffer:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
                try:
                    await sock.connect(self.address)
                except ConnectionRefusedError:
                    sock.close()
                    await trio.sleep(_LISTEN_POLL_SECONDS)
                    continue
                return HttpStream(trio.SocketStream(sock))

    async def submit_job(
        self, job_class: str = "lookup", request_id: str = "a1", timeout_ms: int = 3000
    ) -> HttpStream:
        """Submit a job on a new connection; return the connection."""
        connection = await self.connect_client()
        await self.send_job(connection, job_class, request_id, timeout_ms)
        return connection

    async def send_job(
        self,
        connection: HttpStream,
        job_class: str = "lookup",
        request_id: str = "a1",
        timeout_ms: int = 3000,
    ) -> None:
        """Submit a job on an open connection."""
        head: dict[str, Any] = {
            "Host": "svc",
            "Request_Id": request_id,
            "Request_Timeout_Ms": str(timeout_ms),
            "Work_Hint": "90000",
            **({"Idempotency_Key": f"key-{request_id}"} if job_class == "keyed" else {}),
        }
        await connection.write(f"POST /{job_class}/0f HTTP/1.1", b"work", **head)

    def find_attempts(self, request_id: str) -> list[int]:
        """Return the indices in `jobs` of the attempts of this job."""
        return [index for index, (_, job) in enumerate(self.jobs) if job.headers["request-id"] == request_id]

    async def send_callback(
        self, state: str, result: str = "", job: int = -1, pause: float = 0.0, **fields: Any
    ) -> int:
        """Send a call-back for a received job, by default the last; return the response's status."""
        name, message = self.jobs[job]
        event = {
            "id": message.headers["request-id"],
            "from": name,
            "state": state,
            "result": result,
            **fields,
        }
        return await self.send_callback_body(json.dumps(event).encode(), pause)

    async def send_callback_body(self, body: bytes, pause: float = 0.0) -> int:
        connection = await self.connect_client()
        await trio.sleep(pause)
        await connection.write("POST /v1/job-events HTTP/1.1", body, Host="node", Connection="close")
        response = await connection.read()
        assert response is not None
        return response.status

    async def read_response(self, connection: HttpStream) -> HttpMessage:
        with trio.fail_after(10.0):
            response = await connection.read()
        assert response is not None
        return response


class _LogRecorder:
    """Appends the lines of an event log to a list, if there is one."""

    def __init__(self, lines: list[str] | None) -> None:
        self._lines = lines

    def write(self, line: bytes) -> None:
        if self._lines is not None:
            self._lines.append(line.decode())

    def flush(self) -> None: ...


@asynccontextmanager
async def open_node_harness(
    *script: str,
    sockets: int = 1024,
    lines: list[str] | None = None,
    given_settings: dict[str, Any] = SETTINGS_OBJECT,
    **config_fields: Any,
) -> AsyncIterator[NodeHarness]:
    """Run a node with two live executors, e0 and e1, that answer according to `script`; fails after 20 s.

    `lines` receives the lines of the node's log, and `config_fields` are further fields of its `NodeConfig`.
    """
    with trio.fail_after(_MAX_TEST_SECONDS):
        async with trio.open_nursery() as nursery:
            harness = NodeHarness(list(script), nursery)
            for name in ("e0", "e1"):
                await harness.start_executor(name)
            discovery = await harness.start_discovery()
            known = msgspec.convert(harness.endpoint_list(1, e0="active", e1="active"), DiscoveredList)
            config_fields = {"admin": ("127.0.0.1", 0), **config_fields}
            settings = parse_settings(given_settings)
            config = NodeConfig(
                "n0", ("127.0.0.1", 0), discovery, 7, sockets, known, settings, **config_fields
            )

            async def run(task_status: trio.TaskStatus[None]) -> None:
                # The node has its own nursery, which it cancels when it ends: that must not end the test.
                async with trio.open_nursery() as inner:
                    harness.node = Node(config, inner, EventLog("n0", _LogRecorder(lines)))  # type: ignore[arg-type]
                    harness.address = harness.components.server.address
                    harness.node.start()
                    task_status.started()
                harness.has_node_ended = True
                harness.notify()

            await nursery.start(run)
            yield harness
            nursery.cancel_scope.cancel()
