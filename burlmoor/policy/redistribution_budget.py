"""The budget for redistributing jobs that have not started: a token bucket."""

from __future__ import annotations

MAX_TOKENS = 3.0
TOKENS_PER_SEND = 0.03  # bounds redistribution to this fraction of all sends


class RedistributionBudget:
    """A token bucket that each send fills a little and each redistribution takes a token from.

    Without it redistribution feeds an overload, since the job may run at both endpoints.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_send(self) -> None:
        """Add what a send allows."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SEND)

    def has_token(self) -> bool:
        """Return whether one more job may be redistributed."""
        return self._tokens >= 1.0

    def take_token(self) -> None:
        """Count a redistribution."""
        self._tokens -= 1.0
