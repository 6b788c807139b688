"""The listener's state machine: bytes in, requests and answers out."""

from __future__ import annotations

import pytest

from burlmoor.downstream.http import HttpServerConnection
from burlmoor.downstream.requests import (
    InvalidRequest,
    JobCallback,
    JobSubmission,
    ParsedRequest,
    ReadinessCheck,
)

JOB = (
    b"POST /lookup/00ff?x=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 9b1f\r\nTenant: acme\r\n"
    b"Request-Timeout-Ms: 480\r\nWork-Hint: 12500\r\nRequest-Info: slots=2\r\nContent-Length: 4\r\n\r\nbody"
)
KEY = b"Idempotency-Key: 5c0f\r\n"


def connection() -> HttpServerConnection:
    return HttpServerConnection(["lookup", "once", "keyed"], classes_requiring_key=["keyed"])


def fed(data: bytes, step: int = 1 << 20) -> tuple[HttpServerConnection, ParsedRequest | None]:
    http, asked = connection(), None
    for at in range(0, len(data), step):
        assert asked is None
        asked = http.receive_data(data[at : at + step])
    return http, asked


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
def test_a_job_is_read_whole_however_it_is_cut(step: int) -> None:
    http, asked = fed(JOB, step)
    assert isinstance(asked, JobSubmission)
    assert (asked.request_id, asked.payload.path, asked.payload.body) == (
        "9b1f",
        b"/lookup/00ff?x=1",
        b"body",
    )
    request = asked.request
    assert (request.job_class, request.timeout_ms, request.work_ms, request.slots) == (
        "lookup",
        480.0,
        12.5,
        2.0,
    )
    assert (request.tenant, request.affinity_key) == ("acme", "00ff")
    assert http.encode_response(200, b"done").endswith(b"\r\n\r\ndone")
    assert http.is_idle
    assert not http.is_closing


@pytest.mark.parametrize("name", [b"keyed", b"lookup"])
def test_a_key_is_kept_for_the_executor_whatever_the_class(name: bytes) -> None:
    _, asked = fed(JOB.replace(b"lookup", name).replace(b"Tenant", KEY + b"Tenant"))
    assert isinstance(asked, JobSubmission)
    assert asked.payload.idempotency_key == "5c0f"


def test_pipelined_requests_wait_for_their_turn() -> None:
    http, first = fed(JOB + JOB.replace(b"9b1f", b"77aa") + b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    assert isinstance(first, JobSubmission)
    assert http.has_open_request
    http.encode_response(200)
    second = http.receive_data(b"")
    assert isinstance(second, JobSubmission)
    assert second.request_id == "77aa"
    http.encode_response(503)
    assert isinstance(http.receive_data(b""), ReadinessCheck)


def test_a_call_back_closes_where_its_sender_asks() -> None:
    http, asked = fed(
        b"POST /v1/job-events HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
    )
    assert asked == JobCallback(b"{}")
    assert b" 204 " in http.encode_response(204)
    assert http.is_closing
    assert not http.may_have_unread_input


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (JOB.replace(b"Request-Id: 9b1f\r\n", b""), 400),
        (JOB.replace(b"9b1f", b"../x"), 400),
        (JOB.replace(b"Tenant: acme", b"Request-Id: 77aa"), 400),
        (JOB.replace(b"/lookup/", b"/keyed/"), 400),
        (JOB.replace(b"Tenant: acme", KEY + b"Idempotency-Key: 5c0g"), 400),
        (JOB.replace(b"Tenant: acme", b"Idempotency-Key:"), 400),
        (JOB.replace(b"Tenant: acme", b"Idempotency-Key: " + b"5" * 256), 400),
        (JOB.replace(b"Tenant: acme", b"Idempotency-Key: " + b"5" * 65536), 400),
        (JOB.replace(b"Tenant: acme", b"Idempotency-Key: 5c\x010f"), 400),
        (JOB.replace(b"Tenant: acme", b"Idempotency-Key: 5c\xe90f"), 400),
        (JOB.replace(b"480", b"soon"), 400),
        (JOB.replace(b"480", b"0"), 400),
        (JOB.replace(b"480", b"-5"), 400),
        (JOB.replace(b"12500", b"much"), 400),
        (JOB.replace(b"slots=2", b"slots"), 400),
        (JOB.replace(b"slots=2", b"slots=nan"), 400),
        (JOB.replace(b"slots=2", b"slots=0"), 400),
        (JOB.replace(b"slots=2", b"slots=999999999"), 400),
        (JOB.replace(b"slots=2", b"slots=2\x1d"), 400),
        (JOB.replace(b"POST", b"HEAD"), 405),
        (JOB.replace(b"lookup", b"unknown"), 404),
        (JOB.replace(b"/lookup/", b"/"), 404),
        (JOB.replace(b"POST", b"PUT"), 405),
        (b"GET /v1/job-events HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (JOB.replace(b"Length: 4", b"Length: 65537"), 413),
        (JOB.replace(b"Content-Length: 4\r\n\r\nbody", b"Transfer-Encoding: chunked\r\n\r\n") +
         b"8000\r\n" + b"x" * 0x8000 + b"\r\n8001\r\n" + b"x" * 0x8001, 413),
        (JOB.replace(b"Length: 4", b"Length: four"), 400),
        (JOB.replace(b"Length: 4\r\n\r\nbody", b"Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") +
         JOB, 400),
        (JOB.replace(b"Host: origin.svc\r\n", b""), 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        (b"GET /" + b"x" * 20_000, 431),
        (b"\xa4" * 10_000 + b"\r\n\r\n", 400),
    ],
)  # fmt: skip
def test_bad_input_is_rejected_and_costs_its_connection(data: bytes, status: int) -> None:
    http, asked = fed(data)
    assert isinstance(asked, InvalidRequest)
    assert asked.status == status
    assert len(asked.reason) <= 100
    assert http.encode_response(status, asked.reason.encode()).startswith(b"HTTP/1.1 %d " % status)
    assert http.is_closing
