"""The gossiped state of a member, and the precedence between states.

The states of one member are totally ordered, first by generation, and the highest takes precedence. Views
therefore converge: nodes that have received the same states, in any order and any number of times, have the
same view.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

Address = tuple[str, int]  # IPv4 address and port

# The last incarnation of a generation: within that generation, only a higher status takes precedence.
MAX_INCARNATION = 0xFFFF


class MemberStatus(enum.IntEnum):
    """The believed status of a member; within one incarnation, the higher status takes precedence."""

    ALIVE = 0
    SUSPECT = 1  # has not acknowledged a probe; may refute the suspicion
    DEAD = 2  # did not refute the suspicion in time; may still return, with a higher incarnation
    LEFT = 3  # has announced its shutdown


class Precedence(NamedTuple):
    """The sort key of the states of one member."""

    generation: int
    nonce: int
    incarnation: int
    status: MemberStatus


class ProcessId(NamedTuple):
    """Identifies a member's process; that with the higher id takes precedence."""

    generation: int
    nonce: int


class MemberState(NamedTuple):
    """The state of one member, as a node believes it or announces its own.

    Only the member itself announces a new generation, a new incarnation and the status `ALIVE`. A generation
    identifies a process. It is initialized from the clock when the process starts, and raised if the cluster
    knows a later one, so a clock that was set back does no harm. The nonce, drawn at random at the start,
    distinguishes two processes that claim the same generation: the higher nonce takes precedence, and the
    other process raises its generation once it learns of the conflict. A higher incarnation refutes a
    suspicion.
    """

    name: str
    address: Address
    generation: int
    nonce: int
    incarnation: int
    status: MemberStatus

    @property
    def precedence(self) -> Precedence:
        """The sort key among the states of one member; the highest takes precedence."""
        return Precedence(self.generation, self.nonce, self.incarnation, self.status)

    @property
    def process_id(self) -> ProcessId:
        """The id of the process that the state is about."""
        generation, nonce, _, _ = self.precedence
        return ProcessId(generation, nonce)

    @property
    def is_member(self) -> bool:
        """Whether the node counts as a member; a suspect does until it is declared dead."""
        return self.status <= MemberStatus.SUSPECT
