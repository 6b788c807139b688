"""Parses the head of a job submission: its path and its headers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from burlmoor.downstream.requests import JobSubmission
from burlmoor.errors import BurlmoorError
from burlmoor.types.events import JobRequest
from burlmoor.types.payload import Payload

if TYPE_CHECKING:
    from collections.abc import Container

    import h11

    from burlmoor.downstream.interfaces import RunConditionParser

REQUEST_ID = re.compile(r"[0-9A-Za-z._~-]{1,64}")
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_WHOLE_NUMBER = re.compile(r"[0-9]{1,9}")
# Printable, and short enough to be kept for every job: no publication bounds a key's length.
_IDEMPOTENCY_KEY = re.compile(r"[\x20-\x7e]{1,255}")
_MAX_SLOTS = 64.0  # no executor has as many
_SINGLE_HEADERS = frozenset(
    (b"request-id", b"request-timeout-ms", b"tenant", b"work-hint", b"client-retry", b"idempotency-key")
)
_PARTS_WITHOUT_KEY = 2  # of a path split at "/": "", the class; the last of more is the affinity key

_Fields = dict[bytes, str]


class InvalidHeaderError(BurlmoorError, ValueError):
    """A header of a job submission is missing or invalid."""

    def __init__(self, header: str, problem: str) -> None:
        super().__init__(f"{header} {problem}")
        self.header = header
        self.problem = problem


def parse_job_submission(
    head: h11.Request,
    path_parts: list[str],
    body: bytes,
    classes_requiring_key: Container[str],
    parse_conditions: RunConditionParser | None,
) -> JobSubmission:
    """Parse a complete job submission; `path_parts` is its path, split at each "/".

    Raises:
        InvalidHeaderError: a header is missing or invalid.
        InvalidConditionError: so is one that says when the job may run.
    """
    fields = _collect_fields(head)
    request_id = fields.get(b"request-id", "")
    if not REQUEST_ID.fullmatch(request_id):
        raise InvalidHeaderError("Request-Id", "is missing or malformed")
    timeout_ms = _parse_whole_number(fields, b"request-timeout-ms")
    if timeout_ms <= 0:
        raise InvalidHeaderError("Request-Timeout-Ms", "is missing or not a positive whole number")
    request_info = _parse_request_info(fields.get(b"request-info", ""))
    idempotency_key = _parse_idempotency_key(fields, path_parts[1] in classes_requiring_key)
    request = _build_request(fields, path_parts, timeout_ms, request_info)
    payload = Payload(head.method, head.target, body, idempotency_key)
    conditions = None
    if parse_conditions is not None:
        conditions = parse_conditions(head.headers, request_id, len(body))
    return JobSubmission(request_id, request, payload, conditions)


def _build_request(
    fields: _Fields, path_parts: list[str], timeout_ms: int, request_info: dict[str, float]
) -> JobRequest:
    return JobRequest(
        id=0,
        job_class=path_parts[1],
        timeout_ms=float(timeout_ms),
        work_ms=max(0, _parse_whole_number(fields, b"work-hint")) / 1000.0,
        slots=request_info.get("slots", 1.0),
        memory=request_info.get("memory", 0.0),
        tenant=fields.get(b"tenant", ""),
        affinity_key=path_parts[-1] if len(path_parts) > _PARTS_WITHOUT_KEY else "",
        is_client_retry=fields.get(b"client-retry", "") == "1",
    )


def _collect_fields(head: h11.Request) -> _Fields:
    fields: _Fields = {}
    for name, value in head.headers:
        if name in _SINGLE_HEADERS and name in fields:
            raise InvalidHeaderError(name.decode(), "is given twice")
        fields[name] = value.decode("latin-1")
    return fields


def _parse_whole_number(fields: _Fields, name: bytes) -> int:
    """Parse a header's whole number; -1 where there is no such header."""
    text = fields.get(name)
    if text is None:
        return -1
    if not _WHOLE_NUMBER.fullmatch(text):
        raise InvalidHeaderError(name.decode(), "is not a whole number")
    return int(text)


def _parse_request_info(text: str) -> dict[str, float]:
    """Parse `Request-Info: name=value,name=value`, what a job needs of its executor."""
    figures: dict[str, float] = {}
    for part in text.split(",") if text else ():
        name, _, value = part.partition("=")
        value = value.strip(" ")
        # Without this, 'nan' and 'inf', floats to Python, would reach the policy and never fit anywhere.
        if not _DECIMAL_NUMBER.fullmatch(value):
            raise InvalidHeaderError("Request-Info", "is not name=value,name=value")
        figures[name.strip(" ")] = float(value)
    if not 0.0 < figures.get("slots", 1.0) <= _MAX_SLOTS:
        # Without this, the policy would count so many slots as reserved at an executor.
        raise InvalidHeaderError("Request-Info", f"has invalid slots: above 0, at most {_MAX_SLOTS:g}")
    return figures


def _parse_idempotency_key(fields: _Fields, is_required: bool) -> str:
    key = fields.get(b"idempotency-key")
    if key is None:
        if is_required:
            # Without this, executors could not know a repeat of the job (rule 2).
            raise InvalidHeaderError("Idempotency-Key", "is missing")
        return ""
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise InvalidHeaderError("Idempotency-Key", "is empty, too long or not printable")
    return key
