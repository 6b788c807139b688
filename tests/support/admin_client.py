"""Calls a node's admin server and readiness path, and submits and finishes single jobs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import trio

from burlmoor.testbed.http_stream import HttpStream

if TYPE_CHECKING:
    from tests.support.node_harness import NodeHarness


async def call_admin(
    harness: NodeHarness, path: str, name: str = "", method: str = "POST"
) -> tuple[int, dict[str, Any]]:
    """Send one admin request; return the response's status and JSON body."""
    assert harness.components.admin_server is not None
    connection = HttpStream(await trio.open_tcp_stream(*harness.components.admin_server.address))
    body = json.dumps({"name": name}).encode() if name else b""
    await connection.write(f"{method} {path} HTTP/1.1", body, Host="node")
    response = await harness.read_response(connection)
    assert await connection.read() is None
    return response.status, json.loads(response.body)


async def submit_and_finish_job(harness: NodeHarness, request_id: str, job_class: str = "once") -> str:
    """Submit one job, report it as done, and check the answer; return its executor's name."""
    job_count = len(harness.jobs)
    connection = await harness.submit_job(job_class, request_id)
    await harness.wait_until(lambda: len(harness.jobs) > job_count)
    await harness.send_callback("done", "fine")
    assert (await harness.read_response(connection)).status == 200
    return harness.jobs[-1][0]


async def get_readiness_status(harness: NodeHarness) -> int:
    """Return the status of /health/ready."""
    connection = await harness.connect_client()
    await connection.write("GET /health/ready HTTP/1.1", Host="node")
    return (await harness.read_response(connection)).status
