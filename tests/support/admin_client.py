"""Calls to a node's admin server and readiness path, and one job served from start to end."""

from __future__ import annotations

import json
from typing import Any

import trio

from burlmoor.testbed.http_stream import HttpStream
from tests.support.node_harness import NodeHarness


async def call_admin(
    made: NodeHarness, path: str, name: str = "", method: str = "POST"
) -> tuple[int, dict[str, Any]]:
    """Make one admin call; the response's status and JSON body."""
    assert made.node.admin_server is not None
    wire = HttpStream(await trio.open_tcp_stream(*made.node.admin_server.address))
    body = json.dumps({"name": name}).encode() if name else b""
    await wire.write(f"{method} {path} HTTP/1.1", body, Host="node")
    answer = await made.read_response(wire)
    assert await wire.read() is None
    return answer.status, json.loads(answer.body)


async def serve_job(made: NodeHarness, ref: str, name: str = "once") -> str:
    """Have one job served; the executor that it went to."""
    jobs = len(made.jobs)
    wire = await made.submit_job(name, ref)
    await made.wait_until(lambda: len(made.jobs) > jobs)
    await made.send_callback("done", "fine")
    assert (await made.read_response(wire)).status == 200
    return made.jobs[-1][0]


async def get_readiness_status(made: NodeHarness) -> int:
    """The status of /health/ready."""
    wire = await made.connect_client()
    await wire.write("GET /health/ready HTTP/1.1", Host="node")
    return (await made.read_response(wire)).status
