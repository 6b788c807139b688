"""The view that others of the node read: an immutable snapshot with a version."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burlmoor.membership.facts import Fact


class View(NamedTuple):
    """Who is in the fleet, as this node believes it."""

    version: int  # rises with every change
    me: Fact
    members: Mapping[str, Fact]  # all that are known, whatever their state, this node among them
    configured: int  # how many nodes the configuration names, with this one
    sure: bool  # whether this node has been awake and answered lately

    @property
    def there(self) -> tuple[str, ...]:
        """Who counts as a member, in an order that all share."""
        return tuple(sorted(name for name, fact in self.members.items() if fact.there))

    @property
    def majority(self) -> bool:
        """Whether most of the configured nodes are there: a node that sees fewer may be cut off with them."""
        return self.sure and 2 * len(self.there) > self.configured
