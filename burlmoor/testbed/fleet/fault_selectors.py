"""Which nodes or executors the selectors of a fault name.

A selector is a list, separated by commas, of globs of names, shares of all (`30%`, drawn from the schedule's
seed) and zones (`zone:a`).
"""

from __future__ import annotations

import random
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

_ZONE_PREFIX = "zone:"


class Population(NamedTuple):
    """The nodes or the executors of a run, as selectors see them: names and zones by number."""

    names: Sequence[str]
    zones: Sequence[str]


def resolve_selector(population: Population, selector: str, seed: int) -> list[int]:
    """Return the numbers of the members that a selector names, in ascending order."""
    selected: set[int] = set()
    for term in selector.split(","):
        selected |= _resolve_term(population, term.strip(), seed)
    return sorted(selected)


def _resolve_term(population: Population, term: str, seed: int) -> set[int]:
    names = population.names
    if term.endswith("%") and term[:-1].replace(".", "", 1).isdigit():
        count = round(len(names) * float(term[:-1]) / 100.0)
        return set(random.Random(f"{seed}:{term}").sample(range(len(names)), min(count, len(names))))
    if term.startswith(_ZONE_PREFIX):
        zone = term.removeprefix(_ZONE_PREFIX)
        return {number for number, each in enumerate(population.zones) if each == zone}
    return {number for number, name in enumerate(names) if term and fnmatchcase(name, term)}
