"""The HTTP state machine of upstream connections: complete responses, broken ones and reuse."""

from __future__ import annotations

import pytest

from burlmoor.upstream.errors import BrokenResponseError
from burlmoor.upstream.http import HttpClientConnection, Response


def connection_after_request() -> HttpClientConnection:
    http = HttpClientConnection("127.0.0.1:1", 1000)
    data = http.encode_request(b"POST", b"/lookup/1?x=2", [("Request-Id", "a1")], b"body")
    assert data.startswith(b"POST /lookup/1?x=2 HTTP/1.1\r\n")
    assert data.endswith(b"\r\n\r\nbody")
    return http


def receive_in_steps(http: HttpClientConnection, data: bytes, step: int) -> Response | None:
    response = None
    for start in range(0, len(data), step):
        assert response is None
        response = http.receive(data[start : start + step])
    return response


def receive_to_the_end(http: HttpClientConnection, data: bytes) -> None:
    """Receive the bytes, then the end of the connection."""
    if data:
        http.receive(data)
    http.receive(b"")


@pytest.mark.parametrize("step", [1, 1000])
@pytest.mark.parametrize(
    ("data", "status", "body", "is_reusable"),
    [
        (b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", 202, b"", True),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 A\r\nContent-Length: 2\r\n\r\nok", 202, b"ok", True),
        (b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 503, b"", False),
        (b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", 500, b"no", True),
    ],
)  # fmt: skip
def test_a_complete_response_is_read(
    step: int, data: bytes, status: int, body: bytes, *, is_reusable: bool
) -> None:
    http = connection_after_request()
    response = receive_in_steps(http, data, step)
    assert response is not None
    assert (response.status, response.body) == (status, body)
    assert http.prepare_next_request() == is_reusable


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 202 Acc",
        b"HTTP/1.1 202 A\r\nContent-Length: 5\r\n\r\nab",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 A\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000,
    ],
)
def test_a_broken_response_raises_an_error(data: bytes) -> None:
    http = connection_after_request()
    with pytest.raises(BrokenResponseError):
        receive_to_the_end(http, data)


def test_a_response_in_chunks_of_one_byte_is_parsed_in_portions() -> None:
    # Guards against a response that occupies the event loop: each chunk costs as much as a large one.
    http = connection_after_request()
    chunks = b"1\r\nx\r\n" * 900
    response = http.receive(b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
    portion_count = 1
    while response is None:
        assert http.has_unparsed_input
        response = http.parse_portion()
        portion_count += 1
    assert response.body == b"x" * 900
    assert portion_count > 900 / 64
    assert http.prepare_next_request()
