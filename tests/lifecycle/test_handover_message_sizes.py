"""Handover messages of any size over a channel of datagrams."""

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


class Receiver:
    """Records the messages of one end of the channel, until one says that the sender accepts clients."""

    def __init__(self) -> None:
        self.received: list[HandoverMessage] = []
        self.is_complete = trio.Event()

    def on_message(self, peer: HandoverChannel, message: HandoverMessage, sock: socket.socket | None) -> None:
        self.received.append(message)
        if isinstance(message, Accepting):
            self.is_complete.set()

    def on_channel_lost(self, peer: HandoverChannel) -> None: ...


async def test_a_handover_message_may_be_far_longer_than_a_datagram() -> None:
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
        here, there = Receiver(), Receiver()
        peers = [
            HandoverChannel(sock, side, nursery, print)
            for sock, side in zip(ends, (here, there), strict=True)
        ]
        nursery.start_soon(peers[1].run)
        assert peers[0].send(snapshot)
        assert peers[0].send(Accepting())
        with trio.fail_after(10.0):
            await there.is_complete.wait()
        assert there.received == [snapshot, Accepting()]
        for peer in peers:
            peer.close()
