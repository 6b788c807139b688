"""The pool's count of open connections, if system calls fail."""

from __future__ import annotations

import errno
import os
import socket

import pytest

from burlmoor.transport.stream import SocketStream
from burlmoor.types.reasons import CloseReason
from burlmoor.upstream.pool import ConnectionPool

CLOSE_ERRORS = [errno.EIO, errno.EINTR, errno.ENOSPC, errno.EDQUOT]  # close(2), except for EBADF


class SocketWithFailingClose(socket.socket):
    """A socket whose descriptor is released, as on Linux, although `close` reports an error."""

    error_number = 0

    def close(self) -> None:
        super().close()
        raise OSError(self.error_number, os.strerror(self.error_number))


# Guards against connections that stay counted as open for good.
@pytest.mark.parametrize("error_number", CLOSE_ERRORS, ids=lambda number: errno.errorcode[number])
async def test_a_connection_whose_close_fails_is_not_counted(
    monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    monkeypatch.setattr(SocketWithFailingClose, "error_number", error_number)

    async def connect(_address: str, buffer_limit: int) -> SocketStream:
        return SocketStream(SocketWithFailingClose(), buffer_limit, buffer_limit)

    monkeypatch.setattr("burlmoor.upstream.pool.connect", connect)
    pool = ConnectionPool(1.0, 1.0, max_connections=1)
    for _ in range(2):
        connection = await pool.connect("127.0.0.1:1")
        connection.close(CloseReason.BROKEN)
    assert pool.open_count == 0
