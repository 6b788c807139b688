"""Tests the program as a process that is started as in production and stopped by a signal."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import trio

from tests.support.configuration import write_config
from tests.support.node_harness import NodeHarness
from tests.support.polling import poll_until
from tests.support.service_process import ROOT, find_free_address

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.http_stream import HttpStream


async def wait_for_readiness_status(harness: NodeHarness) -> int:
    """Wait until the node listens; return the status of GET /health/ready."""
    clients: list[HttpStream] = []

    async def connect() -> bool:
        try:
            clients.append(await harness.connect_client())
        except OSError:
            return False
        return True

    await poll_until(connect, interval_seconds=0.05)
    await clients[0].write("GET /health/ready HTTP/1.1", Host="node")
    return (await harness.read_response(clients[0])).status


async def test_a_process_reloads_on_sighup_and_finishes_open_jobs_on_sigterm(
    tmp_path: Path,
) -> None:
    async with trio.open_nursery() as nursery:
        harness = NodeHarness([], nursery)
        for name in ("e0", "e1"):
            await harness.start_executor(name)
        listen = find_free_address()
        environment = write_config(
            tmp_path,
            listen=listen,
            discovery=await harness.start_discovery(),
            known=harness.endpoint_list(3, e0="active", e1="active"),
        )
        host, _, port = listen.partition(":")
        harness.address = (host, int(port))
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "burlmoor"],
            env={**os.environ, **environment},
            cwd=str(ROOT),
            stderr=subprocess.PIPE,
        )

        async def is_unready() -> bool:
            return await wait_for_readiness_status(harness) != 200

        try:
            assert await wait_for_readiness_status(harness) == 200
            client = await harness.submit_job("once")
            await harness.wait_until(lambda: harness.jobs)
            assert await harness.send_callback("done", "served") == 204
            assert (await harness.read_response(client)).body == b"served"
            open_job = await harness.submit_job("once", "b2", 5000)
            await harness.wait_until(lambda: len(harness.jobs) == 2)
            call_count = len(harness.discovery_paths)
            write_config(tmp_path, listen=listen, discovery=await harness.start_discovery())
            process.send_signal(signal.SIGHUP)
            await harness.wait_until(lambda: len(harness.discovery_paths) > call_count)
            assert harness.discovery_paths[-1] == "/registry/instances"
            await harness.publish(4, e0="active", e1="active")
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            await poll_until(is_unready, interval_seconds=0.01)
            assert await harness.send_callback("done", "to the end") == 204
            answer = await harness.read_response(open_job)
            assert (answer.status, answer.body) == (200, b"to the end")
            with trio.fail_after(30.0):
                status = await process.wait()
        finally:
            process.kill()
        assert process.stderr is not None
        log = b""
        async for chunk in process.stderr:
            log += chunk
        nursery.cancel_scope.cancel()
    events = [json.loads(line)["event"] for line in log.splitlines()]
    assert status == 0
    assert sorted(events) == ["reloaded", "reloaded", "shutdown-finished", "shutdown-started", "started"]
