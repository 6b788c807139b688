"""References to the node's other processes during a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burlmoor.downstream.interfaces import AdmissionObserver, CallbackForwarder, SuccessorProcess


class PeerProcesses:
    """Holds what refers to other processes; each is None if there is none.

    - `successor`: the process that accepts connections in place of this one
    - `callback_forwarder`: forwards call-backs for jobs that are unknown here to the node's other processes
    - `admission_observer`: notifies the node's other processes of the jobs that are admitted here
    """

    def __init__(self) -> None:
        self.successor: SuccessorProcess | None = None
        self.callback_forwarder: CallbackForwarder | None = None
        self.admission_observer: AdmissionObserver | None = None

    def attach_successor(self, successor: SuccessorProcess | None) -> None:
        """Pass idle connections to this process from now on, or keep them if it is None."""
        self.successor = successor

    def attach_callback_forwarder(self, forwarder: CallbackForwarder | None) -> None:
        """Forward call-backs for unknown jobs from now on, or answer them here if it is None."""
        self.callback_forwarder = forwarder

    def attach_admission_observer(self, observer: AdmissionObserver | None) -> None:
        """Notify this observer of each job that is admitted from now on, or none if it is None."""
        self.admission_observer = observer
