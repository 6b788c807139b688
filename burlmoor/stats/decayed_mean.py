"""A mean that forgets, in which what a node learns is kept. It decides nothing."""

from __future__ import annotations


class DecayedMean:
    """A mean that forgets: old evidence halves in weight every half-life and yields to the prior."""

    __slots__ = ("total", "updated_at", "weight")

    def __init__(self) -> None:
        self.total = self.weight = self.updated_at = 0.0

    def add(self, now: float, value: float, half_life: float, weight: float = 1.0) -> None:
        """Take in one piece of evidence."""
        keep: float = 0.5 ** ((now - self.updated_at) / half_life)
        self.total = self.total * keep + value * weight
        self.weight = self.weight * keep + weight
        self.updated_at = now

    def decayed_total(self, now: float, half_life: float) -> float:
        """All evidence taken in, each piece by what is left of its weight."""
        return self.total * float(0.5 ** ((now - self.updated_at) / half_life))

    def read(self, now: float, half_life: float, prior: float, prior_weight: float = 1.0) -> float:
        """The mean, with `prior` counted as `trust` pieces of evidence."""
        keep: float = 0.5 ** ((now - self.updated_at) / half_life)
        return (self.total * keep + prior * prior_weight) / (self.weight * keep + prior_weight)
