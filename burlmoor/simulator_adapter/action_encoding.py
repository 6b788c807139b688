"""Encodes the policy's actions as decisions on the simulator's wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burlmoor.types.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailJob,
    FetchEndpoints,
    LogWarning,
    RejectJob,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.simulator_adapter.wire import Row

_ENCODERS: dict[type[Action], Callable[[Any], Row]] = {
    StartAttempt: lambda action: ["Issue", action.id, action.endpoint, action.timeout_ms],
    RejectJob: lambda action: ["OverloadReply", action.id, action.retry_after_ms],
    FailJob: lambda action: ["ReportFailure", action.id],
    CancelAttempt: lambda action: ["Abandon", action.id, action.attempt],
    SetTimer: lambda action: ["Remind", action.delay_ms, action.token],
    WatchEndpoints: lambda _action: ["KeepInformed", True],
    FetchEndpoints: lambda _action: ["Reload"],
    CheckHealth: lambda action: ["Check", action.endpoint],
    LogWarning: lambda action: ["Debug", action.text],
}


def encode_action(action: Action) -> Row:
    """Return the decision that represents an action."""
    return _ENCODERS[type(action)](action)


def encode_internal_error(error: Exception) -> Row:
    """Return the decision that reports an exception raised by a dispatcher."""
    return ["InternalError", repr(error)]
