"""Local health (Lifeguard's Local Health Multiplier): slows the failure detection of a node that is slow."""

from __future__ import annotations

_MAX_SCORE = 8


class LocalHealth:
    """The health score, from 0 (healthy) to 8.

    A slow node would suspect healthy members by mistake. Each sign of slowness therefore raises the score,
    and a higher score lengthens the node's protocol period and probe timeouts.
    """

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which the protocol period and the probe timeouts are multiplied."""
        return 1 + self.score

    def degrade(self) -> None:
        """Raise the score after a sign that this node is slow or partitioned."""
        self.score = min(_MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lower the score after a probe that was acknowledged in time."""
        self.score = max(0, self.score - 1)
