"""The HTTP state machine of an admin connection: which requests are parsed and which are rejected."""

from __future__ import annotations

import pytest

from burlmoor.admin.http import AdminConnection
from burlmoor.admin.requests import AdminPath, AdminRequest, AdminResponse


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", AdminRequest(AdminPath.READY)),
        (b"POST /drain HTTP/1.1\r\nHost: a\r\n\r\n", AdminRequest(AdminPath.DRAIN)),
        (b"GET /drain HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"POST /ready HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"\x00\r\n\r\n", 400),
        (b"POST /drain HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000, 413),
        (b"GET /" + b"x" * 9000, 431),
        (b"GET /ready HTTP/1.1\r\nHo", None),
    ],
)
def test_a_request_is_parsed_or_rejected_however_its_bytes_are_split(
    data: bytes, expected: AdminRequest | int | None
) -> None:
    for size in (1, 50, len(data)):
        connection = AdminConnection()
        result: AdminRequest | AdminResponse | None = None
        for start in range(0, len(data), size):
            result = connection.receive(data[start : start + size])
            if result is not None:
                break
        assert (result.status if isinstance(result, AdminResponse) else result) == expected
        if isinstance(result, AdminResponse):
            assert f"HTTP/1.1 {expected} ".encode() in connection.encode_response(result)


@pytest.mark.parametrize(
    ("body", "name"),
    [
        (b'{"name":"e0"}', "e0"),
        (b'{"name":"e0","why":1}', "e0"),
        (b"", None),
        (b"{", None),
        (b'{"name":7}', None),
        (b'{"id":"e0"}', None),
        (b'{"name":"\xff"}', None),
        (b"[" * 3000, None),
    ],
)
def test_an_executor_is_named_by_a_json_object(body: bytes, name: str | None) -> None:
    head = b"POST /executors/disable HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body)
    result = AdminConnection().receive(head + body)
    if name is None:
        assert isinstance(result, AdminResponse)
        assert result.status == 400
    else:
        assert result == AdminRequest(AdminPath.DISABLE_EXECUTOR, name)
