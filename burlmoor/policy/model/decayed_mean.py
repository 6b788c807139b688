"""An exponentially decayed mean, which the policy uses for all measured statistics."""

from __future__ import annotations


class DecayedMean:
    """A weighted mean of samples, each of which loses half of its weight in every half-life.

    Times and half-lives are in ms.
    """

    __slots__ = ("total", "updated_at", "weight")

    def __init__(self) -> None:
        self.total = 0.0
        self.weight = 0.0
        self.updated_at = 0.0

    def add(self, now: float, value: float, half_life: float, weight: float = 1.0) -> None:
        """Add a sample."""
        decay: float = 0.5 ** ((now - self.updated_at) / half_life)
        self.total = self.total * decay + value * weight
        self.weight = self.weight * decay + weight
        self.updated_at = now

    def decayed_total(self, now: float, half_life: float) -> float:
        """Return the sum of all samples, each multiplied by its remaining weight."""
        return self.total * float(0.5 ** ((now - self.updated_at) / half_life))

    def read(self, now: float, half_life: float, prior: float, prior_weight: float = 1.0) -> float:
        """Return the mean, with `prior` counted as a sample of weight `prior_weight`."""
        decay: float = 0.5 ** ((now - self.updated_at) / half_life)
        return (self.total * decay + prior * prior_weight) / (self.weight * decay + prior_weight)
