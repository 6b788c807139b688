"""Responses to a client that does not read them."""

from __future__ import annotations

import socket
from contextlib import suppress

import trio

from burlmoor.counters import EventCounters
from burlmoor.downstream.accepted_socket import AcceptedSocket

SMALL_BUFFER_BYTES = 4096


async def test_one_task_writes_all_responses_that_a_client_does_not_read() -> None:
    # Guards against memory that grows by a task for each response that waits to be written.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        client.connect(listener.getsockname())
        client.settimeout(0.0)  # non-blocking
        sock = listener.accept()[0]
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    async with trio.open_nursery() as nursery:
        accepted = AcceptedSocket(sock, nursery, print, EventCounters(), age_seconds=0.0)
        while not accepted.stream.outbound:
            assert accepted.send(b"x" * 100)
        for _ in range(1000):
            assert accepted.send(b"y" * 100)
        assert len(nursery.child_tasks) == 1
        received = bytearray()
        with trio.fail_after(5.0):
            while received.count(b"y") < 100_000:
                with suppress(BlockingIOError):
                    received += client.recv(1 << 20)
                await trio.sleep(0.001)
    assert not accepted.stream.outbound
    client.close()
