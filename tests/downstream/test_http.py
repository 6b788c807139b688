"""Parsing of requests and encoding of responses by the HTTP state machine, without sockets."""

from __future__ import annotations

import tracemalloc
from http import HTTPStatus

import pytest

from burlmoor.downstream.http import HttpServerConnection
from burlmoor.downstream.job_headers import JobSubmissionParser
from burlmoor.downstream.requests import (
    InvalidRequest,
    JobCallback,
    JobSubmission,
    ParsedRequest,
    ReadinessCheck,
)
from burlmoor.downstream.responses import Response
from burlmoor.lifecycle.connection_limits import divide_descriptors

JOB = (
    b"POST /lookup/00ff?x=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 9b1f\r\nTenant: acme\r\n"
    b"Request-Timeout-Ms: 480\r\nWork-Hint: 12500\r\nRequest-Info: slots=2\r\nContent-Length: 4\r\n\r\nbody"
)
KEY = b"Idempotency-Key: 5c0f\r\n"


def build_connection() -> HttpServerConnection:
    parser = JobSubmissionParser(["lookup", "once", "keyed"], classes_requiring_key=["keyed"])
    return HttpServerConnection(parser)


def parse(data: bytes, chunk_bytes: int = 1 << 20) -> tuple[HttpServerConnection, ParsedRequest | None]:
    """Feed bytes in chunks to a new connection; return it and the request that the last chunk completes."""
    http = build_connection()
    parsed = None
    for start in range(0, len(data), chunk_bytes):
        assert parsed is None
        parsed = http.receive_data(data[start : start + chunk_bytes])
    return http, parsed


@pytest.mark.parametrize("chunk_bytes", [1, 7, 1 << 20])
def test_a_job_is_parsed_from_chunks_of_any_size(chunk_bytes: int) -> None:
    http, request = parse(JOB, chunk_bytes)
    assert isinstance(request, JobSubmission)
    assert (request.request_id, request.payload.path, request.payload.body) == (
        "9b1f",
        b"/lookup/00ff?x=1",
        b"body",
    )
    job = request.request
    assert (job.job_class, job.timeout_ms, job.work_ms, job.slots) == (
        "lookup",
        480.0,
        12.5,
        2.0,
    )
    assert (job.tenant, job.affinity_key) == ("acme", "00ff")
    assert http.encode_response(Response(HTTPStatus.OK, b"done")).endswith(b"\r\n\r\ndone")
    assert http.is_idle
    assert not http.is_closing


@pytest.mark.parametrize("job_class", [b"keyed", b"lookup"])
def test_an_idempotency_key_is_passed_on_for_any_class(job_class: bytes) -> None:
    _, request = parse(JOB.replace(b"lookup", job_class).replace(b"Tenant", KEY + b"Tenant"))
    assert isinstance(request, JobSubmission)
    assert request.payload.idempotency_key == "5c0f"


def test_pipelined_requests_are_parsed_one_at_a_time() -> None:
    http, first = parse(
        JOB + JOB.replace(b"9b1f", b"77aa") + b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
    )
    assert isinstance(first, JobSubmission)
    assert http.has_open_request
    http.encode_response(Response(HTTPStatus.OK))
    second = http.receive_data(b"")
    assert isinstance(second, JobSubmission)
    assert second.request_id == "77aa"
    http.encode_response(Response(HTTPStatus.SERVICE_UNAVAILABLE))
    assert isinstance(http.receive_data(b""), ReadinessCheck)


def test_connection_close_in_a_callback_is_honoured() -> None:
    http, request = parse(
        b"POST /v1/job-events HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
    )
    assert request == JobCallback(b"{}")
    assert b" 204 " in http.encode_response(Response(HTTPStatus.NO_CONTENT))
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
def test_invalid_input_is_rejected_and_its_connection_closed(data: bytes, status: int) -> None:
    http, request = parse(data)
    assert isinstance(request, InvalidRequest)
    assert request.status == status
    assert len(request.reason) <= 100
    response = Response(request.status, request.reason.encode())
    assert http.encode_response(response).startswith(b"HTTP/1.1 %d " % status)
    assert http.is_closing


MEMORY_LIMIT_BYTES = 192 << 20  # of a node with at most 1,024 descriptors (deployment page, "Limits")
MAX_CONNECTION_BYTES = MEMORY_LIMIT_BYTES // 2 // divide_descriptors(1024).downstream
INCOMPLETE = JOB.replace(b"Content-Length: 4", b"Content-Length: 65536")
MANY_FIELDS = b"a:b\r\n" * 1000 + b"Content-Length"


@pytest.mark.parametrize(
    "data",
    [
        INCOMPLETE.replace(b"Content-Length", MANY_FIELDS),
        INCOMPLETE.partition(b"\r\n\r\n")[0].replace(b"Tenant", b"a:b\r\n" * 3000 + b"Tenant"),
        INCOMPLETE + b"x" * 65_000,
        JOB.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")[:-4] + b"1\r\nx\r\n" * 60_000,
    ],
    ids=["fields", "incomplete head", "body", "chunks"],
)
def test_incomplete_requests_on_all_connections_fit_into_half_of_the_memory(data: bytes) -> None:
    # Guards against keeping a parsed head with thousands of fields while its body is incomplete.
    http = build_connection()
    tracemalloc.start()
    for start in range(0, len(data), 16_384):
        http.receive_data(data[start : start + 16_384])
        while http.has_unparsed_input:
            http.receive_data(b"")
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert retained_bytes <= MAX_CONNECTION_BYTES
