"""The components of the engine that are constructed before upstream and discovery, which report to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.counters import EventCounters
from burlmoor.engine.deadlines import DeadlineQueue
from burlmoor.engine.deferral_notifier import DeferralNotifier
from burlmoor.engine.job_lifecycle import JobLifecycle
from burlmoor.engine.job_log import JobLog
from burlmoor.engine.job_registry import JobRegistry
from burlmoor.engine.policy_driver import PolicyDriver
from burlmoor.invariants import InvariantMonitor
from burlmoor.policy.dispatcher import Dispatcher

if TYPE_CHECKING:
    from collections.abc import Callable

    from burlmoor.log import EventLogger
    from burlmoor.types.settings import Settings


class EngineCore:
    """Builds the components that hold the engine's state, and that upstream and discovery report to.

    `clock` returns ms; `wake` is called when `Engine.next_due` may return an earlier time than before.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        log: EventLogger,
        wake: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.wake = wake
        self.log = log
        self.counters = EventCounters()
        self.invariants = InvariantMonitor(log)
        self.job_log = JobLog(log, self.counters)
        self.jobs = JobRegistry(self.job_log, clock)
        self.deadlines = DeadlineQueue(settings.classes)
        self.dispatcher = Dispatcher(settings, seed)
        self.policy = PolicyDriver(self.dispatcher, self.jobs, log, wake)
        self.deferral_notifier = DeferralNotifier(self.jobs, self.deadlines, clock, wake)
        self.lifecycle = JobLifecycle(self.jobs, self.policy, self.deferral_notifier, self.job_log, clock)
