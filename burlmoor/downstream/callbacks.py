"""Decodes the call-backs in which executors report on their attempts, and passes them to the engine."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import TYPE_CHECKING

import msgspec

from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from burlmoor.engine.job_lifecycle import JobLifecycle
    from burlmoor.engine.job_registry import JobRegistry


class CallbackState(StrEnum):
    """The state of an attempt at its executor; the value is its name on the wire."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # handed back without being started
    LOST = "lost"  # the process that ran it has ended


class _CallbackBody(msgspec.Struct):
    id: str
    endpoint_name: str = msgspec.field(name="from")
    state: str  # a `CallbackState`; any other text is ignored
    progress: float = msgspec.field(name="share", default=0.0)
    result: str = ""


_DECODER = msgspec.json.Decoder(_CallbackBody)
_OUTCOMES_BY_STATE: dict[str, Outcome] = {
    CallbackState.DONE: Outcome.SERVED,
    CallbackState.FAILED: Outcome.ERROR,
    CallbackState.RETURNED: Outcome.OVERLOADED,
    CallbackState.LOST: Outcome.RESET,
}


class CallbackResult(Enum):
    """The result of handling a call-back."""

    ACCEPTED = "accepted"
    UNKNOWN = "unknown"  # no open attempt of this process has its job id and endpoint
    INVALID = "invalid"  # its body can't be decoded


def handle_callback(jobs: JobRegistry, lifecycle: JobLifecycle, body: bytes) -> CallbackResult:
    """Decode a call-back and report it to the engine.

    A call-back may arrive before the executor's 202 response to the attempt, and is then handled in the same
    way. A call-back for an attempt that has ended, such as a repeated one, is accepted and changes nothing.
    """
    try:
        event = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return CallbackResult.INVALID
    attempt = jobs.find_attempt(event.id, event.endpoint_name)
    if attempt is None:
        return CallbackResult.UNKNOWN
    outcome = _OUTCOMES_BY_STATE.get(event.state)
    if outcome is not None:
        lifecycle.on_attempt_ended(attempt, outcome, event.result.encode())
    elif event.state == CallbackState.STARTED:
        lifecycle.on_attempt_started(attempt)
    elif event.state == CallbackState.RUNNING:
        lifecycle.on_attempt_progressed(attempt, event.progress)
    return CallbackResult.ACCEPTED
