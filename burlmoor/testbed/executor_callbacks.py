"""The call-backs by which a stand-in executor reports the progress of jobs to their nodes."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import trio

from burlmoor.testbed.http_stream import connect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burlmoor.testbed.messages import JobEvent

_MAX_TRIES = 10
_RETRY_DELAY_SECONDS = 0.2
_TRY_TIMEOUT_SECONDS = 1.0


class CallbackSender:
    """Sends call-backs in the background, each until its node acknowledges it or `_MAX_TRIES` fail.

    `wait_until_resumed` blocks while the executor is stalled.
    """

    def __init__(self, nursery: trio.Nursery, wait_until_resumed: Callable[[], Awaitable[None]]) -> None:
        self._nursery = nursery
        self._wait_until_resumed = wait_until_resumed
        self._addresses: dict[str, tuple[str, int]] = {}

    def set_address(self, node: str, address: tuple[str, int]) -> None:
        """Set the address at which a node takes call-backs."""
        self._addresses[node] = address

    def send(self, node: str, event: JobEvent) -> None:
        """Send an event to a node; failed tries are repeated."""
        self._nursery.start_soon(self._send, node, msgspec.json.encode(event))

    async def _send(self, node: str, body: bytes) -> None:
        for _ in range(_MAX_TRIES):
            await self._wait_until_resumed()
            with suppress(OSError, trio.TooSlowError, trio.BrokenResourceError):
                with trio.fail_after(_TRY_TIMEOUT_SECONDS):
                    status = await self._post(node, body)
                if status in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
                    return
            await trio.sleep(_RETRY_DELAY_SECONDS)

    async def _post(self, node: str, body: bytes) -> int | None:
        """Post an event; return the response's status, or None if the connection ends without one."""
        stream = await connect(self._addresses[node])
        try:
            await stream.write("POST /v1/job-events HTTP/1.1", body, Host="node", Connection="close")
            response = await stream.read()
        finally:
            with suppress(OSError):
                stream.close()
        return None if response is None else response.status
