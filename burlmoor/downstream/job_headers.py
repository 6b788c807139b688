"""Parses the path and the headers of a job submission (protocol: "Clients to nodes")."""

from __future__ import annotations

import re
from enum import StrEnum
from typing import TYPE_CHECKING

from burlmoor.downstream.requests import JobSubmission
from burlmoor.errors import BurlmoorError
from burlmoor.types.events import JobRequest
from burlmoor.types.payload import Payload

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burlmoor.downstream.interfaces import RunConditionParser
    from burlmoor.downstream.request_head import RequestHead

REQUEST_ID = re.compile(r"[0-9A-Za-z._~-]{1,64}")
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_INTEGER = re.compile(r"[0-9]{1,9}")
# Printable ASCII. The length is limited because the key is stored for every job and no standard limits it.
_IDEMPOTENCY_KEY = re.compile(r"[\x20-\x7e]{1,255}")
_MAX_SLOTS = 64.0  # per job; no executor has more
_SINGLE_HEADERS = frozenset(
    (b"request-id", b"request-timeout-ms", b"tenant", b"work-hint", b"client-retry", b"idempotency-key")
)
_SEGMENTS_WITHOUT_KEY = 2  # "" and the class; in a longer path the last segment is the affinity key

_Fields = dict[bytes, str]


class JobHeader(StrEnum):
    """The names of headers as written in most rejections.

    Those for a repeated header and for a malformed integer give the name in lower case.
    """

    REQUEST_ID = "Request-Id"
    REQUEST_TIMEOUT = "Request-Timeout-Ms"
    REQUEST_INFO = "Request-Info"
    IDEMPOTENCY_KEY = "Idempotency-Key"


class InvalidHeaderError(BurlmoorError, ValueError):
    """A header of a job submission is missing or invalid."""

    def __init__(self, header: str, problem: str) -> None:
        super().__init__(f"{header} {problem}")
        self.header = header
        self.problem = problem


class JobSubmissionParser:
    """Parses the job submissions of all connections of a server.

    `classes` are the names of the job classes; jobs of `classes_requiring_key` must have an idempotency key.
    """

    def __init__(self, classes: Iterable[str], classes_requiring_key: Iterable[str] = ()) -> None:
        self.classes = frozenset(classes)
        self._classes_requiring_key = frozenset(classes_requiring_key)
        self._parse_conditions: RunConditionParser | None = None

    def set_condition_parser(self, parse_conditions: RunConditionParser | None) -> None:
        """Parse run conditions with this parser, or ignore them and defer no job if it is None."""
        self._parse_conditions = parse_conditions

    def parse(self, head: RequestHead, path_segments: list[str], body: bytes) -> JobSubmission:
        """Parse a complete job submission; `path_segments` is its path, split at each "/".

        Raises:
            InvalidHeaderError: a header is missing or invalid.
            InvalidConditionError: a header with a run condition is invalid.
        """
        raw_fields = head.fields
        fields = _collect_fields(raw_fields)
        request_id = fields.get(b"request-id", "")
        if not REQUEST_ID.fullmatch(request_id):
            raise InvalidHeaderError(JobHeader.REQUEST_ID, "is missing or malformed")
        timeout_ms = _parse_integer(fields, b"request-timeout-ms")
        if timeout_ms is None or timeout_ms <= 0:
            raise InvalidHeaderError(JobHeader.REQUEST_TIMEOUT, "is missing or not a positive whole number")
        request_info = _parse_request_info(fields.get(b"request-info", ""))
        is_key_required = path_segments[1] in self._classes_requiring_key
        idempotency_key = _parse_idempotency_key(fields, is_required=is_key_required)
        request = _build_request(fields, path_segments, timeout_ms, request_info)
        payload = Payload(head.method, head.target, body, idempotency_key)
        conditions = None
        if self._parse_conditions is not None:
            conditions = self._parse_conditions(raw_fields, request_id, len(body))
        return JobSubmission(request_id, request, payload, conditions)


def _build_request(
    fields: _Fields, path_segments: list[str], timeout_ms: int, request_info: dict[str, float]
) -> JobRequest:
    return JobRequest(
        id=0,  # the engine sets the job's number
        job_class=path_segments[1],
        timeout_ms=float(timeout_ms),
        work_ms=(_parse_integer(fields, b"work-hint") or 0) / 1000.0,  # the header is in microseconds
        slots=request_info.get("slots", 1.0),
        memory=request_info.get("memory", 0.0),
        tenant=fields.get(b"tenant", ""),
        affinity_key=path_segments[-1] if len(path_segments) > _SEGMENTS_WITHOUT_KEY else "",
        is_client_retry=fields.get(b"client-retry", "") == "1",
    )


def _collect_fields(raw_fields: Iterable[tuple[bytes, bytes]]) -> _Fields:
    fields: _Fields = {}
    for name, value in raw_fields:
        if name in _SINGLE_HEADERS and name in fields:
            raise InvalidHeaderError(name.decode(), "is given twice")
        fields[name] = value.decode("latin-1")
    return fields


def _parse_integer(fields: _Fields, name: bytes) -> int | None:
    """Parse a header's non-negative integer; return None if the header is absent.

    Raises:
        InvalidHeaderError: the header is not a non-negative integer of at most 9 digits.
    """
    text = fields.get(name)
    if text is None:
        return None
    if not _INTEGER.fullmatch(text):
        raise InvalidHeaderError(name.decode(), "is not a whole number")
    return int(text)


def _parse_request_info(text: str) -> dict[str, float]:
    """Parse `Request-Info: name=value,name=value`: what the job requires of its executor.

    Raises:
        InvalidHeaderError: a requirement is malformed, or the slots are out of range.
    """
    requirements: dict[str, float] = {}
    for part in text.split(",") if text else ():
        name, _, value = part.partition("=")
        value = value.strip(" ")
        # Rejects 'nan' and 'inf', which float() accepts: a job that requires them fits on no executor.
        if not _DECIMAL_NUMBER.fullmatch(value):
            raise InvalidHeaderError(JobHeader.REQUEST_INFO, "is not name=value,name=value")
        requirements[name.strip(" ")] = float(value)
    if not 0.0 < requirements.get("slots", 1.0) <= _MAX_SLOTS:
        # The number is limited because the policy reserves all of these slots at an executor.
        raise InvalidHeaderError(
            JobHeader.REQUEST_INFO, f"has invalid slots: above 0, at most {_MAX_SLOTS:g}"
        )
    return requirements


def _parse_idempotency_key(fields: _Fields, *, is_required: bool) -> str:
    key = fields.get(b"idempotency-key")
    if key is None:
        if is_required:
            # Executors recognise a retry of the job by its key.
            raise InvalidHeaderError(JobHeader.IDEMPOTENCY_KEY, "is missing")
        return ""
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise InvalidHeaderError(JobHeader.IDEMPOTENCY_KEY, "is empty, too long or not printable")
    return key
