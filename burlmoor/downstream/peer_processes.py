"""References to the node's other processes during a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.downstream.interfaces import CallbackForwarder, SuccessorProcess


class PeerProcesses:
    """Holds the successor process and the forwarder of call-backs, each None if there is none.

    - `successor`: the process that accepts connections in place of this one
    - `callback_forwarder`: forwards call-backs for jobs that are unknown here to the node's other processes
    """

    def __init__(self) -> None:
        self.successor: SuccessorProcess | None = None
        self.callback_forwarder: CallbackForwarder | None = None

    def attach_successor(self, successor: SuccessorProcess | None) -> None:
        """Pass idle connections to this process from now on, or keep them if it is None."""
        self.successor = successor

    def attach_callback_forwarder(self, forwarder: CallbackForwarder | None) -> None:
        """Forward call-backs for unknown jobs from now on, or answer them here if it is None."""
        self.callback_forwarder = forwarder
