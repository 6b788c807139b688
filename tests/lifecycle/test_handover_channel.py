"""Tests failing peers on the handover channel: invalid messages, and predecessors that do not answer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from burlmoor.lifecycle.handover_channel import connect, listen
from burlmoor.lifecycle.handover_messages import Hello
from tests.support.admin_client import call_admin, get_readiness_status, submit_and_finish_job
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    "first_message",
    [
        b"",
        b"\x00garbage",
        msgspec.msgpack.encode(Hello(version=99)),
        msgspec.msgpack.encode({"type": "Later"}),
        b"x" * 200_000,
    ],
)
async def test_an_invalid_first_message_closes_only_the_channel(first_message: bytes, tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        descriptor = listener.dup().detach()
        async with open_node_harness(listener_fd=descriptor, state_folder=tmp_path) as harness:
            harness.address = listener.getsockname()
            socket_path = tmp_path / "n0.link"
            await harness.wait_until(socket_path.exists)
            for _ in range(2):
                peer = connect(socket_path)
                assert peer is not None
                if first_message:
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                    peer.send(first_message)
                    await trio.to_thread.run_sync(peer.recv, 100)  # returns when the node closes the channel
                peer.close()
            assert await submit_and_finish_job(harness, "a1") in ("e0", "e1")
            assert (await call_admin(harness, "/ready", method="GET"))[0] == 200


@pytest.mark.parametrize("predecessor", ["stale", "hangs", "gone"])
async def test_a_node_starts_alone_if_no_predecessor_answers(predecessor: str, tmp_path: Path) -> None:
    old = listen(tmp_path / "n0.link")
    if predecessor == "stale":
        old.close()
    else:
        old.setblocking(True)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        descriptor = listener.dup().detach()
        async with open_node_harness(listener_fd=descriptor, state_folder=tmp_path) as harness:
            harness.address = listener.getsockname()
            if predecessor == "gone":
                peer = await trio.to_thread.run_sync(lambda: old.accept()[0])
                peer.close()
            await harness.wait_until(lambda: harness.components.admin.is_serving)
            assert await get_readiness_status(harness) == 200
    old.close()
