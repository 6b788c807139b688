"""The actions that a node's policy asks its host to take."""

from __future__ import annotations

from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Start an attempt; it is dropped after `give_up` (0: when the client leaves)."""

    id: int
    endpoint: str
    timeout_ms: float = 0.0


class RejectJob(NamedTuple):
    """Final answer: turned away, a retry does no harm after `retry_after`."""

    id: int
    retry_after_ms: float = 0.0


class FailJob(NamedTuple):
    """Final answer: failed; promises nothing."""

    id: int


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a `Timer` event after `delay`."""

    delay_ms: float
    token: int


class WatchEndpoints(NamedTuple):
    """Ask to be told of changes to the list from now on."""


class FetchEndpoints(NamedTuple):
    """Ask once for the whole list."""


class CheckHealth(NamedTuple):
    """Look at an executor."""

    endpoint: str


class LogWarning(NamedTuple):
    """A line for the operators."""

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
