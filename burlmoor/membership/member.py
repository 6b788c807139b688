"""The state of one member as nodes gossip it, and which of two states takes precedence.

States of one member are totally ordered, by its generation first, and the higher one takes precedence. So
nodes that have received the same states, in whatever order and however often, believe the same: views
converge.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

Address = tuple[str, int]  # IPv4 address and port

# The last incarnation of a generation: no state of that generation takes precedence over it but by its
# status.
MAX_INCARNATION = 0xFFFF


class MemberStatus(enum.IntEnum):
    """What a member is believed to be; within one incarnation, the higher takes precedence."""

    ALIVE = 0
    SUSPECT = 1  # it has not answered a probe; it may refute this
    DEAD = 2  # it did not refute the suspicion in time; it may still return, with a higher incarnation
    LEFT = 3  # it has announced that it shuts down


class Precedence(NamedTuple):
    """The sort key of the states of one member."""

    generation: int
    nonce: int
    incarnation: int
    status: MemberStatus


class ProcessPrecedence(NamedTuple):
    """The part of the precedence that identifies a member's process."""

    generation: int
    nonce: int


class MemberState(NamedTuple):
    """One member's state as some node believes it.

    Only the member itself announces a new generation, a new incarnation, and that it is alive. A generation
    is one process: its number comes from the clock at the start and is raised where the cluster knows a later
    one, so a clock that was set back does no harm. The nonce, drawn at the start, distinguishes two processes
    that claim one generation: the higher nonce takes precedence, and the other process raises its generation
    once it learns of it. A higher incarnation refutes a suspicion.
    """

    name: str
    address: Address
    generation: int
    nonce: int
    incarnation: int
    status: MemberStatus

    @property
    def precedence(self) -> Precedence:
        """The sort key of states of one member: the state with the higher one holds."""
        return Precedence(self.generation, self.nonce, self.incarnation, self.status)

    @property
    def process_precedence(self) -> ProcessPrecedence:
        """The part of the precedence that identifies the process."""
        generation, nonce, _, _ = self.precedence
        return ProcessPrecedence(generation, nonce)

    @property
    def is_member(self) -> bool:
        """Whether it counts as a member: suspects do until they are declared dead."""
        return self.status <= MemberStatus.SUSPECT
