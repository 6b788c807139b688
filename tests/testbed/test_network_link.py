"""Network links: delays, corrupted bytes, and which bytes sent before a reset arrive."""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio

from burlmoor.testbed.http_server import HttpServer
from burlmoor.testbed.http_stream import HttpStream, connect
from burlmoor.testbed.network_link import NetworkLink
from burlmoor.transport.address import parse_address

DELAY_SECONDS = 0.15
HANDSHAKE_SECONDS = 0.2
TIMEOUT_SECONDS = 10.0
RECEIVE_BYTES = 4096


class EchoLink(NamedTuple):
    """A link to a server that records what it receives and sends it back, and a client connected to it."""

    link: NetworkLink
    client: HttpStream
    received: list[bytes]


@pytest.fixture
async def echo_link(nursery: trio.Nursery) -> EchoLink:
    received: list[bytes] = []

    async def echo(stream: HttpStream) -> None:
        while data := await stream.socket_stream.receive_some(RECEIVE_BYTES):
            received.append(data)
            await stream.socket_stream.send_all(data)

    server = HttpServer(echo, nursery)
    link = NetworkLink(await server.open(), nursery)
    client = await connect(parse_address(await link.open()))
    return EchoLink(link, client, received)


async def exchange(client: HttpStream) -> bytes:
    await client.socket_stream.send_all(b"one")
    return bytes(await client.socket_stream.receive_some(RECEIVE_BYTES))


async def test_a_delayed_link_delays_both_directions_and_the_handshake(
    echo_link: EchoLink,
) -> None:
    link, client, _ = echo_link
    with trio.fail_after(TIMEOUT_SECONDS):
        start = trio.current_time()
        assert await exchange(client) == b"one"
        assert trio.current_time() - start < DELAY_SECONDS
        link.set_delay(DELAY_SECONDS)
        link.handshake_seconds = HANDSHAKE_SECONDS
        start = trio.current_time()
        assert await exchange(client) == b"one"
        assert 2 * DELAY_SECONDS <= trio.current_time() - start < 2 * DELAY_SECONDS + HANDSHAKE_SECONDS
        another = await connect(client.socket_stream.socket.getpeername())
        start = trio.current_time()
        assert await exchange(another) == b"one"
        assert trio.current_time() - start > 2 * DELAY_SECONDS + 0.9 * HANDSHAKE_SECONDS


async def test_a_reset_discards_only_bytes_held_back_by_a_cut_link(
    echo_link: EchoLink,
) -> None:
    link, client, received = echo_link
    with trio.fail_after(TIMEOUT_SECONDS):
        another = await connect(client.socket_stream.socket.getpeername())
        assert await exchange(another) == b"one"
        assert await exchange(client) == b"one"
        link.set_delay(DELAY_SECONDS)
        await client.socket_stream.send_all(b"two")
        await trio.sleep(0.05)
        client.reset()
        await trio.sleep(2 * DELAY_SECONDS)
        assert received == [b"one", b"one", b"two"]
        link.cut()
        await another.socket_stream.send_all(b"three")
        await trio.sleep(0.05)
        another.reset()
        await trio.sleep(2 * DELAY_SECONDS)
        link.heal()
        await trio.sleep(2 * DELAY_SECONDS)
        assert received == [b"one", b"one", b"two"]


async def test_a_corrupting_link_keeps_the_number_of_bytes(echo_link: EchoLink) -> None:
    link, client, received = echo_link
    with trio.fail_after(TIMEOUT_SECONDS):
        link.back.is_corrupted = True
        assert await exchange(client) == b"???"
        assert received == [b"one"]
