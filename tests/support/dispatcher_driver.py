"""Drives one dispatcher with a scripted sequence of events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import pytest

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import Action, SetTimer, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.types.events import AttemptEnded, EndpointListUpdate, Event, JobRequest, TimerFired
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import DeduplicationScope, Idempotency, JobClass, Limits, Rules, Settings

if TYPE_CHECKING:
    from collections.abc import Iterable

ActionT = TypeVar("ActionT")

MAX_TIMERS_PER_RUN = 100_000  # exceeded only by a dispatcher that sets timers endlessly

LOOKUP = JobClass(
    "lookup", priority_weight=1.0, latency_objective_ms=400.0, objective_stretch=2.0, deadline_ms=5000.0
)
KEYED = JobClass(
    "keyed",
    priority_weight=5.0,
    latency_objective_ms=400.0,
    objective_stretch=2.0,
    deadline_ms=6000.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_ms=3000.0,
)
ONCE = JobClass(
    "once",
    priority_weight=3.0,
    latency_objective_ms=400.0,
    objective_stretch=2.0,
    deadline_ms=5000.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
)
LIMITS = Limits(max_attempts=4, may_cancel=True, may_hedge=True, sends_retry_after=True)
RULES = Rules(
    response_slack_ms=20.0,
    drain_grace_ms=500.0,
    initial_capacity_fraction=0.2,
    slow_start_ms=10_000.0,
    overload_multiple=3.0,
    overload_window_ms=2000.0,
    poll_interval_ms=10_000.0,
)


def settings(**changes: object) -> Settings:
    """Return the default test settings with these fields changed."""
    fields: dict[str, Any] = {
        "classes": (LOOKUP, KEYED, ONCE),
        "limits": LIMITS,
        "rules": RULES,
        "zone": "a",
        "tick_ms": 5.0,
        "progress_interval_ms": 1000.0,
        "reports_start": True,
        "weight_by_work": True,
        **changes,
    }
    return Settings(**fields)


def entries(count: int, zone: str = "a", **changes: object) -> list[EndpointEntry]:
    """Return live endpoints, named by their zone and a number, with these fields changed."""
    fields: dict[str, Any] = {"zone": zone, "weight": 4.0, "kind": "std", **changes}
    return [EndpointEntry(f"{zone}{number}", **fields) for number in range(count)]


class DispatcherDriver:
    """Passes events to a dispatcher and records all actions that it returns. Times are in ms."""

    def __init__(
        self,
        custom_settings: Settings | None = None,
        listed: Iterable[EndpointEntry] | None = None,
        now: float = 1000.0,
        seed: int = 1,
    ) -> None:
        self.settings = custom_settings or settings()
        self.dispatcher = Dispatcher(self.settings, seed)
        self.now = now
        self.timers_at: list[float] = []
        self.actions: list[Action] = []
        self.handle(EndpointListUpdate(ListKind.CACHED, list(entries(4) if listed is None else listed)))

    def handle(self, *events: Event) -> list[Action]:
        """Pass events to the dispatcher at the current time; return its actions."""
        actions = self.dispatcher.handle(self.now, list(events))
        self.timers_at += [self.now + action.delay_ms for action in actions if isinstance(action, SetTimer)]
        self.actions += actions
        return actions

    def run(self, duration: float) -> list[Action]:
        """Let time pass, firing the timers as they become due; return the actions."""
        end = self.now + duration
        actions: list[Action] = []
        for _ in range(MAX_TIMERS_PER_RUN):
            due = min((at for at in self.timers_at if at <= end), default=None)
            if due is None:
                self.now = end
                return actions
            self.timers_at.remove(due)
            self.now = max(self.now, due)
            actions += self.handle(TimerFired(0))
        pytest.fail(f"the dispatcher set more than {MAX_TIMERS_PER_RUN} timers in one run")

    def request(self, job_id: int, job_class: str = "lookup", **changes: object) -> list[Action]:
        """Request a job with these fields changed; return the actions."""
        fields: dict[str, Any] = {"timeout_ms": 5000.0, "work_ms": 300.0, **changes}
        return self.handle(JobRequest(job_id, job_class, **fields))

    def request_and_place(self, job_id: int, job_class: str = "lookup", **changes: object) -> StartAttempt:
        """Request a job, let a dispatch round run, and return the job's latest attempt."""
        self.request(job_id, job_class, **changes)
        self.run(60.0)
        return self.actions_of(StartAttempt, job_id)[-1]

    def end_attempt(self, start: StartAttempt, outcome: Outcome, number: int = 0) -> list[Action]:
        """End an attempt 10 ms after its start; the outcome `SERVED` closes the job."""
        is_closed = outcome is Outcome.SERVED
        return self.handle(AttemptEnded(start.id, number, start.endpoint, outcome, 10.0, is_closed))

    def actions_of(self, kind: type[ActionT], job_id: int | None = None) -> list[ActionT]:
        """Return all actions of a type so far, of all jobs or of one."""
        return [
            action
            for action in self.actions
            if isinstance(action, kind) and (job_id is None or getattr(action, "id", None) == job_id)
        ]
