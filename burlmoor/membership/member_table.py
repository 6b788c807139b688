"""The table of all members that a node knows, merged by precedence."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from burlmoor.membership.member import Address, MemberState, MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from burlmoor.membership.gossip_queue import GossipQueue
    from burlmoor.membership.local_member import LocalMember
    from burlmoor.membership.suspicion import SuspicionTimers

# Without this limit, forged or stray states would fill the memory.
MAX_MEMBERS = 4096


class MemberTable:
    """Owns the believed state of each member. `configured` holds the addresses of the other configured nodes.

    Each change is queued for gossip, and starts or ends the member's suspicion.
    """

    def __init__(
        self,
        local: LocalMember,
        configured: Mapping[str, Address],
        suspicions: SuspicionTimers,
        gossip_queue: GossipQueue,
    ) -> None:
        self.local = local
        self.configured = configured
        self.remote: dict[str, MemberState] = {}  # all other nodes, in the order in which they became known
        self.version = 0
        self._suspicions = suspicions
        self._gossip_queue = gossip_queue
        self._gone_since: dict[str, float] = {}  # members that are dead or have left
        self._digest: int | None = None
        gossip_queue.enqueue(local.state.name)

    # --- reading --------------------------------------------------------------------------------

    def is_member(self, name: str) -> bool:
        """Whether another node is known and counts as a member."""
        return name in self.remote and self.remote[name].is_member

    def is_known(self, name: str) -> bool:
        """Whether a node is known, whatever its status."""
        return name in self.remote or name == self.local.state.name

    def state_of(self, name: str) -> MemberState:
        """Return a node's state; this node's own where the name is unknown."""
        return self.remote.get(name, self.local.state)

    def address_of(self, name: str) -> Address:
        """Return the address of a node: the configured one if there is one, otherwise the gossiped one.

        This node may not be able to reach a gossiped address.
        """
        return self.configured.get(name) or self.state_of(name).address

    def member_names(self) -> list[str]:
        """List the other nodes that count as members, in the order in which they became known."""
        return [name for name, state in self.remote.items() if state.is_member]

    def absent_names(self) -> list[str]:
        """List the nodes, configured or known, that do not count as members at present."""
        return [name for name in {**self.configured, **self.remote} if not self.is_member(name)]

    def sample_members(self, rng: random.Random, count: int, excluding: str = "") -> list[str]:
        """Draw up to `count` other members at random."""
        names = [name for name in self.member_names() if name != excluding]
        return rng.sample(names, min(count, len(names)))

    def digest(self) -> int:
        """Return a checksum that two tables share if their states are the same."""
        if self._digest is None:
            states = (self.local.state, *self.remote.values())
            rows = sorted((state.name, state.precedence) for state in states)
            self._digest = zlib.crc32(repr(rows).encode())
        return self._digest

    # --- changing -------------------------------------------------------------------------------

    def merge(self, state: MemberState, reported_by: str, now: float) -> None:
        """Store a state if it takes precedence, or count it as a confirmation of an equal suspicion."""
        if state.name == self.local.state.name:
            self._merge_local(state, now)
            return
        known = self.remote.get(state.name)
        if known is None and len(self.remote) >= MAX_MEMBERS:
            return
        if known is None or state.precedence > known.precedence:
            self._replace(state, reported_by, now)
        elif state.precedence == known.precedence and state.status is MemberStatus.SUSPECT:
            self._suspicions.confirm(state.name, reported_by)

    def suspect(self, name: str, now: float) -> None:
        """Suspect a member because of a failed probe of this node, or confirm an existing suspicion."""
        state = self.remote[name]
        reporter = self.local.state.name
        if state.status is MemberStatus.ALIVE:
            self.merge(state._replace(status=MemberStatus.SUSPECT), reporter, now)
        elif state.status is MemberStatus.SUSPECT:
            self._suspicions.confirm(name, reporter)

    def declare_dead(self, name: str, now: float) -> None:
        """Declare a suspected member dead."""
        self.merge(self.remote[name]._replace(status=MemberStatus.DEAD), self.local.state.name, now)

    def leave(self) -> None:
        """Announce that this node shuts down."""
        self.local.leave()
        self._on_changed(self.local.state.name)

    def remove_gone(self, now: float, retention_seconds: float) -> None:
        """Remove the members that have been dead, or left, for at least this time."""
        for name, since in list(self._gone_since.items()):
            if now >= since + retention_seconds:
                del self._gone_since[name]
                del self.remote[name]
                self._invalidate()

    def _merge_local(self, state: MemberState, now: float) -> None:
        if self.local.on_remote_state(state, now):
            self._on_changed(state.name)

    def _replace(self, state: MemberState, reported_by: str, now: float) -> None:
        name = state.name
        self.remote[name] = state
        self._suspicions.cancel(name)
        self._gone_since.pop(name, None)
        if state.status is MemberStatus.SUSPECT:
            self._suspicions.start(name, reported_by, now)
        elif not state.is_member:
            self._gone_since[name] = now
        self._on_changed(name)

    def _on_changed(self, name: str) -> None:
        self._gossip_queue.enqueue(name)
        self._invalidate()

    def _invalidate(self) -> None:
        self.version += 1
        self._digest = None
