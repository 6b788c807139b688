"""Protocols of the components that can be attached to and detached from the downstream server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import socket
    from collections.abc import Sequence

    from burlmoor.engine.deferral import RunConditions


class SuccessorProcess(Protocol):
    """The process that accepts connections in place of this one after a handover."""

    def pass_connection(self, sock: socket.socket, *, has_been_used: bool, age_seconds: float) -> None:
        """Take over an idle connection and its socket.

        `has_been_used` is whether a complete request has arrived on it, `age_seconds` the time since it was
        accepted.
        """


class CallbackForwarder(Protocol):
    """Forwards call-backs to the node's other processes."""

    async def forward_callback(self, body: bytes) -> bool:
        """Forward a call-back for a job that is unknown here.

        Returns False if a connected process did not acknowledge it.
        """


class AdmissionObserver(Protocol):
    """Notifies the node's other processes of admitted jobs."""

    def on_job_admitted(self, request_id: str) -> None:
        """Handle that this process has admitted a job."""


class RunConditionParser(Protocol):
    """Parses the headers of a job submission that state when the job may run."""

    def __call__(
        self, headers: Sequence[tuple[bytes, bytes]], request_id: str, body_bytes: int, /
    ) -> RunConditions | None:
        """Return the run conditions of a job submission, or None if its headers set none.

        Raises:
            InvalidConditionError: a header with a run condition is invalid.
        """


class DrainObserver(Protocol):
    """Is called at each sweep with whether the node is closing its clients' connections."""

    def __call__(self, *, is_closing_connections: bool) -> None:
        """Handle a sweep; connections are closed in the later part of a drain or of a shutdown."""
