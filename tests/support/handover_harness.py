"""Scripted peers of one node whose processes hand over to each other."""

from __future__ import annotations

import os
import socket
import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from tests.support.configuration import SETTINGS_OBJECT, write_config
from tests.support.node_harness import NodeHarness
from tests.support.service_process import ROOT, ServiceProcess, find_free_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

# A process can take several seconds to start on a slow machine. With the usual latency objectives, the node
# would reject the jobs that wait meanwhile.
_LONG_DEADLINE_SETTINGS = {
    **SETTINGS_OBJECT,
    "RequestClasses": [
        {**job_class, "Target": 20_000.0, "HardLimit": 30_000.0}
        for job_class in SETTINGS_OBJECT["RequestClasses"]
    ],
}


class HandoverHarness(NodeHarness):
    """Scripted peers of one node whose processes share the socket to which clients connect."""

    def __init__(self, nursery: trio.Nursery, shared_listener: socket.socket, folder: Path) -> None:
        super().__init__([], nursery)
        self.shared_listener = shared_listener
        self.folder = folder
        self.address = shared_listener.getsockname()
        self.environment: dict[str, str] = {}
        self.processes: list[trio.Process] = []

    async def start_process(self, **environment: str) -> ServiceProcess:
        """Start a process of the node, with these changes to its environment."""
        admin_address = find_free_address()
        descriptor = self.shared_listener.fileno()
        log_path = self.folder.parent / f"process-{len(self.processes)}.log"
        with log_path.open("wb") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "burlmoor"],
                env={
                    **os.environ,
                    **self.environment,
                    "TMPDIR": str(self.folder),
                    "RELAY_CONTROL": admin_address,
                    "RELAY_PASSED_SOCKET": str(descriptor),
                    **environment,
                },
                cwd=str(ROOT),
                pass_fds=[descriptor],
                stderr=log,
            )
        self.processes.append(process)
        return ServiceProcess(process, admin_address, log_path)


@asynccontextmanager
async def open_handover_harness(folder: Path) -> AsyncIterator[HandoverHarness]:
    """Open the peers of a node; the node's processes, which the test starts, are killed at the end."""
    shared_folder = folder / "shared"
    shared_folder.mkdir()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with trio.open_nursery() as nursery:
            harness = HandoverHarness(nursery, listener, shared_folder)
            for name in ("e0", "e1"):
                await harness.start_executor(name)
            host, port = listener.getsockname()
            harness.environment = write_config(
                folder,
                listen=f"{host}:{port}",
                discovery=await harness.start_discovery(),
                known=harness.endpoint_list(3, e0="active", e1="active"),
                settings=_LONG_DEADLINE_SETTINGS,
            )
            try:
                yield harness
            finally:
                for process in harness.processes:
                    process.kill()
            nursery.cancel_scope.cancel()


class RecordingProcess:
    """Stands in for the node's other process: records what the downstream server passes on to it."""

    def __init__(self, acknowledgements: list[bool] | None = None) -> None:
        self._acknowledgements = acknowledgements or []
        self.callbacks: list[bytes] = []
        self.connections: list[tuple[socket.socket, bool]] = []

    async def forward_callback(self, body: bytes) -> bool:
        self.callbacks.append(body)
        return self._acknowledgements[len(self.callbacks) - 1]

    def pass_connection(self, sock: socket.socket, *, has_been_used: bool, age_seconds: float) -> None:
        self.connections.append((sock, has_been_used))
