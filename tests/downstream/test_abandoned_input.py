"""Clients that send more than one request needs, and leave before all of it is handled."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from tests.support.node_harness import open_node_harness
from tests.support.occupied_turn import occupy_turn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burlmoor.testbed.http_stream import HttpStream

HEAD = b"POST /lookup/0f HTTP/1.1\r\nHost: svc\r\nRequest-Id: %d\r\nRequest-Timeout-Ms: 3000\r\n"
FIELDS = b"a:b\r\n" * 2500
CALLBACK_BODY = b'{"id":"x","from":"e0","state":"done"}'
CALLBACK = b"POST /v1/job-events HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%b" % (
    len(CALLBACK_BODY),
    CALLBACK_BODY,
)
CALLBACK_COUNT = 100
INPUTS = {
    "an incomplete head": HEAD % 1 + FIELDS,
    "a complete head": HEAD % 2 + FIELDS + b"\r\n",
    "an incomplete body": HEAD % 3 + FIELDS + b"Content-Length: 60000\r\n\r\n" + b"x" * 30_000,
    "chunks": HEAD % 4 + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1000,
    "chunks beyond the buffer": HEAD % 5 + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000,
    "a call-back, then a job": CALLBACK + HEAD % 6 + FIELDS,
}
NOTICED_WITHIN_SECONDS = 0.5


async def shut_down_sending(client: HttpStream) -> None:
    await client.socket_stream.send_eof()


async def close(client: HttpStream) -> None:
    client.close()


async def reset(client: HttpStream) -> None:
    client.reset()


@pytest.mark.parametrize("sent", INPUTS.values(), ids=INPUTS)
@pytest.mark.parametrize("leave", [shut_down_sending, close, reset])
async def test_a_client_that_leaves_while_its_input_waits_for_a_turn_is_noticed(
    leave: Callable[[HttpStream], Awaitable[None]], sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against keeping the connections of clients that have left until their time limit.
    async with open_node_harness() as harness:
        connections = harness.components.server.connections
        occupying = await occupy_turn(harness, monkeypatch)
        client = await harness.connect_client()
        await client.socket_stream.send_all(sent)
        await harness.wait_until(lambda: len(connections) == 2)
        await leave(client)
        await trio.sleep(NOTICED_WITHIN_SECONDS)
        assert len(connections) == 1
        assert not harness.jobs
        occupying.close()


async def test_call_backs_of_an_executor_that_has_closed_its_side_are_all_handled() -> None:
    # Guards against dropping a result because its executor does not keep the connection open.
    async with open_node_harness() as harness:
        executor = await harness.connect_client()
        await executor.socket_stream.send_all(CALLBACK * CALLBACK_COUNT)
        await executor.socket_stream.send_eof()
        for _ in range(CALLBACK_COUNT):
            assert (await harness.read_response(executor)).status == 204
