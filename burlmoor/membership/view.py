"""The view that others of the node read: an immutable snapshot with a version."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burlmoor.membership.member import MemberState


class MembershipView(NamedTuple):
    """Who is in the fleet, as this node believes it."""

    version: int  # rises with every change
    me: MemberState
    members: Mapping[str, MemberState]  # all that are known, whatever their state, this node among them
    configured_count: int  # how many nodes the configuration names, with this one
    is_current: bool  # whether this node has been awake and answered lately

    @property
    def member_names(self) -> tuple[str, ...]:
        """Who counts as a member, in an order that all share."""
        return tuple(sorted(name for name, fact in self.members.items() if fact.is_member))

    @property
    def has_majority(self) -> bool:
        """Whether most of the configured nodes are there: a node that sees fewer may be cut off with them."""
        return self.is_current and 2 * len(self.member_names) > self.configured_count
