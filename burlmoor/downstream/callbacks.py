"""What executors tell of the forwards that they have taken."""

from __future__ import annotations

from enum import Enum

import msgspec

from burlmoor.engine.engine import Engine
from burlmoor.types.outcome import Outcome


class _Event(msgspec.Struct):
    id: str
    target: str = msgspec.field(name="from")
    state: str
    share: float = 0.0
    result: str = ""


_DECODER = msgspec.json.Decoder(_Event)
_ENDS = {
    "done": Outcome.SERVED,
    "failed": Outcome.ERROR,
    "returned": Outcome.OVERLOADED,
    "lost": Outcome.RESET,
}


class CallbackResult(Enum):
    """What became of a call-back."""

    ACCEPTED = "taken"
    UNKNOWN = "unknown"  # no forward that it names is waited for here
    INVALID = "bad"


def handle_callback(engine: Engine, body: bytes) -> CallbackResult:
    """Tell the core what a call-back says.

    A call may come twice, before the 202, or for a forward that nobody waits for any more: then nothing is
    found and nothing happens, and the executor still gets its answer.
    """
    try:
        event = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return CallbackResult.INVALID
    forward = engine.find_attempt(event.id, event.target)
    if forward is None:
        return CallbackResult.UNKNOWN
    if event.state in _ENDS:
        engine.on_attempt_ended(forward, _ENDS[event.state], event.result.encode())
    elif event.state == "started":
        engine.on_attempt_started(forward)
    elif event.state == "running":
        engine.on_attempt_progressed(forward, event.share)
    return CallbackResult.ACCEPTED
