"""Maps the failure responses of endpoints to outcomes."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from burlmoor.upstream.http import Response

_NOT_STARTED_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


def classify_failure(response: Response) -> Outcome:
    """Return the outcome of an attempt or a health check with an unsuccessful response."""
    # Only the header proves that the job has not run; a 503 or 504 without it is an ordinary error.
    is_not_started = response.headers.get(b"not-started", b"").strip() == b"1"
    if response.status in _NOT_STARTED_STATUSES and is_not_started:
        return Outcome.OVERLOADED
    return Outcome.ERROR
