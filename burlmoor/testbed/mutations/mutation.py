"""The type of mutations, and a helper that replaces parts of the node's modules."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable


class Mutation(NamedTuple):
    """A way in which a node violates a rule; `apply` changes the node of this process accordingly."""

    name: str
    description: str
    apply: Callable[[], None]


def mutations_by_name(*mutations: Mutation) -> dict[str, Mutation]:
    """Return the mutations by the names that the command line accepts."""
    return {mutation.name: mutation for mutation in mutations}


def replace_attributes(owner: object, **replacements: object) -> None:
    """Replace attributes of a class or a module.

    Raises AttributeError if one does not exist: otherwise a mutation would silently lose its effect once the
    attribute is renamed in the node.
    """
    for name, replacement in replacements.items():
        getattr(owner, name)
        setattr(owner, name, replacement)
