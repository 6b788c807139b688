"""The node's other processes, while one process hands over to another."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.downstream.interfaces import CallbackForwarder, SuccessorProcess


class PeerProcesses:
    """Owns the references to the process that idle connections are passed to, and to the forwarder.

    - `successor`: accepts in this process's place; None if there is none
    - `callback_forwarder`: forwards call-backs for unknown jobs; None if this process is the only one
    """

    def __init__(self) -> None:
        self.successor: SuccessorProcess | None = None
        self.callback_forwarder: CallbackForwarder | None = None

    def attach_successor(self, successor: SuccessorProcess | None) -> None:
        """Pass idle connections to this process from now on; None: to none."""
        self.successor = successor

    def attach_callback_forwarder(self, forwarder: CallbackForwarder | None) -> None:
        """Forward call-backs for unknown jobs from now on; None: answer them here."""
        self.callback_forwarder = forwarder
