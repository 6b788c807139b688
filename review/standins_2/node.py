"""Starts a node with the command of the deploy file, and ends it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins_2.wire import HOST, encode_request, exchange

if TYPE_CHECKING:
    from collections.abc import Mapping

ROOT = Path(__file__).parents[2]
_START_SECONDS = 30.0
_STOP_SECONDS = 6.0
_POLL_SECONDS = 0.05


class CaseError(RuntimeError):
    """The case can't run."""


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Node:
    """One node process; its files and its log are in `folder`."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.address = f"{HOST}:{free_port()}"
        self._folder = folder / name
        self._folder.mkdir()
        (self._folder / "tmp").mkdir()
        self._process: asyncio.subprocess.Process | None = None

    async def start(
        self, settings: Mapping[str, Any], discovery_address: str, known: Mapping[str, Any]
    ) -> None:
        """Start the process, and wait until it is ready.

        Raises:
            CaseError: it is not ready in time, or has ended.
        """
        config = {
            "name": self.name, "listen": self.address, "discovery": discovery_address, "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings,
        }  # fmt: skip
        config_path = self._folder / "config.json"
        config_path.write_text(json.dumps(config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "BURL"))},
            "RELAY_CONFIG": str(config_path), "RELAY_NAME": self.name, "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": discovery_address, "TMPDIR": str(self._folder / "tmp"),
        }  # fmt: skip
        with (self._folder / "log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        with suppress(TimeoutError):
            async with asyncio.timeout(_START_SECONDS):
                while self._process.returncode is None:
                    if await self._is_ready():
                        return
                    await asyncio.sleep(_POLL_SECONDS)
        message = f"node {self.name} is not ready: {self.log_text()[-500:]}"
        raise CaseError(message)

    async def _is_ready(self) -> bool:
        with suppress(OSError):
            response = await exchange(self.address, encode_request("GET", "/health/ready", {}))
            return response.first_line[1] == "200"
        return False

    def log_text(self) -> str:
        """Return what the process has logged."""
        return (self._folder / "log").read_text(errors="replace")

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def stop(self) -> None:
        """End the process, by force if it does not end in time."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            async with asyncio.timeout(_STOP_SECONDS):
                await self._process.wait()
                return
        self._process.kill()
        await self._process.wait()
