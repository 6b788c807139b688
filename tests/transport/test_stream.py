"""Streams over loopback sockets: what a stream knows of its peer."""

from __future__ import annotations

import socket
import struct

import pytest

from burlmoor.transport.stream import SocketStream

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.mark.parametrize("unread_bytes", [0, 100_000])
@pytest.mark.parametrize("how", ["closes", "resets", "shuts down"])
async def test_the_close_of_a_peer_is_noticed_behind_unread_bytes(unread_bytes: int, how: str) -> None:
    # Guards against acting for a peer that has left, because only a read shows the close.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        stream = SocketStream(listener.accept()[0], 16_384, 16_384)
    peer.sendall(b"x" * unread_bytes)
    assert not stream.has_peer_closed()
    if how == "shuts down":
        peer.shutdown(socket.SHUT_WR)
    elif how == "resets":
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if how != "shuts down":
        peer.close()
    assert stream.has_peer_closed()
    stream.close()
    peer.close()
    assert not stream.has_peer_closed()
