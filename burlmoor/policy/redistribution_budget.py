"""The budget for redistributing jobs whose attempts are overdue: a token bucket."""

from __future__ import annotations

MAX_TOKENS = 3.0
TOKENS_PER_SEND = 0.03  # limits these redistributions to this fraction of all sends in the long run


class RedistributionBudget:
    """A token bucket to which each send adds a fraction of a token.

    Redistributing a job when its attempt becomes overdue, or as late as is useful, takes a token. Later
    redistribution, of a job whose attempt stays silent, takes none. A redistributed job may run at both
    endpoints, so unlimited redistribution would aggravate an overload.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_send(self) -> None:
        """Add the fraction of a token that a send earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SEND)

    def has_token(self) -> bool:
        """Return whether the budget allows one more redistribution."""
        return self._tokens >= 1.0

    def take_token(self) -> None:
        """Take a token for one redistribution, even if the limits on attempts then prevent it."""
        self._tokens -= 1.0
