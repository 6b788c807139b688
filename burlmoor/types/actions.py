"""The actions that the policy requests of its host; `id` is the job's number in the policy's events."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burlmoor.types.reasons import CancelReason, EndReason


class StartAttempt(NamedTuple):
    """Send a job to an endpoint; a job's attempts are numbered from 0, in the order of these actions."""

    id: int
    endpoint: str
    timeout_ms: float = 0.0  # 0: until the client's timeout


class RejectJob(NamedTuple):
    """Send the final answer that the job is rejected; the client may safely retry."""

    id: int
    retry_after_ms: float = 0.0  # for the client; 0: none
    reason: EndReason | None = None


class FailJob(NamedTuple):
    """Send the final answer that the job failed; it doesn't tell the client whether the job has run."""

    id: int
    reason: EndReason | None = None


class CancelAttempt(NamedTuple):
    """Cancel one attempt; it ends as CANCELLED unless another outcome is reported first."""

    id: int
    attempt: int
    reason: CancelReason | None = None


class SetTimer(NamedTuple):
    """Request a `TimerFired` event; timers can't be cancelled."""

    delay_ms: float
    token: int  # copied to the event


class WatchEndpoints(NamedTuple):
    """Watch the endpoint list from now on."""


class FetchEndpoints(NamedTuple):
    """Fetch the complete endpoint list once."""


class CheckHealth(NamedTuple):
    """Start a health check of an endpoint."""

    endpoint: str


class LogWarning(NamedTuple):
    """Log a warning for the operators."""

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
