"""The responses to requests of a downstream connection, before they are encoded."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from burlmoor.engine.answers import DependencyFailed, Failed, FinalAnswer, Rejected, Served

if TYPE_CHECKING:
    from burlmoor.types.reasons import CloseReason

RETRY_AFTER = "Retry-After"  # the header's name


class Response(NamedTuple):
    """The response to one request."""

    status: HTTPStatus
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    closes_connection: bool = False
    close_reason: CloseReason | None = None  # None: `LAST_RESPONSE`


_STATUS_OK = HTTPStatus.OK
_FAILED = Response(HTTPStatus.BAD_GATEWAY, b"the job failed and may have run\n")
_REJECTED = Response(HTTPStatus.SERVICE_UNAVAILABLE)


def build_answer_response(answer: FinalAnswer) -> Response:
    """Build the response to a job submission from the job's final answer."""
    match answer:
        case Served(result):
            return Response(_STATUS_OK, result)
        case Rejected(retry_after_ms) if retry_after_ms > 0.0:
            retry_after = f"{retry_after_ms / 1000.0:.3f}"
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, headers=((RETRY_AFTER, retry_after),))
        case Rejected():
            return _REJECTED
        case Failed():
            return _FAILED
        case DependencyFailed(reason):
            return Response(HTTPStatus.FAILED_DEPENDENCY, reason.encode() + b"\n")
