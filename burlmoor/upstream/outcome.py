"""The outcome of an attempt, derived from its endpoint's response."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from burlmoor.upstream.http import Response

_MAY_BE_UNSTARTED = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


def outcome_of(response: Response) -> Outcome:
    """Return the outcome of an attempt or a health check whose response is not a success."""
    # Only the header proves that the job has not run: without it, 503 and 504 are errors like any other.
    is_unstarted = response.headers.get(b"not-started", b"").strip() == b"1"
    if response.status in _MAY_BE_UNSTARTED and is_unstarted:
        return Outcome.OVERLOADED
    return Outcome.ERROR
