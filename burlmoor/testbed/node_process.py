"""A real node process on loopback: started with its files, watched, stopped or killed by its id."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import trio

from burlmoor.testbed.http_stream import HttpMessage, connect

_READY_WITHIN = 30.0


def free_port() -> int:
    """A port of 127.0.0.1 that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class NodeProcess:
    """Owns one node's files and its process."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self._folder = name, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.address = ("127.0.0.1", free_port())
        self.admin_address = ("127.0.0.1", free_port())
        self.process: trio.Process | None = None
        self.log: list[dict[str, Any]] = []
        self.environment: dict[str, str] = {}
        self.command = [sys.executable, "-m", "burlmoor"]
        self.options_text: str | None = None
        self.extra_config: dict[str, Any] = {}  # further fields of the configuration

    async def start(
        self, nursery: trio.Nursery, settings: dict[str, Any], discovery: str, known: Any
    ) -> None:
        """Write the files, start the process, and wait until it takes jobs."""
        given = {
            "name": self.name, "listen": _written(self.address), "control": _written(self.admin_address),
            "discovery": discovery, "seed": "5eed", "settings": settings, "known": known,
            "limits": {"sockets": 4096}, **self.extra_config,
        }  # fmt: skip
        path = self._folder / "config.json"
        path.write_text(json.dumps(given))
        environment = {
            **inherited_environment(),
            **self.environment,
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(self._folder),
        }
        if self.options_text is not None:
            (self._folder / "options.ini").write_text(self.options_text)
            environment["BURLMOOR_OPTIONS"] = str(self._folder / "options.ini")
        self.process = await trio.lowlevel.open_process(
            self.command, env=environment, stderr=subprocess.PIPE, start_new_session=True
        )
        nursery.start_soon(self._read_log, self.process)
        with trio.fail_after(_READY_WITHIN):
            while not await self._ready():
                if self.process.poll() is not None:
                    raise RuntimeError(f"node {self.name} ended: {self.process.returncode}, {self.log}")
                await trio.sleep(0.02)

    async def _ready(self) -> bool:
        try:
            return (await send_http_request(self.address, "GET", "/health/ready")).status == 200
        except OSError:
            return False

    async def _read_log(self, process: trio.Process) -> None:
        buffer = b""
        assert process.stderr is not None
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for chunk in process.stderr:
                *lines, buffer = (buffer + chunk).split(b"\n")
                for line in lines:
                    try:
                        self.log.append(json.loads(line))
                    except ValueError:
                        self.log.append({"event": "unreadable", "text": line.decode("utf-8", "replace")})

    @property
    def pid(self) -> int:
        """The process's id."""
        assert self.process is not None
        return self.process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self, within: float = 12.0) -> int:
        """SIGTERM, and its exit status; SIGKILL where it does not end in time."""
        self.send_signal(signal.SIGTERM)
        assert self.process is not None
        with trio.move_on_after(within):
            return await self.process.wait()
        self.send_signal(signal.SIGKILL)
        return await self.process.wait()

    async def kill(self) -> None:
        """End the process whatever it does."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            with trio.CancelScope(shield=True):
                await self.process.wait()


def inherited_environment() -> dict[str, str]:
    """What a node's process takes over of this one's environment: nothing that would set it up."""
    return {key: text for key, text in os.environ.items() if not key.startswith(("RELAY_", "BURLMOOR_"))}


def _written(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def send_http_request(
    address: tuple[str, int], method: str, path: str, body: bytes = b""
) -> HttpMessage:
    """One call on a connection of its own; OSError where no answer comes."""
    wire = await connect(address)
    try:
        await wire.write(f"{method} {path} HTTP/1.1", body, Host="node", Connection="close")
        with trio.move_on_after(5.0):
            answer = await wire.read()
            if answer is not None:
                return answer
    except trio.BrokenResourceError as error:
        raise OSError(str(error)) from error
    finally:
        wire.socket_stream.socket.close()
    raise OSError("no answer")
