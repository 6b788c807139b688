"""What the engine requires of the parts around it, and its own parts of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.engine.job import Attempt, Job
    from burlmoor.types.reasons import EndReason


class Responder(Protocol):
    """The downstream side of one job."""

    def respond(self, answer: FinalAnswer) -> None:
        """Send the client its one final answer."""


class Upstream(Protocol):
    """The executors' side: starts attempts, cancels them and checks health."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Start the attempt; its end is reported to `Engine.on_attempt_ended`."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt at its endpoint.

        `Engine.on_attempt_cancelled` is called once the endpoint is known not to hold the job any more.
        """

    def check_health(self, endpoint: str) -> None:
        """Start a health check; the result is reported to `Engine.on_health_checked`."""


class Discovery(Protocol):
    """The client of the discovery service; lists are reported to `Engine.on_endpoint_list`."""

    def watch(self) -> None:
        """Keep a watch on the endpoint list from now on."""

    def fetch(self) -> None:
        """Fetch the complete endpoint list once."""


class JobAnswerer(Protocol):
    """The one place where jobs end: the engine, as its parts see it."""

    def answer_job(self, job: Job, answer: FinalAnswer, reason: EndReason | None = None) -> None:
        """Close an open job and give its client the final answer; the reason of one that is no result."""
