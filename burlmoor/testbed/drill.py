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
    is_lower_bound: bool = False

    @property
    def holds(self) -> bool:
        """Whether it is so."""
        return self.value >= self.bound if self.is_lower_bound else self.value <= self.bound


class Verdict(msgspec.Struct):
    """What a drill has found."""

    drill: str
    seed: int
    seconds: float
    claims: dict[str, Claim] = {}
    figures: dict[str, float] = {}

    @property
    def holds(self) -> bool:
        """Whether every claim is so."""
        return all(claim.holds for claim in self.claims.values())

    def to_json_object(self) -> dict[str, Any]:
        """The verdict as one JSON object."""
        return {
            "drill": self.drill, "seed": self.seed, "seconds": self.seconds,
            "claims": {
                name: {"value": round(each.value, 4), "bound": each.bound, "held": each.holds}
                for name, each in self.claims.items()
            },
            "figures": {name: round(each, 4) for name, each in self.figures.items()},
            "held": self.holds,
        }  # fmt: skip


class DrillParameters(NamedTuple):
    """What a drill is asked to be; `nodes` 0: as many as it has by itself."""

    seconds: float
    seed: int
    mutation: str | None = None
    nodes: int = 0


class Drill(NamedTuple):
    """A drill by name: what it does, and the faults of the node with which it must fail."""

    summary: str
    run: Callable[[DrillParameters, Path], Awaitable[Verdict]]
    mutations: Mapping[str, str]
    is_sizable: bool = False  # whether the number of nodes may be chosen
