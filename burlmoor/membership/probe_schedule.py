"""Selects the member to probe next."""

from __future__ import annotations

import bisect
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from burlmoor.membership.member_table import MemberTable

RingPosition = tuple[int, str]  # a hash of the name, and the name


def _ring_position(name: str) -> RingPosition:
    return zlib.crc32(name.encode()), name


class ProbeSchedule:
    """Selects this node's successors in a hash ring, one per turn, and then a random member.

    All nodes share the ring, so each member is probed in every period by a fixed number of nodes, and a crash
    is detected within one period. Random probes alone, as in SWIM, have no such bound.
    """

    def __init__(self, table: MemberTable, rng: random.Random, successor_count: int) -> None:
        self._table = table
        self._rng = rng
        self._successor_count = successor_count
        self._turn_count = 0
        self._shuffled: list[str] = []  # members not yet selected in the current random round
        self._ring: list[RingPosition] = []  # the other members, sorted by position
        self._ring_version = -1  # of the table when the ring was built

    @property
    def turns_per_period(self) -> int:
        """The number of turns in one protocol period."""
        return self._successor_count + 1

    @property
    def is_random_turn(self) -> bool:
        """Whether the latest turn was the random one; also True before the first turn."""
        return self._turn_count % self.turns_per_period == 0

    def next_member(self) -> str | None:
        """Start the next turn and return the member to probe.

        Returns None if there is no other member, or if the selected one is no longer a member.
        """
        ring = self._current_ring()
        if not ring:
            return None
        self._turn_count += 1
        if not self.is_random_turn:
            own_index = bisect.bisect(ring, _ring_position(self._table.local.state.name))
            distance = self._turn_count % self.turns_per_period
            return ring[(own_index + distance - 1) % len(ring)][1]
        if not self._shuffled:
            self._shuffled = [name for _, name in ring]
            self._rng.shuffle(self._shuffled)
        name = self._shuffled.pop()
        return name if self._table.is_member(name) else None

    def _current_ring(self) -> list[RingPosition]:
        if self._ring_version != self._table.version:
            self._ring = sorted(_ring_position(name) for name in self._table.member_names())
            self._ring_version = self._table.version
        return self._ring
