"""The membership view for other parts of the node: an immutable, versioned snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burlmoor.membership.member import MemberState


class MembershipView(NamedTuple):
    """The members of the cluster as known to this node."""

    version: int  # increases with every change
    local: MemberState
    states: Mapping[str, MemberState]  # all known nodes, of any status, including this one
    configured_count: int  # configured nodes, including this one
    is_current: bool  # whether this node has received an acknowledgement recently

    @property
    def member_names(self) -> tuple[str, ...]:
        """The names of the members, in the same (sorted) order on every node."""
        return tuple(sorted(name for name, state in self.states.items() if state.is_member))

    @property
    def has_majority(self) -> bool:
        """Whether most configured nodes are members; otherwise this node may be in a minority partition."""
        return self.is_current and 2 * len(self.member_names) > self.configured_count
