"""The actions that the policy asks its host to take; `id` is the job's number in the policy's events."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burlmoor.types.reasons import CancelReason, EndReason


class StartAttempt(NamedTuple):
    """Send a job to an endpoint; a job's attempts are numbered from 0 in the order of these actions."""

    id: int
    endpoint: str
    timeout_ms: float = 0.0  # 0: until the client's timeout


class RejectJob(NamedTuple):
    """Final answer: rejected, a retry is harmless."""

    id: int
    retry_after_ms: float = 0.0  # advice for the client; 0: none
    reason: EndReason | None = None


class FailJob(NamedTuple):
    """Final answer: failed. The client is not told whether the job has run."""

    id: int
    reason: EndReason | None = None


class CancelAttempt(NamedTuple):
    """Cancel one attempt, whose outcome is CANCELLED unless another one is on its way already."""

    id: int
    attempt: int
    reason: CancelReason | None = None


class SetTimer(NamedTuple):
    """Ask for a `TimerFired` event; timers can't be cancelled."""

    delay_ms: float
    token: int  # returned in the event


class WatchEndpoints(NamedTuple):
    """Keep a watch on the endpoint list from now on."""


class FetchEndpoints(NamedTuple):
    """Fetch the complete endpoint list once."""


class CheckHealth(NamedTuple):
    """Start a health check of an endpoint."""

    endpoint: str


class LogWarning(NamedTuple):
    """Log a line for the operators."""

    text: str


Action = (
    StartAttempt
    | RejectJob
    | FailJob
    | CancelAttempt
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | CheckHealth
    | LogWarning
)
