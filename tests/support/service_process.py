"""Real processes of a node, started as in production."""

from __future__ import annotations

import signal
from pathlib import Path

import msgspec
import trio

from burlmoor.testbed.http_stream import HttpMessage, HttpStream
from burlmoor.testbed.ports import reserve_free_port
from tests.support.polling import TIMEOUT_SECONDS, poll_until

ROOT = Path(__file__).parents[2]


def find_free_address() -> str:
    """Return an address of this host at which nothing listens, as `host:port`."""
    return f"127.0.0.1:{reserve_free_port()}"


class ServiceProcess:
    """One real process of a node, and its admin address."""

    def __init__(self, process: trio.Process, admin_address: str, log_path: Path) -> None:
        self.process = process
        self.admin_address = admin_address
        self._log_path = log_path

    async def call(self, path: str, name: str = "") -> HttpMessage:
        """Make one admin call, once the process listens."""
        method = "GET" if path == "/ready" else "POST"
        body = msgspec.json.encode({"name": name}) if name else b""
        connection = HttpStream(await self._connect())
        with trio.fail_after(TIMEOUT_SECONDS):
            await connection.write(f"{method} {path} HTTP/1.1", body, Host="node")
            response = await connection.read()
        assert response is not None
        return response

    async def _connect(self) -> trio.SocketStream:
        host, _, port = self.admin_address.partition(":")
        streams: list[trio.SocketStream] = []

        async def connect() -> bool:
            assert self.process.returncode is None, self._log_path.read_text()
            try:
                streams.append(await trio.open_tcp_stream(host, int(port)))
            except OSError:
                return False
            return True

        await poll_until(connect)
        return streams[0]

    async def wait_ready(self) -> None:
        """Wait until its admin server reports that it is ready."""

        async def is_ready() -> bool:
            return (await self.call("/ready")).status == 200

        await poll_until(is_ready)

    async def stop(self) -> None:
        """Stop it with SIGTERM, as the platform does, and check that it exits with status 0."""
        self.process.send_signal(signal.SIGTERM)
        with trio.fail_after(TIMEOUT_SECONDS):
            assert await self.process.wait() == 0
