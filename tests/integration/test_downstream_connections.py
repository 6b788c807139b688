"""Tests that invalid input and internal errors close only the connection on which they occur."""

from __future__ import annotations

from contextlib import suppress

import pytest
import trio

from tests.support.node_harness import open_node_harness

LONG_REQUEST = b"POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n"


async def test_invalid_input_closes_only_its_own_connection() -> None:
    async with open_node_harness() as harness:
        valid = await harness.submit_job()
        for data in (b"\x00\r\n\r\n", LONG_REQUEST + b"x" * 4_000_000):
            client = await harness.connect_client()
            await client.socket_stream.send_all(data)
            assert (await harness.read_response(client)).status in (400, 413)
            assert await client.read() is None
        # The second one is nested so deeply that the decoder raises an error of another type.
        deep = b'{"id":"a1","from":"e0","state":"done","x":%s%s}' % (b"[" * 30_000, b"]" * 30_000)
        for body in (b"{", deep):
            assert await harness.send_callback_body(body) == 400
        await harness.wait_until(lambda: harness.jobs)
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(valid)).body == b"fine"


LONG_REQUEST_HEAD = LONG_REQUEST.replace(b"70000", b"60000000")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", 0),
        (b"POST /lookup/0f HTT", 0),
        (LONG_REQUEST.replace(b"70000", b"9") + b"half", 0),
        (LONG_REQUEST_HEAD, 413),
    ],
)
async def test_incomplete_and_oversized_requests_end_within_a_time_limit(sent: bytes, status: int) -> None:
    async with open_node_harness() as harness:
        client = await harness.connect_client()
        started_at = trio.current_time()
        await client.socket_stream.send_all(sent)
        if status:
            # The client reads only after writing the whole body; a reset must not discard the response.
            for _ in range(60):
                await client.socket_stream.send_all(b"x" * 1_000_000)
            assert (await harness.read_response(client)).status == status
        assert await client.read() is None
        assert trio.current_time() - started_at < (6.0 if status else 3.0)


async def test_connection_closes_after_a_health_check_or_an_unknown_path() -> None:
    async with open_node_harness() as harness:
        for path, status in (("/health/ready", 200), ("/unknown", 404)):
            client = await harness.connect_client()
            await client.write(f"GET {path} HTTP/1.1", Host="node")
            assert (await harness.read_response(client)).status == status
            assert await client.read() is None


@pytest.mark.parametrize(
    "function", ["callbacks.handle_callback", "server.DownstreamConnection.serve_without_task"]
)
async def test_internal_error_closes_only_its_own_connection(
    function: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_node_harness() as harness:
        client = await harness.submit_job("once")
        await harness.wait_until(lambda: harness.jobs)
        with monkeypatch.context() as patch:
            patch.setattr(f"burlmoor.downstream.{function}", lambda *_: 1 / 0)
            broken = await harness.connect_client()
            with suppress(trio.BrokenResourceError):
                await broken.write("POST /v1/job-events HTTP/1.1", b"{}", Host="node")
            assert await broken.read() is None
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(client)).body == b"fine"
