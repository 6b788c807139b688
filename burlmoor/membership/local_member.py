"""This node's own state, and how it refutes what other nodes believe of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.membership.member import MAX_INCARNATION, MemberState, MemberStatus

if TYPE_CHECKING:
    from burlmoor.membership.local_health import LocalHealth

_MAX_GENERATION_RAISES = 6  # per `_RAISE_INTERVAL_SECONDS`; one more means a contested name
_RAISE_INTERVAL_SECONDS = 30.0


class LocalMember:
    """Holds this node's own state, and raises its incarnation or generation to override outdated states."""

    def __init__(self, state: MemberState, health: LocalHealth) -> None:
        self.state = state
        self.is_name_contested = False  # whether another process repeatedly claims this name
        self._health = health
        self._generation_raised_at: list[float] = []

    def leave(self) -> None:
        """Set the status to `LEFT`, which no other state of this generation can override."""
        self.state = self.state._replace(incarnation=MAX_INCARNATION, status=MemberStatus.LEFT)

    def on_remote_state(self, remote: MemberState, now: float) -> bool:
        """Override a gossiped state of this node if it takes precedence.

        Returns whether this node's own state changed.
        """
        if remote.precedence <= self.state.precedence or self.state.status is MemberStatus.LEFT:
            return False
        if remote.process_id == self.state.process_id:
            # Lifeguard: a suspicion by others is a sign that this node is slow.
            self._health.degrade()
            if remote.incarnation + 1 < MAX_INCARNATION:
                self.state = self.state._replace(incarnation=remote.incarnation + 1)
                return True
        return self._raise_generation(remote.generation, now)

    def _raise_generation(self, known_generation: int, now: float) -> bool:
        """Raise the generation above the one that the cluster knows; return whether it was raised.

        The known generation belongs to an earlier process of this node whose clock was ahead, or to another
        node with the same name. The rate limit keeps two nodes with the same name from overriding each
        other endlessly and flooding the cluster with updates.
        """
        self._generation_raised_at = [
            raised_at for raised_at in self._generation_raised_at if now - raised_at < _RAISE_INTERVAL_SECONDS
        ]
        self.is_name_contested = len(self._generation_raised_at) >= _MAX_GENERATION_RAISES
        if self.is_name_contested:
            return False
        self._generation_raised_at.append(now)
        generation = max(self.state.generation, known_generation) + 1
        self.state = self.state._replace(generation=generation, incarnation=0)
        return True
