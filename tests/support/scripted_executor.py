"""An executor on a loopback socket that answers each job according to a script."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from burlmoor.testbed.http_stream import HttpMessage, HttpStream
    from tests.support.node_harness import NodeHarness

RESPONSES: dict[str, tuple[str, dict[str, Any]]] = {
    "take": ("HTTP/1.1 202 Accepted", {}),
    "full": ("HTTP/1.1 503 No", {"Not_Started": "1"}),
    "late": ("HTTP/1.1 504 No", {"Not_Started": "1"}),
    "503": ("HTTP/1.1 503 No", {}),
    "504": ("HTTP/1.1 504 No", {}),
    "500": ("HTTP/1.1 500 No", {}),
}


class ScriptedExecutor:
    """Serves the connections of one executor; all executors of a harness share its script.

    The script has an action for each job: a key of `RESPONSES`, `hang` (no response), `reset` (close),
    `early` (the result is sent before the 202), `stray` (a second response once the next job has arrived) or
    `bytes:DATA` (these bytes are sent; `|end` at the end of `DATA` closes the connection after them).
    """

    def __init__(self, harness: NodeHarness, name: str) -> None:
        self._harness = harness
        self._name = name

    async def serve(self, connection: HttpStream) -> None:
        """Answer the requests on one connection until either side closes it."""
        harness = self._harness
        harness.executor_connection_count += 1
        harness.executor_connections.append(connection)
        while (message := await connection.read()) is not None:
            if message.start_line.startswith("DELETE"):
                harness.cancelled_attempts.append((self._name, message.start_line.split()[1]))
                await connection.write("HTTP/1.1 204 Gone")
            elif message.start_line.startswith("GET"):
                await connection.write("HTTP/1.1 200 OK")
            elif not await self._on_job(connection, message):
                return
            harness.notify()
        harness.closed_by_node_count += 1
        harness.notify()

    async def _on_job(self, connection: HttpStream, message: HttpMessage) -> bool:
        """Answer a job according to the script; return False if that closed the connection."""
        harness = self._harness
        action = harness.executor_script.pop(0) if harness.executor_script else "take"
        harness.jobs.append((self._name, message))
        harness.notify()
        await self._send_second_response()
        if action.startswith("bytes:"):
            return await self._send_bytes(connection, action.removeprefix("bytes:"))
        if action == "reset":
            await connection.socket_stream.aclose()
            return False
        if action == "stray":
            harness.connection_for_second_response = connection
            action = "take"
        if action == "early":
            await harness.send_callback("done", "early")
            action = "take"
        if action != "hang":
            start, headers = RESPONSES[action]
            await connection.write(start, **headers)
        return True

    async def _send_second_response(self) -> None:
        """Answer the previous job a second time, now that the next one has arrived."""
        connection = self._harness.connection_for_second_response
        if connection is not None:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await connection.write("HTTP/1.1 503 No", Not_Started="1")
            self._harness.connection_for_second_response = None

    async def _send_bytes(self, connection: HttpStream, action: str) -> bool:
        data, _, then = action.partition("|")
        await connection.socket_stream.send_all(data.encode("latin-1"))
        if then == "end":
            await connection.socket_stream.aclose()
            return False
        return True
