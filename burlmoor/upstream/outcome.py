"""What an endpoint's response says of the job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from burlmoor.upstream.http import Response

STATUS_OK = 200
STATUS_ACCEPTED = 202
_MAY_BE_UNSTARTED = (503, 504)


def outcome_of(response: Response) -> Outcome:
    """Return the outcome that a response other than success stands for."""
    # Only the header proves that the job has not run: without it, 503 and 504 are errors like any other.
    is_unstarted = response.headers.get(b"not-started", b"").strip() == b"1"
    if response.status in _MAY_BE_UNSTARTED and is_unstarted:
        return Outcome.OVERLOADED
    return Outcome.ERROR
