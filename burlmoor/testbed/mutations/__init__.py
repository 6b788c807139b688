"""Nodes built to violate a rule, with which drills must fail: `python -m burlmoor.testbed.mutations NAME`.

The node itself has no switch for any of this: a mutation replaces functions and constants of the node's
modules in its own process before the node starts. The modules that a mutation changes are imported only where
it is applied, since some belong to subsystems that a plain node does not import.
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
