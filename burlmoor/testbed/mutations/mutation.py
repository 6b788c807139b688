"""A mutation of the node: how it is named, and how it replaces parts of the node's modules."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable


class Mutation(NamedTuple):
    """A way in which a node violates a rule; `apply` makes the node of this process do so."""

    name: str
    description: str
    apply: Callable[[], None]


def mutations_by_name(*mutations: Mutation) -> dict[str, Mutation]:
    """Return mutations by the names that the command line accepts."""
    return {mutation.name: mutation for mutation in mutations}


def replace_attributes(owner: object, **replacements: object) -> None:
    """Replace attributes of a class or a module.

    Raises AttributeError for one that does not exist, so that no mutation outlives a rename as a sound node.
    """
    for name, replacement in replacements.items():
        getattr(owner, name)
        setattr(owner, name, replacement)
