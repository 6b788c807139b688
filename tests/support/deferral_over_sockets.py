"""Submits deferred jobs to a node over loopback sockets and waits for their states."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import trio

from burlmoor.config.options import DeferredOptions, Options
from burlmoor.testbed.node_process import send_http_request
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from burlmoor.testbed.http_stream import HttpStream
    from tests.support.node_harness import NodeHarness


@asynccontextmanager
async def open_deferring_node(sockets: int = 1024, **deferred_options: Any) -> AsyncIterator[NodeHarness]:
    """Open a harness whose node defers jobs."""
    options = Options(waiting=DeferredOptions(**{"unknown_timeout_ms": 300.0, **deferred_options}))
    async with open_node_harness(options=options, sockets=sockets) as harness:
        yield harness


async def submit_deferred(
    harness: NodeHarness,
    request_id: str,
    *after: str,
    connection: HttpStream | None = None,
    **header_fields: str,
) -> HttpStream:
    """Submit a job that runs after the jobs in `after`; return its connection.

    The job class is the header field `name`, which is sent as well; `once` if it is missing.
    """
    connection = connection or await harness.connect_client()
    harness.open_clients.append(connection)
    fields = {
        "Host": "svc",
        "Request_Id": request_id,
        "Request_Timeout_Ms": "8000",
        "Work_Hint": "90000",
        **header_fields,
    }
    if after:
        fields["Run_After"] = ", ".join(after)
    await connection.write(f"POST /{header_fields.pop('name', 'once')}/0f HTTP/1.1", b"work", **fields)
    return connection


async def wait_until_sent(harness: NodeHarness, *request_ids: str) -> None:
    """Wait until executors have received exactly these jobs, in this order."""
    await harness.wait_until(lambda: len(harness.jobs) >= len(request_ids))
    assert [message.headers["request-id"] for _, message in harness.jobs] == list(request_ids)


async def fetch_status(harness: NodeHarness) -> dict[str, Any]:
    """Return the status of the deferred jobs from the admin server."""
    assert harness.components.admin_server is not None
    response = await send_http_request(harness.components.admin_server.address, "GET", "/waiting")
    assert response.status == 200
    status: dict[str, Any] = json.loads(response.body)
    return status


async def wait_until_status(harness: NodeHarness, is_reached: Callable[[dict[str, Any]], bool]) -> None:
    """Poll the status until `is_reached` is true for it, 10 s at most."""
    with trio.fail_after(10.0):
        while not is_reached(await fetch_status(harness)):  # noqa: ASYNC110 - the status has no event
            await trio.sleep(0.02)


async def wait_until_deferred(harness: NodeHarness, count: int) -> None:
    """Wait until `count` jobs are deferred."""
    await wait_until_status(harness, lambda status: status["waiting"] == count)
