"""Scripted event sequences for one dispatcher."""

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

A = TypeVar("A")

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
RULES = Rules(20.0, 500.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0)


def settings(**changes: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": (LOOKUP, KEYED, ONCE),
        "limits": LIMITS,
        "rules": RULES,
        "zone": "a",
        "tick_ms": 5.0,
        "progress_interval_ms": 1000.0,
        "reports_start": True,
        "weight_by_work": True,
    }
    return Settings(**{**base, **changes})


def entries(count: int, zone: str = "a", **changes: Any) -> list[EndpointEntry]:
    base: dict[str, Any] = {"zone": zone, "weight": 4.0, "kind": "std"}
    return [EndpointEntry(f"{zone}{i}", **{**base, **changes}) for i in range(count)]


class DispatcherDriver:
    """Drives a dispatcher event by event and keeps all actions that it returns."""

    def __init__(
        self,
        given: Settings | None = None,
        listed: Iterable[EndpointEntry] | None = None,
        now: float = 1000.0,
        seed: int = 1,
    ) -> None:
        self.settings = given or settings()
        self.dispatcher = Dispatcher(self.settings, seed)
        self.now = now
        self.timers_at: list[float] = []
        self.actions: list[Action] = []
        self.handle(EndpointListUpdate(ListKind.CACHED, list(entries(4) if listed is None else listed)))

    def handle(self, *events: Event) -> list[Action]:
        actions = self.dispatcher.handle(self.now, list(events))
        self.timers_at += [self.now + action.delay_ms for action in actions if isinstance(action, SetTimer)]
        self.actions += actions
        return actions

    def run(self, duration: float) -> list[Action]:
        """Let time pass, firing the timers as they come due; return the actions."""
        end = self.now + duration
        actions: list[Action] = []
        for _ in range(100_000):
            due = min((at for at in self.timers_at if at <= end), default=None)
            if due is None:
                self.now = end
                return actions
            self.timers_at.remove(due)
            self.now = max(self.now, due)
            actions += self.handle(TimerFired(0))
        pytest.fail("the dispatcher keeps setting timers without end")

    def request(self, job_id: int, job_class: str = "lookup", **changes: Any) -> list[Action]:
        base: dict[str, Any] = {"timeout_ms": 5000.0, "work_ms": 300.0}
        return self.handle(JobRequest(job_id, job_class, **{**base, **changes}))

    def request_and_place(self, job_id: int, job_class: str = "lookup", **changes: Any) -> StartAttempt:
        """Request a job, let a round pass, and return its latest attempt."""
        self.request(job_id, job_class, **changes)
        self.run(60.0)
        return self.actions_of(StartAttempt, job_id)[-1]

    def end_attempt(
        self, send: StartAttempt, outcome: Outcome, attempt: int = 0, closed: bool | None = None
    ) -> list[Action]:
        over = outcome is Outcome.SERVED if closed is None else closed
        return self.handle(AttemptEnded(send.id, attempt, send.endpoint, outcome, 10.0, over))

    def actions_of(self, kind: type[A], job_id: int | None = None) -> list[A]:
        return [
            a
            for a in self.actions
            if isinstance(a, kind) and (job_id is None or getattr(a, "id", None) == job_id)
        ]
