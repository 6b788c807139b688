"""The interfaces through which the engine uses upstream and discovery."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burlmoor.engine.job import Attempt


class Upstream(Protocol):
    """Starts attempts at executors, cancels them and checks health."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Start the attempt; its outcome is reported to `JobLifecycle.on_attempt_ended`.

        Once the endpoint has accepted the attempt, its call-back is expected to report the outcome.
        """

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt at its endpoint.

        `JobLifecycle.on_cancellation_confirmed` is called once the endpoint is known not to hold the job.
        """

    def check_health(self, endpoint: str) -> None:
        """Start a health check; the result is reported to `PolicyDriver.on_health_checked`."""


class Discovery(Protocol):
    """Gets the endpoint list from the discovery service; reports it to `PolicyDriver.on_endpoint_list`."""

    def watch(self) -> None:
        """Watch the endpoint list from now on."""

    def fetch(self) -> None:
        """Fetch the complete endpoint list once."""
