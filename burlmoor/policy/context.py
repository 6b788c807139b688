"""What the parts of the policy share: the node's state, its random numbers, and the actions decided on."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from burlmoor.policy.endpoints.endpoint_list import EndpointList
from burlmoor.policy.open_jobs import OpenJobs
from burlmoor.policy.safety import RetrySafety
from burlmoor.policy.statistics.node_statistics import NodeStatistics
from burlmoor.policy.timer_queue import TimerQueue
from burlmoor.types.actions import Action, LogWarning

if TYPE_CHECKING:
    from burlmoor.types.settings import Settings

WARNING_INTERVAL_MS = 10_000.0  # between two warnings of one kind: not one per job


class PolicyContext:
    """The state of one node's policy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.actions: list[Action] = []  # of this call of `Dispatcher.handle`
        self.statistics = NodeStatistics(settings)
        self.endpoints = EndpointList(settings, self.statistics, self.rng)
        self.timers = TimerQueue()
        self.safety = RetrySafety(settings.limits, self.actions)
        self.jobs = OpenJobs(self.safety, self.rng, settings.limits.max_retry_after_ms)
        self._warned_at: dict[str, float] = {}

    def warn(self, message: str, now: float) -> None:
        """Have a warning logged, unless the same one was a short while ago."""
        if now >= self._warned_at.get(message, -math.inf) + WARNING_INTERVAL_MS:
            self._warned_at[message] = now
            self.actions.append(LogWarning(message))
