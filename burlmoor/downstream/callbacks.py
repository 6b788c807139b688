"""The call-backs of executors: what they report of the attempts that they have accepted."""

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
    RETURNED = "returned"  # handed back, not started
    LOST = "lost"  # with the process that ran it


class _JobEvent(msgspec.Struct):
    id: str
    endpoint_name: str = msgspec.field(name="from")
    state: str  # any text: a state that is not a `CallbackState` changes nothing
    progress: float = msgspec.field(name="share", default=0.0)
    result: str = ""


_DECODER = msgspec.json.Decoder(_JobEvent)
_OUTCOMES_BY_STATE: dict[str, Outcome] = {
    CallbackState.DONE: Outcome.SERVED,
    CallbackState.FAILED: Outcome.ERROR,
    CallbackState.RETURNED: Outcome.OVERLOADED,
    CallbackState.LOST: Outcome.RESET,
}


class CallbackResult(Enum):
    """The result of handling a call-back."""

    ACCEPTED = "accepted"
    UNKNOWN = "unknown"  # it names no open attempt of this process
    INVALID = "invalid"


def handle_callback(jobs: JobRegistry, lifecycle: JobLifecycle, body: bytes) -> CallbackResult:
    """Report a call-back to the engine.

    It may arrive before the 202, and counts then too. One for an attempt that has ended, such as a repeated
    one, changes nothing, and the executor still gets its response.
    """
    try:
        event = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
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
