"""Types that all drills share: claims with values and bounds, verdicts, and descriptions of drills."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping, Sequence
    from pathlib import Path

    from burlmoor.testbed.mutations import Mutation

_MAX_PRINTED_VIOLATIONS = 20


def print_violations(violations: Sequence[str]) -> None:
    """Print at most `_MAX_PRINTED_VIOLATIONS` rule violations on standard error, one per line."""
    for violation in violations[:_MAX_PRINTED_VIOLATIONS]:
        print(f"burlmoor: {violation}", file=sys.stderr)


class Claim(msgspec.Struct):
    """A measured value and its bound: an upper bound unless `is_lower_bound`."""

    value: float
    bound: float
    is_lower_bound: bool = False

    @property
    def holds(self) -> bool:
        """Whether the value is within the bound; NaN never is."""
        return self.value >= self.bound if self.is_lower_bound else self.value <= self.bound


class Verdict(msgspec.Struct):
    """The result of a drill or of a fleet run: claims that must hold, and figures for information."""

    drill: str  # the name of the drill, or "fleet"
    seed: int
    seconds: float
    claims: dict[str, Claim] = {}
    figures: dict[str, float] = {}

    @property
    def holds(self) -> bool:
        """Whether every claim holds."""
        return all(claim.holds for claim in self.claims.values())

    def to_json_object(self) -> dict[str, Any]:
        """Return the verdict as a JSON object."""
        return {
            "drill": self.drill,
            "seed": self.seed,
            "seconds": self.seconds,
            "claims": {
                name: {"value": round(claim.value, 4), "bound": claim.bound, "held": claim.holds}
                for name, claim in self.claims.items()
            },
            "figures": {name: round(figure, 4) for name, figure in self.figures.items()},
            "held": self.holds,
        }


class DrillParameters(NamedTuple):
    """The parameters of one run of a drill."""

    seconds: float
    seed: int
    mutation: str | None = None  # a mutation of the node with which the drill must fail
    nodes: int = 0  # 0: the drill's default


class Drill(NamedTuple):
    """A drill, and the mutations of the node with which it must fail, by name."""

    summary: str
    run: Callable[[DrillParameters, Path], Awaitable[Verdict]]
    mutations: Mapping[str, Mutation]
    has_variable_node_count: bool = False  # whether the command line may set the number of nodes
