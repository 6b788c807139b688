"""Local health (Lifeguard's Local Health Multiplier): how far a node distrusts its own failure detection."""

from __future__ import annotations

_MAX_SCORE = 8


class LocalHealth:
    """A score from 0, healthy, to 8.

    A node that is slow itself would accuse others of what is its own fault. So whatever hints at that raises
    the score, and the score stretches the node's protocol period and its timeouts.
    """

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which the protocol period and probe timeouts are stretched."""
        return 1 + self.score

    def degrade(self) -> None:
        """Count a hint that this node is the unhealthy one."""
        self.score = min(_MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Count a probe that was acknowledged in time."""
        self.score = max(0, self.score - 1)
