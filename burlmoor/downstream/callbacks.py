"""What executors report of the attempts that they have accepted."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from burlmoor.types.outcome import Outcome

if TYPE_CHECKING:
    from burlmoor.engine.core import EngineCore


class _JobEvent(msgspec.Struct):
    id: str
    endpoint_name: str = msgspec.field(name="from")
    state: str
    progress: float = msgspec.field(name="share", default=0.0)
    result: str = ""


_DECODER = msgspec.json.Decoder(_JobEvent)
_OUTCOMES_BY_STATE = {
    "done": Outcome.SERVED,
    "failed": Outcome.ERROR,
    "returned": Outcome.OVERLOADED,
    "lost": Outcome.RESET,
}


class CallbackResult(Enum):
    """What became of a call-back."""

    ACCEPTED = "accepted"
    UNKNOWN = "unknown"  # no open attempt here is the one that it names
    INVALID = "invalid"


def handle_callback(core: EngineCore, body: bytes) -> CallbackResult:
    """Pass a call-back on to the engine.

    A call-back may come twice, before the 202, or for an attempt that no job waits for any more: then no
    attempt is found and nothing happens, and the executor still gets its response.
    """
    try:
        event = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return CallbackResult.INVALID
    attempt = core.jobs.find_attempt(event.id, event.endpoint_name)
    if attempt is None:
        return CallbackResult.UNKNOWN
    if event.state in _OUTCOMES_BY_STATE:
        core.lifecycle.on_attempt_ended(attempt, _OUTCOMES_BY_STATE[event.state], event.result.encode())
    elif event.state == "started":
        core.lifecycle.on_attempt_started(attempt)
    elif event.state == "running":
        core.lifecycle.on_attempt_progressed(attempt, event.progress)
    return CallbackResult.ACCEPTED
