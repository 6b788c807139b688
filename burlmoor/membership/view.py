"""The membership view that other parts of the node read: an immutable, versioned snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.membership.member import MemberState


class MembershipView(NamedTuple):
    """The members of the cluster as this node believes them."""

    version: int  # rises with every change
    local: MemberState
    members: Mapping[str, MemberState]  # all that are known, whatever their status, this node included
    configured_count: int  # nodes that the configuration names, this one included
    is_current: bool  # whether this node has been running and has received an acknowledgement lately

    @property
    def member_names(self) -> tuple[str, ...]:
        """The names of those that count as members, sorted, so in the same order on every node."""
        return tuple(sorted(name for name, state in self.members.items() if state.is_member))

    @property
    def has_majority(self) -> bool:
        """Whether most of the configured nodes are members; a node without may be in a minority partition."""
        return self.is_current and 2 * len(self.member_names) > self.configured_count
