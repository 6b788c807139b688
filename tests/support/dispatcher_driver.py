"""A scripted conversation with one dispatcher."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import Action, SetTimer, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, ListKind
from burlmoor.types.events import AttemptEnded, EndpointListUpdate, Event, JobRequest, TimerFired
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import DeduplicationScope, Idempotency, JobClass, Limits, Rules, Settings

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


class Talk:
    """Drives a dispatcher event by event and keeps all that it answers."""

    def __init__(
        self,
        given: Settings | None = None,
        listed: Iterable[EndpointEntry] | None = None,
        now: float = 1000.0,
        seed: int = 1,
    ) -> None:
        self.given = given or settings()
        self.node = Dispatcher(self.given, seed)
        self.now = now
        self.timers: list[float] = []
        self.said: list[Action] = []
        self.tell(EndpointListUpdate(ListKind.CACHED, list(entries(4) if listed is None else listed)))

    def tell(self, *events: Event) -> list[Action]:
        actions = self.node.handle(self.now, list(events))
        self.timers += [self.now + action.delay_ms for action in actions if isinstance(action, SetTimer)]
        self.said += actions
        return actions

    def run(self, duration: float) -> list[Action]:
        """Let time pass: fire the timers as they come due."""
        end = self.now + duration
        actions: list[Action] = []
        for _ in range(100_000):
            due = min((at for at in self.timers if at <= end), default=None)
            if due is None:
                self.now = end
                return actions
            self.timers.remove(due)
            self.now = max(self.now, due)
            actions += self.tell(TimerFired(0))
        raise AssertionError("the dispatcher keeps setting timers without end")

    def ask(self, ref: int, job_class: str = "lookup", **changes: Any) -> list[Action]:
        base: dict[str, Any] = {"timeout_ms": 5000.0, "work_ms": 300.0}
        return self.tell(JobRequest(ref, job_class, **{**base, **changes}))

    def placed(self, ref: int, job_class: str = "lookup", **changes: Any) -> StartAttempt:
        """Ask, let a round pass, and return the send."""
        self.ask(ref, job_class, **changes)
        self.run(60.0)
        return self.all(StartAttempt, ref)[-1]

    def end(
        self, send: StartAttempt, outcome: Outcome, attempt: int = 0, closed: bool | None = None
    ) -> list[Action]:
        over = outcome is Outcome.SERVED if closed is None else closed
        return self.tell(AttemptEnded(send.id, attempt, send.endpoint, outcome, 10.0, over))

    def all(self, kind: type[A], ref: int | None = None) -> list[A]:
        return [
            a for a in self.said if isinstance(a, kind) and (ref is None or getattr(a, "id", None) == ref)
        ]
