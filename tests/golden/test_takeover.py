"""Tests the handover to and from a process of the release in production.

The scripted side sends the bytes that processes of 69d0f80 sent each other (`data/conversation/`); the other
side is a real process of this tree.
"""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import msgspec
import trio

from tests.support.handover_harness import HandoverHarness, open_handover_harness

CONVERSATION = Path(__file__).parent / "data" / "conversation"
LINK_NAME = "n1.link"
TIMEOUT_SECONDS = 30.0


def recorded(name: str) -> bytes:
    return (CONVERSATION / f"{name}.msgpack").read_bytes()


def shape(data: bytes) -> Any:
    """Return the keys of a message and the types of their values, as the other process decodes them."""

    def describe(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: describe(each) for key, each in value.items()}
        return type(value).__name__

    return describe(msgspec.msgpack.decode(data))


async def receive(sock: trio.socket.SocketType) -> bytes:
    with trio.fail_after(TIMEOUT_SECONDS):
        return await sock.recv(1 << 20)


async def connect(path: Path) -> trio.socket.SocketType:
    sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with trio.fail_after(TIMEOUT_SECONDS):
        while True:
            try:
                await sock.connect(str(path))
            except OSError:
                await trio.sleep(0.02)
            else:
                return sock


async def hand_over(harness: HandoverHarness) -> dict[str, bytes]:
    """Act as the successor of a real process; return the messages that the process sent."""
    process = await harness.start_process()
    await process.wait_ready()
    with await connect(harness.folder / LINK_NAME) as connection:
        await connection.send(recorded("hello"))
        snapshot = await receive(connection)
        await connection.send(recorded("accepting"))
        counts = await receive(connection)
    await process.wait_ready()  # its successor has disconnected, so it accepts clients again
    await process.stop()
    return {"snapshot": snapshot, "holds": counts}


async def take_over(harness: HandoverHarness) -> dict[str, bytes]:
    """Act as the predecessor of a real process; return the messages that the process sent."""
    with trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
        await listener.bind(str(harness.folder / LINK_NAME))
        listener.listen()
        process = await harness.start_process()
        with trio.fail_after(TIMEOUT_SECONDS):
            connection, _ = await listener.accept()
    with connection:
        hello = await receive(connection)
        await connection.send(recorded("snapshot"))
        accepting = await receive(connection)
        await connection.send(recorded("holds"))
        await process.wait_ready()
    await process.stop()
    return {"hello": hello, "accepting": accepting}


async def test_a_process_hands_over_to_a_process_of_the_production_release(tmp_path: Path) -> None:
    async with open_handover_harness(tmp_path) as harness:
        messages = await hand_over(harness)
    assert shape(messages["snapshot"]) == shape(recorded("snapshot"))
    assert messages["holds"] == recorded("holds")


async def test_a_process_takes_over_from_a_process_of_the_production_release(tmp_path: Path) -> None:
    async with open_handover_harness(tmp_path) as harness:
        messages = await take_over(harness)
    assert messages == {"hello": recorded("hello"), "accepting": recorded("accepting")}
