"""The final answers of jobs (protocol: "Clients to nodes"), and the interface that sends them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Served:
    """An executor has run the job; `body` is its result."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The job is rejected; it has not run or may run again, so the client may retry it."""

    retry_after_ms: float = 0.0  # sent as Retry-After; 0: no such header


@dataclass(frozen=True, slots=True)
class Failed:
    """The job has failed; it may have run."""


@dataclass(frozen=True, slots=True)
class DependencyFailed:
    """The job has not run and can't, because of a job that it depends on; a retry would fail the same way."""

    reason: str


FinalAnswer = Served | Rejected | Failed | DependencyFailed


class Responder(Protocol):
    """The connection of one job's client, to which the final answer is sent."""

    def detect_disconnect(self) -> bool:
        """Return whether the client has disconnected, which is then reported like any disconnect."""

    def respond(self, answer: FinalAnswer) -> None:
        """Send the final answer; called at most once."""
