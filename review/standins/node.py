"""A node as a separate process, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import tempfile
import tomllib
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins.http import call, encode_request

if TYPE_CHECKING:
    import signal

    from standins.discovery import Discovery
    from standins.record import Record

_ROOT = Path(__file__).resolve().parents[2]
_HOST = "127.0.0.4"
_READY_TIMEOUT_SECONDS = 30.0
_READY_POLL_SECONDS = 0.05
_EXIT_TIMEOUT_SECONDS = 5.0
_READINESS_CHECK = encode_request("GET", "/health/ready", {"Host": "node"})


class NodeNotReadyError(RuntimeError):
    """The node did not become ready in time, or its process ended."""

    def __init__(self) -> None:
        super().__init__(f"the node is not ready after {_READY_TIMEOUT_SECONDS} s, or has ended")


class Node:
    """One node; `folder` is empty and takes its configuration, its log and its `$TMPDIR`."""

    def __init__(self, record: Record, discovery: Discovery, folder: Path) -> None:
        self.address = (_HOST, _find_free_port())
        self._record = record
        self._discovery = discovery
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self, settings: dict[str, Any], known: dict[str, Any], sockets: int = 1024) -> float:
        """Start the process with this list as the known one, and wait until the node is ready.

        Returns when the process was started, in seconds since the run began.
        """
        host, port = self.address
        discovery_host, discovery_port = self._discovery.address
        config = {
            "name": "n0",
            "listen": f"{host}:{port}",
            "discovery": f"{discovery_host}:{discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known,
            "settings": settings,
        }
        (self._folder / "config.json").write_text(json.dumps(config))
        started_at = self._start_process(config["listen"], config["discovery"])
        await self._wait_until_ready()
        return started_at

    def _start_process(self, listen: str, discovery: str) -> float:
        environment = {
            "PATH": os.environ["PATH"],
            "RELAY_CONFIG": str(self._folder / "config.json"),
            "RELAY_DISCOVERY": discovery,
            "RELAY_LISTEN": listen,
            "RELAY_NAME": "n0",
            "TMPDIR": tempfile.mkdtemp(dir=self._folder),
        }
        command = tomllib.loads((_ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=_ROOT, env=environment, stdout=log, stderr=log
            )
        return self._record.write(f"node: process {self._process.pid} started: {command}")

    async def _wait_until_ready(self) -> None:
        deadline = self._record.now() + _READY_TIMEOUT_SECONDS
        while self._record.now() < deadline and self._is_running():
            response = await call(self.address, _READINESS_CHECK)
            if response is not None and response.status == HTTPStatus.OK:
                self._record.write("node: ready")
                return
            await asyncio.sleep(_READY_POLL_SECONDS)
        raise NodeNotReadyError

    async def is_ready(self) -> bool:
        """Return whether the node answers the front's check with 200."""
        response = await call(self.address, _READINESS_CHECK)
        return response is not None and response.status == HTTPStatus.OK

    def _is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> float:
        """Send a signal to the process; return when, in seconds since the run began."""
        assert self._process is not None
        self._process.send_signal(number)
        return self._record.write(f"node: {number.name}")

    def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self._process is not None and self._is_running():
            self._process.kill()
            self._process.wait(_EXIT_TIMEOUT_SECONDS)
            self._record.write("node: SIGKILL")


def _find_free_port() -> int:
    with socket.socket() as sock:
        sock.bind((_HOST, 0))
        return int(sock.getsockname()[1])
