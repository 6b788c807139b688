"""A proxy in front of one executor whose connections may come up late."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Any

from standins_2.wire import HOST

_BACKLOG = 128
_POLL_SECONDS = 0.002
_COPY_BYTES = 65536


class LateProxy:
    """Passes connections on to an executor; while it is late, its accept queue is full, so none comes up.

    The kernel of a node repeats its request for a connection after 1 s. So a connection that is requested
    while the proxy is late comes up 1 s later, if the proxy is not late any more by then.
    """

    def __init__(self, executor_address: str) -> None:
        self._executor_address = executor_address
        self._listener = socket.socket()
        self._listener.bind((HOST, 0))
        self._listener.listen(_BACKLOG)
        self._listener.setblocking(False)  # noqa: FBT003 - a parameter of the standard library
        self._filler: socket.socket | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """The address at which the executor is listed."""
        return f"{HOST}:{self._listener.getsockname()[1]}"

    def become_late(self) -> None:
        """Accept no connection, and fill the accept queue with one of this process."""
        self._listener.listen(0)  # from now on, one connection that is not accepted fills the queue
        self._filler = socket.create_connection(self._listener.getsockname())

    def accept_again(self) -> None:
        """Accept connections again."""
        if self._filler is not None:
            self._listener.listen(_BACKLOG)
            self._filler.close()
            self._filler = None

    def start(self) -> None:
        """Begin to accept connections."""
        self._spawn(self._accept_all())

    def close(self) -> None:
        """End all connections, and refuse new ones."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    def _spawn(self, coroutine: Any) -> None:  # noqa: ANN401
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept_all(self) -> None:
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            while self._filler is None:
                try:
                    connection, _ = self._listener.accept()
                except BlockingIOError:
                    break
                self._spawn(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        host, _, port = self._executor_address.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(_copy(reader, far_writer))
                group.create_task(_copy(far_reader, writer))
        finally:
            writer.close()
            far_writer.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes in one direction until its end."""
    with suppress(OSError):
        while data := await reader.read(_COPY_BYTES):
            writer.write(data)
            await writer.drain()
    with suppress(OSError):
        writer.close()
