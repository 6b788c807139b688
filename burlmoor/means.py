"""A mean that forgets, in which what a node learns is kept. It decides nothing."""

from __future__ import annotations


class Mean:
    """A mean that forgets: old evidence halves in weight every half-life and yields to the prior."""

    __slots__ = ("at", "total", "weight")

    def __init__(self) -> None:
        self.total = self.weight = self.at = 0.0

    def add(self, now: float, value: float, half: float, weight: float = 1.0) -> None:
        """Take in one piece of evidence."""
        keep: float = 0.5 ** ((now - self.at) / half)
        self.total = self.total * keep + value * weight
        self.weight = self.weight * keep + weight
        self.at = now

    def sum(self, now: float, half: float) -> float:
        """All evidence taken in, each piece by what is left of its weight."""
        return self.total * float(0.5 ** ((now - self.at) / half))

    def read(self, now: float, half: float, prior: float, trust: float = 1.0) -> float:
        """The mean, with `prior` counted as `trust` pieces of evidence."""
        keep: float = 0.5 ** ((now - self.at) / half)
        return (self.total * keep + prior * trust) / (self.weight * keep + trust)
