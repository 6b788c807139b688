"""Local health (Lifeguard's Local Health Multiplier): how little a node trusts its own failure detection."""

from __future__ import annotations

_MAX_SCORE = 8


class LocalHealth:
    """Owns the health score, from 0 (healthy) to 8.

    A node that is slow itself would suspect others by mistake. So each sign of that raises the score, and the
    score stretches the node's protocol period and its timeouts.
    """

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which the protocol period and probe timeouts are stretched."""
        return 1 + self.score

    def degrade(self) -> None:
        """Raise the score after a sign that this node itself is unhealthy."""
        self.score = min(_MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lower the score after a probe that was acknowledged in time."""
        self.score = max(0, self.score - 1)
