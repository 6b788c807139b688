"""Links between stand-ins: delays, spoilt bytes, and what a reset leaves of the bytes before it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from burlmoor.testbed.http_stream import HttpServer, HttpStream, connect
from burlmoor.testbed.network_link import NetworkLink
from burlmoor.transport.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DELAY_SECONDS = 0.15
HANDSHAKE_SECONDS = 0.2


def run_link(scenario: Callable[[NetworkLink, HttpStream, list[bytes]], Awaitable[None]]) -> None:
    """Run a scenario with a link to a server that keeps what it receives and sends it back."""

    async def run() -> None:
        received: list[bytes] = []

        async def echo(stream: HttpStream) -> None:
            while data := await stream.socket_stream.receive_some(4096):
                received.append(data)
                await stream.socket_stream.send_all(data)

        with trio.fail_after(10.0):
            async with trio.open_nursery() as nursery:
                server = HttpServer(echo, nursery)
                link = NetworkLink(await server.open(), nursery)
                client = await connect(parse_address(await link.open()))
                await scenario(link, client, received)
                nursery.cancel_scope.cancel()

    trio.run(run)


async def exchange(client: HttpStream) -> bytes:
    await client.socket_stream.send_all(b"one")
    return bytes(await client.socket_stream.receive_some(4096))


def test_a_slow_link_delays_each_direction_and_the_first_bytes_of_a_connection() -> None:
    async def scenario(link: NetworkLink, client: HttpStream, received: list[bytes]) -> None:
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

    run_link(scenario)


def test_what_was_in_transit_before_a_reset_arrives_and_what_a_cut_held_back_does_not() -> None:
    async def scenario(link: NetworkLink, client: HttpStream, received: list[bytes]) -> None:
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

    run_link(scenario)


def test_a_link_that_garbles_keeps_the_number_of_bytes() -> None:
    async def scenario(link: NetworkLink, client: HttpStream, received: list[bytes]) -> None:
        link.back.is_corrupted = True
        assert await exchange(client) == b"???"
        assert received == [b"one"]

    run_link(scenario)
