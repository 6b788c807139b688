"""What nodes tell each other of a node, and which of two facts holds.

Facts of one node are ordered, by its life first, and of two the later one holds. So whoever has heard the
same facts, in whatever order and however often, believes the same: views that can meet agree in the end.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

Address = tuple[str, int]
MAX_INCARNATION = 0xFFFF  # of a life's incarnations: nothing of that life comes after it


class MemberStatus(enum.IntEnum):
    """What a node is said to be; of one incarnation, the higher holds."""

    ALIVE = 0
    SUSPECT = 1  # it has not answered: it may say that it lives
    DEAD = 2  # it did not say so in time; it may still come back, with a higher incarnation
    LEFT = 3  # it has said that it ends


class MemberState(NamedTuple):
    """One node's state as somebody believes it.

    Only the node itself says a new life, a new incarnation, and that it is alive. A life is a process: its
    number comes from the clock at the start and is raised where the fleet knows a later one, so a clock that
    went back does no harm; the nonce, drawn at the start, tells two lives apart that claim one number (the
    higher one holds; the other raises its number once it hears). A higher incarnation refutes a suspicion.
    """

    name: str
    address: Address
    generation: int
    nonce: int
    incarnation: int
    status: MemberStatus

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Of two facts of one name, the one whose order is higher holds."""
        return self.generation, self.nonce, self.incarnation, self.status

    @property
    def is_member(self) -> bool:
        """Whether it counts as a member: suspects do until they are declared dead."""
        return self.status <= MemberStatus.SUSPECT
