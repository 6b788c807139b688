"""The budget for redistributing jobs that have not started: a token bucket."""

from __future__ import annotations

MAX_TOKENS = 3.0
TOKENS_PER_SEND = 0.03  # bounds redistribution to this fraction of all sends


class RedistributionBudget:
    """A token bucket to which each send adds a fraction of a token; each redistribution takes one.

    Without it redistribution feeds an overload, since the job may run at both endpoints.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_send(self) -> None:
        """Add the fraction of a token that a send allows."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SEND)

    def has_token(self) -> bool:
        """Return whether one more job may be redistributed."""
        return self._tokens >= 1.0

    def take_token(self) -> None:
        """Take a token for one redistribution."""
        self._tokens -= 1.0
