"""What the engine requires of the parts around it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from burlmoor.engine.answers import FinalAnswer

if TYPE_CHECKING:
    from burlmoor.engine.job import Attempt


class Responder(Protocol):
    """The client's side of one job."""

    def respond(self, answer: FinalAnswer) -> None:
        """Give the client its one final answer."""


class Upstream(Protocol):
    """The executors' side."""

    def start_attempt(self, forward: Attempt) -> None:
        """Start the forward; `Core.ended` is told how it ends."""

    def cancel_attempt(self, forward: Attempt) -> None:
        """Nobody waits for this forward any more: give it up at the target; `Core.given_up` is told."""

    def check_health(self, target: str) -> None:
        """Look at a target; `Core.probed` is told."""


class Discovery(Protocol):
    """Discovery's side."""

    def watch(self) -> None:
        """See to it that changes are told."""

    def fetch(self) -> None:
        """Ask once for the whole list."""
