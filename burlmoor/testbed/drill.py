"""What all drills share: claims with values and bounds, the verdict, and how one is run."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

import msgspec


class Claim(msgspec.Struct):
    """One thing that the program is held to: `value` is at most `bound` (or at least, where `least`)."""

    value: float
    bound: float
    least: bool = False

    @property
    def held(self) -> bool:
        """Whether it is so."""
        return self.value >= self.bound if self.least else self.value <= self.bound


class Verdict(msgspec.Struct):
    """What a drill has found."""

    drill: str
    seed: int
    seconds: float
    claims: dict[str, Claim] = {}
    figures: dict[str, float] = {}

    @property
    def held(self) -> bool:
        """Whether every claim is so."""
        return all(claim.held for claim in self.claims.values())

    def written(self) -> dict[str, Any]:
        """The verdict as one JSON object."""
        return {
            "drill": self.drill, "seed": self.seed, "seconds": self.seconds,
            "claims": {
                name: {"value": round(each.value, 4), "bound": each.bound, "held": each.held}
                for name, each in self.claims.items()
            },
            "figures": {name: round(each, 4) for name, each in self.figures.items()},
            "held": self.held,
        }  # fmt: skip


class Ask(NamedTuple):
    """What a drill is asked to be; `nodes` 0: as many as it has by itself."""

    seconds: float
    seed: int
    sabotage: str | None = None
    nodes: int = 0


class Drill(NamedTuple):
    """A drill by name: what it does, and the faults of the node with which it must fail."""

    about: str
    run: Callable[[Ask, Path], Awaitable[Verdict]]
    sabotages: Mapping[str, str]
    sized: bool = False  # whether the number of nodes may be chosen
