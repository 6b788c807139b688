"""The queue of member states to gossip, and how often each has been transmitted."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burlmoor.membership.member import MemberState, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class _SendOrder(NamedTuple):
    """The sort key of a queued state; the most urgent one is sent first and has the lowest key."""

    is_routine: bool
    transmissions: int


class GossipQueue:
    """Counts the transmissions of each member's latest state until it has been sent often enough."""

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of members whose state is still to be sent."""
        return len(self._transmissions)

    def enqueue(self, name: str) -> None:
        """Queue a member's latest state, with no transmissions so far."""
        self._transmissions[name] = 0

    def select_most_urgent(self, count: int, state_of: Callable[[str], MemberState]) -> list[str]:
        """Select the members whose states go into the next datagram.

        Suspicions, refutations, deaths and departures come before routine states; within each group, states
        with the fewest transmissions come first.
        """
        return sorted(self._transmissions, key=lambda name: self._send_order(state_of(name), name))[:count]

    def _send_order(self, state: MemberState, name: str) -> _SendOrder:
        is_routine = state.status is MemberStatus.ALIVE and state.incarnation == 0
        return _SendOrder(is_routine, self._transmissions[name])

    def record_transmissions(self, names: Iterable[str]) -> None:
        """Record one more transmission of the states of these members."""
        for name in names:
            if name in self._transmissions:
                self._transmissions[name] += 1

    def discard_finished(self, max_transmissions: float, is_known: Callable[[str], bool]) -> None:
        """Remove members whose state has been sent often enough, and members that are no longer known."""
        finished = [
            name
            for name, transmissions in self._transmissions.items()
            if transmissions >= max_transmissions or not is_known(name)
        ]
        for name in finished:
            del self._transmissions[name]
