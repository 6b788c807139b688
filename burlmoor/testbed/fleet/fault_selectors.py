"""Resolves the selectors of a fault to nodes or executors.

A selector is a comma-separated list of terms. A term is a glob for names, a percentage of all members (`30%`,
drawn at random from the schedule's seed) or a zone (`zone:a`).
"""

from __future__ import annotations

import random
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

_ZONE_PREFIX = "zone:"


class Population(NamedTuple):
    """The names and zones of a run's nodes or executors, indexed by number."""

    names: Sequence[str]
    zones: Sequence[str]


def resolve_selector(population: Population, selector: str, seed: int) -> list[int]:
    """Return the numbers of the members that match a selector, in ascending order."""
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
