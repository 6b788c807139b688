"""Rate-limited warnings from the policy to the operators."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from burlmoor.types.actions import LogWarning

if TYPE_CHECKING:
    from burlmoor.policy.action_batch import ActionBatch

WARNING_INTERVAL_MS = 10_000.0  # between two warnings of one kind


class PolicyWarning(Enum):
    """One kind of warning; the value is the text in the log."""

    OVERLOAD = "overload: refusing the least worth"
    SILENT_ENDPOINTS = "silent executors: moving repeatable work away"


class WarningLimiter:
    """Logs each kind of warning at most once per interval."""

    def __init__(self, actions: ActionBatch) -> None:
        self._actions = actions
        self._warned_at: dict[PolicyWarning, float] = {}

    def warn(self, warning: PolicyWarning, now: float) -> None:
        """Log a warning, unless the same one was logged within the interval."""
        if now >= self._warned_at.get(warning, -math.inf) + WARNING_INTERVAL_MS:
            self._warned_at[warning] = now
            self._actions.add(LogWarning(warning.value))
