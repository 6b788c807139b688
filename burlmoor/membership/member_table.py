"""The table of all nodes that this node knows; received states are merged by precedence."""

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

# Bounds the memory that forged or stray states can fill.
MAX_MEMBERS = 4096


class MemberTable:
    """Holds the believed state of each node. `configured` holds the addresses of the other configured nodes.

    Each change of a state is queued for gossip, and starts or ends a suspicion.
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
        self._absent_since: dict[str, float] = {}  # by name: nodes that are dead or have left
        self._digest: int | None = None
        gossip_queue.enqueue(local.state.name)

    def is_member(self, name: str) -> bool:
        """Whether another node is known and counts as a member."""
        return name in self.remote and self.remote[name].is_member

    def is_known(self, name: str) -> bool:
        """Whether a node is known, whatever its status."""
        return name in self.remote or name == self.local.state.name

    def state_of(self, name: str) -> MemberState:
        """Return a node's state, or this node's own state if no other node has that name."""
        return self.remote.get(name, self.local.state)

    def address_of(self, name: str) -> Address:
        """Return the configured address of a node, or its gossiped address if it is not configured.

        The configured address is preferred because this node may not be able to reach the gossiped one.
        """
        return self.configured.get(name) or self.state_of(name).address

    def member_names(self) -> list[str]:
        """List the other nodes that count as members, in the order in which they became known."""
        return [name for name, state in self.remote.items() if state.is_member]

    def absent_names(self) -> list[str]:
        """List the nodes, configured or known, that do not count as members at present."""
        return [name for name in {**self.configured, **self.remote} if not self.is_member(name)]

    def sample_members(self, rng: random.Random, count: int, excluding: str = "") -> list[str]:
        """Return up to `count` other members, drawn at random."""
        names = [name for name in self.member_names() if name != excluding]
        return rng.sample(names, min(count, len(names)))

    def digest(self) -> int:
        """Return a checksum of all states, the same for two tables with the same states."""
        if self._digest is None:
            states = (self.local.state, *self.remote.values())
            rows = sorted((state.name, state.precedence) for state in states)
            self._digest = zlib.crc32(repr(rows).encode())
        return self._digest

    def merge(self, state: MemberState, reported_by: str, now: float) -> None:
        """Store a state if it takes precedence; an equal `SUSPECT` state confirms the suspicion."""
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
        """Suspect a member after this node's probe of it has failed, or confirm an existing suspicion."""
        state = self.remote[name]
        own_name = self.local.state.name
        if state.status is MemberStatus.ALIVE:
            self.merge(state._replace(status=MemberStatus.SUSPECT), own_name, now)
        elif state.status is MemberStatus.SUSPECT:
            self._suspicions.confirm(name, own_name)

    def declare_dead(self, name: str, now: float) -> None:
        """Declare a suspected member dead."""
        self.merge(self.remote[name]._replace(status=MemberStatus.DEAD), self.local.state.name, now)

    def leave(self) -> None:
        """Set this node's own status to `LEFT`, and queue it for gossip."""
        self.local.leave()
        self._on_change(self.local.state.name)

    def remove_expired(self, now: float, retention_seconds: float) -> None:
        """Remove the nodes that have been dead, or have left, for at least this time."""
        for name, since in list(self._absent_since.items()):
            if now >= since + retention_seconds:
                del self._absent_since[name]
                del self.remote[name]
                self._invalidate()

    def _merge_local(self, state: MemberState, now: float) -> None:
        if self.local.on_remote_state(state, now):
            self._on_change(state.name)

    def _replace(self, state: MemberState, reported_by: str, now: float) -> None:
        name = state.name
        self.remote[name] = state
        self._suspicions.cancel(name)
        self._absent_since.pop(name, None)
        if state.status is MemberStatus.SUSPECT:
            self._suspicions.start(name, reported_by, now)
        elif not state.is_member:
            self._absent_since[name] = now
        self._on_change(name)

    def _on_change(self, name: str) -> None:
        self._gossip_queue.enqueue(name)
        self._invalidate()

    def _invalidate(self) -> None:
        self.version += 1
        self._digest = None
