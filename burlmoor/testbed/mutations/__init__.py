"""Mutations that make a node violate a rule, each of which must make a drill fail.

`python -m burlmoor.testbed.mutations NAME` runs such a node. The node itself has no switch for this: a
mutation replaces functions and constants of the node's modules in the node's process before the node starts.
It imports these modules only when it is applied, because some belong to subsystems that a plain node does not
import.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from burlmoor.testbed.mutations.attempts import SOAK_MUTATIONS
from burlmoor.testbed.mutations.deferred import DEFERRED_MUTATIONS
from burlmoor.testbed.mutations.endpoint_list import WATCH_MUTATIONS
from burlmoor.testbed.mutations.mutation import Mutation
from burlmoor.testbed.mutations.spread import SPREAD_MUTATIONS

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["DEFERRED_MUTATIONS", "SOAK_MUTATIONS", "SPREAD_MUTATIONS", "WATCH_MUTATIONS", "Mutation"]

MUTATIONS: Mapping[str, Mutation] = {
    **DEFERRED_MUTATIONS,
    **SPREAD_MUTATIONS,
    **WATCH_MUTATIONS,
    **SOAK_MUTATIONS,
}


def mutated_node_command(mutation: str) -> tuple[str, ...]:
    """Return the command that starts a node with a mutation."""
    return (sys.executable, "-m", "burlmoor.testbed.mutations", mutation)
