"""The budget for redistributing jobs that have not started: a token bucket."""

from __future__ import annotations

MAX_TOKENS = 3.0
TOKENS_PER_SEND = 0.03  # limits redistribution to this fraction of all sends in the long run


class RedistributionBudget:
    """A token bucket to which each send adds a fraction of a token; each redistribution takes one.

    A redistributed job may run at both endpoints, so unlimited redistribution would aggravate an overload.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_send(self) -> None:
        """Add the fraction of a token that a send earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SEND)

    def has_token(self) -> bool:
        """Return whether one more job may be redistributed."""
        return self._tokens >= 1.0

    def take_token(self) -> None:
        """Take a token for one redistribution."""
        self._tokens -= 1.0
