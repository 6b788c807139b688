"""Runs a real node process on loopback: writes its files, starts and stops it, and reads its log."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import trio

from burlmoor.errors import BurlmoorError
from burlmoor.testbed.http_stream import HttpMessage, connect
from burlmoor.testbed.ports import reserve_free_port

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path

NODE_COMMAND = (sys.executable, "-m", "burlmoor")
_START_TIMEOUT_SECONDS = 30.0
_READY_POLL_SECONDS = 0.02
_STOP_TIMEOUT_SECONDS = 12.0
_RESPONSE_TIMEOUT_SECONDS = 5.0
_RANDOM_SEED = "5eed"
_MAX_SOCKETS = 4096
_CONFIG_VARIABLE_PREFIXES = ("RELAY_", "BURLMOOR_")


class NodeExitedError(BurlmoorError, RuntimeError):
    """A node's process exited before it was ready; `log` holds its events."""

    def __init__(self, name: str, status: int | None, log: list[dict[str, Any]]) -> None:
        super().__init__(f"node {name} exited with status {status} before it was ready; its log: {log}")
        self.name = name
        self.status = status
        self.log = log


class NoAnswerError(BurlmoorError, OSError):
    """The connection ended, or the time limit passed, before the response was complete."""

    def __init__(self, method: str, path: str, reason: str = "no complete response") -> None:
        super().__init__(f"{method} {path}: {reason}")
        self.method = method
        self.path = path


class NodeProcess:
    """A node's process with its files and its log; the folder is created if it is missing.

    `options_text` is the text of the options file; without it the node has no such file.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        *,
        options_text: str | None = None,
        command: Sequence[str] = NODE_COMMAND,
        extra_config: Mapping[str, object] | None = None,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.name = name
        self.address = ("127.0.0.1", reserve_free_port())
        self.admin_address = ("127.0.0.1", reserve_free_port())
        self.process: trio.Process | None = None
        self.log: list[dict[str, Any]] = []
        self.environment: dict[str, str] = {}
        self.command = list(command)
        self._options_text = options_text
        self._extra_config = extra_config or {}  # further fields of the configuration
        self._folder = folder

    async def start(
        self,
        nursery: trio.Nursery,
        settings: Mapping[str, object],
        discovery_address: str,
        cached_list: Mapping[str, object],
    ) -> None:
        """Write the files, start the process, and wait until it is ready.

        Raises:
            NodeExitedError: the process exited before it was ready.
            trio.TooSlowError: the node is not ready after 30 s.
        """
        self._write_config(settings, discovery_address, cached_list)
        environment = self._make_environment()
        self.process = await trio.lowlevel.open_process(
            self.command, env=environment, stderr=subprocess.PIPE, start_new_session=True
        )
        nursery.start_soon(self._read_log, self.process)
        with trio.fail_after(_START_TIMEOUT_SECONDS):
            while not await self._is_ready():
                if self.process.poll() is not None:
                    raise NodeExitedError(self.name, self.process.returncode, self.log)
                await trio.sleep(_READY_POLL_SECONDS)

    def _write_config(
        self, settings: Mapping[str, object], discovery_address: str, cached_list: Mapping[str, object]
    ) -> None:
        config = {
            "name": self.name,
            "listen": _format_address(self.address),
            "control": _format_address(self.admin_address),
            "discovery": discovery_address,
            "seed": _RANDOM_SEED,
            "settings": settings,
            "known": cached_list,
            "limits": {"sockets": _MAX_SOCKETS},
            **self._extra_config,
        }
        self._config_path.write_text(json.dumps(config))
        if self._options_text is not None:
            self._options_path.write_text(self._options_text)

    def _make_environment(self) -> dict[str, str]:
        environment = {
            **inherited_environment(),
            **self.environment,
            "RELAY_CONFIG": str(self._config_path),
            "TMPDIR": str(self._folder),
        }
        if self._options_text is not None:
            environment["BURLMOOR_OPTIONS"] = str(self._options_path)
        return environment

    @property
    def _config_path(self) -> Path:
        return self._folder / "config.json"

    @property
    def _options_path(self) -> Path:
        return self._folder / "options.ini"

    async def _is_ready(self) -> bool:
        try:
            response = await send_http_request(self.address, "GET", "/health/ready")
        except OSError:
            return False
        return response.status == HTTPStatus.OK

    async def _read_log(self, process: trio.Process) -> None:
        buffer = b""
        assert process.stderr is not None
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for chunk in process.stderr:
                *lines, buffer = (buffer + chunk).split(b"\n")
                self.log += [_parse_log_line(line) for line in lines]

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self.process is not None
        return self.process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self, timeout_seconds: float = _STOP_TIMEOUT_SECONDS) -> int:
        """Stop the process gracefully, kill it after the timeout, and return its exit status."""
        self.send_signal(signal.SIGTERM)
        assert self.process is not None
        with trio.move_on_after(timeout_seconds):
            return await self.process.wait()
        self.send_signal(signal.SIGKILL)
        return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process if it is still running, and wait until it has exited, even when cancelled."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            with trio.CancelScope(shield=True):
                await self.process.wait()


def inherited_environment() -> dict[str, str]:
    """Return the environment for a node's process, without the variables that would configure the node."""
    return {
        name: value for name, value in os.environ.items() if not name.startswith(_CONFIG_VARIABLE_PREFIXES)
    }


def _parse_log_line(line: bytes) -> dict[str, Any]:
    try:
        event: dict[str, Any] = json.loads(line)
    except ValueError:
        return {"event": "unreadable", "text": line.decode("utf-8", "replace")}
    return event


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def send_http_request(
    address: tuple[str, int], method: str, path: str, body: bytes = b""
) -> HttpMessage:
    """Send one request on a new connection and return the response.

    Raises:
        NoAnswerError: the connection ends, or 5 s pass, before the response is complete.
        OSError: the connection fails.
    """
    stream = await connect(address)
    try:
        await stream.write(f"{method} {path} HTTP/1.1", body, Host="node", Connection="close")
        with trio.move_on_after(_RESPONSE_TIMEOUT_SECONDS):
            response = await stream.read()
            if response is not None:
                return response
    except trio.BrokenResourceError as error:
        raise NoAnswerError(method, path, str(error)) from error
    finally:
        stream.close()
    raise NoAnswerError(method, path)
