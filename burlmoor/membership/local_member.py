"""This node's own state: its incarnation, its generation, refutations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.membership.member import MAX_INCARNATION, MemberState, MemberStatus

if TYPE_CHECKING:
    from burlmoor.membership.local_health import LocalHealth

_MAX_GENERATION_RAISES = 6  # within the interval below; beyond it the name is contested
_RAISE_INTERVAL_SECONDS = 30.0


class LocalMember:
    """Owns this node's own state. Each method that may change it returns whether it did."""

    def __init__(self, state: MemberState, health: LocalHealth) -> None:
        self.state = state
        self.is_name_contested = False  # whether another process repeatedly claims this name
        self._health = health
        self._generation_raised_at: list[float] = []

    def leave(self) -> None:
        """Set the final state, which no later state of this generation can replace."""
        self.state = self.state._replace(incarnation=MAX_INCARNATION, status=MemberStatus.LEFT)

    def on_remote_state(self, remote: MemberState, now: float) -> bool:
        """Refute or supersede a state of this node that another node believes, if it takes precedence."""
        if remote.precedence <= self.state.precedence or self.state.status is MemberStatus.LEFT:
            return False
        if remote.process_precedence == self.state.process_precedence:
            # Lifeguard: being suspected is a sign of local slowness.
            self._health.degrade()
            if remote.incarnation + 1 < MAX_INCARNATION:
                self.state = self.state._replace(incarnation=remote.incarnation + 1)
                return True
        return self._raise_generation(remote.generation, now)

    def _raise_generation(self, known_generation: int, now: float) -> bool:
        """Start a generation later than the one that the cluster knows.

        The known one belongs to an earlier process of this node whose clock was ahead, or to another node
        with the same name. Without the limit, two nodes with one name would supersede each other without end
        and flood the cluster.
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
