"""Tests that a long handover message arrives complete over a channel of datagrams."""

from __future__ import annotations

import socket

import msgspec
import trio

from burlmoor.admin.overrides import Overrides
from burlmoor.endpoints.discovered_list import DiscoveredList
from burlmoor.lifecycle.handover_channel import HandoverChannel
from burlmoor.lifecycle.handover_messages import Accepting, Snapshot
from burlmoor.lifecycle.handover_messages import Message as HandoverMessage
from burlmoor.policy.statistics.snapshot import StatisticsSnapshot


class MessageRecorder:
    """Records the messages received at one end of the channel; `Accepting` is the last one."""

    def __init__(self) -> None:
        self.received: list[HandoverMessage] = []
        self.is_complete = trio.Event()

    def on_message(
        self, channel: HandoverChannel, message: HandoverMessage, sock: socket.socket | None
    ) -> None:
        self.received.append(message)
        if isinstance(message, Accepting):
            self.is_complete.set()

    def on_channel_lost(self, channel: HandoverChannel) -> None: ...


async def test_a_snapshot_longer_than_a_datagram_arrives_complete() -> None:
    hosts = {
        "hosts": [
            {"host": f"executor-{number:06d}", "dial": f"127.0.0.1:{number + 1}"} for number in range(5000)
        ],
        "seq": 4,
    }
    snapshot = Snapshot(
        Overrides(), msgspec.convert(hosts, DiscoveredList), StatisticsSnapshot(), ["a"], 1, 2
    )

    async with trio.open_nursery() as nursery:
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sender_observer, receiver_observer = MessageRecorder(), MessageRecorder()
        channels = [
            HandoverChannel(sock, observer, nursery, print)
            for sock, observer in zip(ends, (sender_observer, receiver_observer), strict=True)
        ]
        nursery.start_soon(channels[1].run)
        assert channels[0].send(snapshot)
        assert channels[0].send(Accepting())
        with trio.fail_after(10.0):
            await receiver_observer.is_complete.wait()
        assert receiver_observer.received == [snapshot, Accepting()]
        for channel in channels:
            channel.close()
