"""Runs random but legal event scripts, whose actions a checker that knows only the rules verifies."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

import pytest

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import Action, FailJob, RejectJob, StartAttempt
from burlmoor.types.endpoint_list import EndpointState, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    EndpointListUpdate,
    Event,
    JobRequest,
    TimerFired,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Idempotency, JobClass, Limits, Settings
from tests.support.dispatcher_driver import KEYED, LOOKUP, ONCE, entries, settings


@dataclass
class RequestRecord:
    """The state of one request, as the checker knows it."""

    job_class: JobClass
    deadline_at: float
    sends: list[tuple[float, str]] = field(default_factory=list)
    ends: dict[int, Outcome] = field(default_factory=dict)
    final_answers: int = 0
    is_over: bool = False


class RuleChecker:
    """Raises on any action that breaks a rule."""

    def __init__(self, node_settings: Settings) -> None:
        self.settings = node_settings
        self.records: dict[int, RequestRecord] = {}
        self.zones: dict[str, str] = {}
        self.live: set[str] = set()

    def on_list_update(self, event: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list."""
        if event.kind is not ListKind.DELTA:
            self.live.clear()
        for entry in event.entries:
            self.zones[entry.endpoint] = entry.zone
            (self.live.add if entry.state is EndpointState.LIVE else self.live.discard)(entry.endpoint)

    def possibly_run(self, record: RequestRecord) -> list[int]:
        """Return the numbers of the attempts that are not proved to have never run."""
        return [
            number
            for number in range(len(record.sends))
            if number not in record.ends or not record.ends[number].proves_not_started
        ]

    def check(self, now: float, action: Action) -> None:
        """Raise AssertionError if the action breaks a rule."""
        if not isinstance(action, StartAttempt | RejectJob | FailJob):
            return
        record = self.records[action.id]
        if isinstance(action, FailJob):
            assert not record.is_over, f"an answer to job {action.id} after the end"
            record.final_answers += 1
            record.is_over = True
            return
        assert not record.is_over, f"an action for job {action.id} after the end"
        if isinstance(action, StartAttempt):
            self.check_attempt(now, record, action)
            return
        is_idempotent = record.job_class.idempotency is Idempotency.IDEMPOTENT
        assert is_idempotent or not self.possibly_run(record), f"rejected job {action.id}, which may have run"
        record.final_answers += 1
        record.is_over = True

    def check_attempt(self, now: float, record: RequestRecord, action: StartAttempt) -> None:
        """Raise AssertionError if the attempt breaks a rule, otherwise record it."""
        possibly_run = self.possibly_run(record)
        idempotency = record.job_class.idempotency
        assert action.endpoint in self.live, f"sent job {action.id} to {action.endpoint}, which is not live"
        assert now < record.deadline_at, f"sent job {action.id} at {now}, deadline {record.deadline_at}"
        assert idempotency is not Idempotency.NON_IDEMPOTENT or not possibly_run, (
            f"sent non-idempotent job {action.id} again"
        )
        if idempotency is Idempotency.IDEMPOTENT_WITH_KEY and possibly_run:
            at, first = record.sends[possibly_run[0]]
            assert self.zones[first] == self.zones[action.endpoint], (
                f"job {action.id} left the deduplication scope"
            )
            assert now - at <= record.job_class.deduplication_window_ms, (
                f"job {action.id} sent after its window"
            )
        pending = [number for number in range(len(record.sends)) if number not in record.ends]
        assert len(pending) < (2 if self.settings.limits.may_hedge else 1), (
            f"too many pending attempts of job {action.id}: {len(pending) + 1}"
        )
        assert len(record.sends) < self.settings.limits.max_attempts, (
            f"too many attempts of job {action.id}: {len(record.sends) + 1}"
        )
        record.sends.append((now, action.endpoint))


class DeadlineReached(NamedTuple):
    """Marks the deadline of a request, when the checker verifies its answer; not an event of the policy."""

    job_id: int


class RandomScript:
    """One random script: arrivals, outcomes, notifications and list changes, in any legal order."""

    def __init__(self, seed: int, node_settings: Settings) -> None:
        self.rng = random.Random(seed)
        self.settings = node_settings
        self.dispatcher = Dispatcher(node_settings, seed)
        self.checker = RuleChecker(node_settings)
        self.fleet = entries(4, "a") + entries(3, "b")
        self.scheduled: list[tuple[float, Event | DeadlineReached]] = [
            (0.0, EndpointListUpdate(ListKind.CACHED, self.fleet))
        ]
        self.now = 0.0

    def run(self) -> RuleChecker:
        """Run for 25 seconds, with arrivals in the first 15; return the checker."""
        while self.now < 25_000.0:
            self.now += self.settings.tick_ms
            if self.rng.random() < 0.1 and self.now < 15_000.0:
                self.schedule_request()
            if self.rng.random() < 0.005:
                self.schedule_list_change()
            due = [event for at, event in self.scheduled if at <= self.now]
            self.scheduled = [(at, event) for at, event in self.scheduled if at > self.now]
            batch: list[Event] = [TimerFired(0)]
            for event in due:
                if isinstance(event, DeadlineReached):
                    self.check_answered(self.checker.records[event.job_id])
                else:
                    batch.append(self.apply(event))
            for action in self.dispatcher.handle(self.now, batch):
                self.checker.check(self.now, action)
                if isinstance(action, StartAttempt):
                    self.schedule_attempt_events(action)
        return self.checker

    def schedule_request(self) -> None:
        """Schedule a request, and its check at the deadline."""
        job_id = len(self.checker.records) + 1
        job_class = self.rng.choice(self.settings.classes)
        timeout_ms = self.rng.choice([job_class.deadline_ms, job_class.deadline_ms, 800.0])
        work_ms = self.rng.choice([0.0, 50.0, 300.0, 3000.0])
        key = self.rng.choice(["", "k1", "k2"])
        slots = self.rng.choice([1.0, 2.0])
        self.checker.records[job_id] = RequestRecord(job_class, self.now + timeout_ms)
        request = JobRequest(job_id, job_class.name, timeout_ms, work_ms, slots, affinity_key=key)
        self.scheduled.append((self.now, request))
        self.scheduled.append((self.now + timeout_ms, DeadlineReached(job_id)))

    def schedule_list_change(self) -> None:
        """Schedule a change of one endpoint's state, most often to live."""
        live = EndpointState.LIVE
        state = self.rng.choice([live, live, live, EndpointState.DRAINING, EndpointState.GONE])
        changed = self.rng.choice(self.fleet)._replace(state=state)
        self.scheduled.append((self.now, EndpointListUpdate(ListKind.DELTA, [changed])))

    def check_answered(self, record: RequestRecord) -> None:
        """Check that a request at its deadline is answered, or has a pending attempt that may answer it."""
        is_pending = any(number not in record.ends for number in range(len(record.sends)))
        assert record.is_over or is_pending, "unanswered"

    def apply(self, event: Event) -> Event:
        """Update the checker's records with an event; return the event as the dispatcher gets it."""
        if isinstance(event, EndpointListUpdate):
            self.checker.on_list_update(event)
        if not isinstance(event, AttemptEnded):
            return event
        record = self.checker.records[event.id]
        record.ends[event.attempt] = event.outcome
        is_closed = record.is_over or event.outcome is Outcome.SERVED
        record.final_answers += is_closed and not record.is_over
        record.is_over = is_closed
        return event._replace(is_job_closed=is_closed)

    def schedule_attempt_events(self, action: StartAttempt) -> None:
        """Schedule the events of an attempt."""
        record = self.checker.records[action.id]
        number = len(record.sends) - 1
        start = self.now + self.rng.choice([1.0, 5.0, 400.0])
        end = self.now + self.rng.uniform(5.0, 1500.0)
        outcome = self.rng.choice([Outcome.SERVED, Outcome.SERVED, *Outcome])
        if end >= record.deadline_at:
            end = record.deadline_at
            outcome = Outcome.TIMEOUT
        attempt = (action.id, number, action.endpoint)
        if start < end and not outcome.proves_not_started:
            self.scheduled.append((start, AttemptStarted(*attempt)))
            self.scheduled.append((0.5 * (start + end), AttemptProgressed(*attempt, 0.5)))
        self.scheduled.append((end, AttemptEnded(*attempt, outcome, end - self.now, is_job_closed=False)))


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("may_hedge", [True, False])
def test_random_scripts_keep_the_rules(seed: int, *, may_hedge: bool) -> None:
    limits = Limits(max_attempts=3, may_cancel=True, may_hedge=may_hedge, sends_retry_after=True)
    checker = RandomScript(seed, settings(limits=limits, node_count=3)).run()
    assert len(checker.records) > 100
    assert all(record.final_answers == 1 for record in checker.records.values())
    assert sum(len(record.sends) for record in checker.records.values()) > 40  # the scripts do send attempts


def check_actions(*actions: Action, job_class: JobClass, outcome: Outcome | None = None) -> None:
    """Run a checker on these actions for one job, whose attempts end with this outcome or stay pending."""
    checker = RuleChecker(settings())
    checker.on_list_update(EndpointListUpdate(ListKind.SNAPSHOT, entries(1, "a") + entries(1, "b")))
    checker.records[1] = RequestRecord(job_class, 5000.0)
    for action in actions:
        checker.check(100.0, action)
        if isinstance(action, StartAttempt) and outcome is not None:
            checker.records[1].ends[len(checker.records[1].sends) - 1] = outcome


@pytest.mark.parametrize(
    ("actions", "job_class", "outcome", "message"),
    [
        ((RejectJob(1), FailJob(1)), LOOKUP, None, "after the end"),
        ((StartAttempt(1, "a0"), RejectJob(1)), ONCE, Outcome.ERROR, "may have run"),
        ((StartAttempt(1, "a0"), StartAttempt(1, "a0")), ONCE, Outcome.RESET, "sent non-idempotent job"),
        (
            (StartAttempt(1, "a0"), StartAttempt(1, "b0")),
            KEYED,
            Outcome.RESET,
            "left the deduplication scope",
        ),
        ((StartAttempt(1, "c0"),), LOOKUP, None, "not live"),
        (
            (StartAttempt(1, "a0"), StartAttempt(1, "b0"), StartAttempt(1, "a0")),
            LOOKUP,
            None,
            "too many pending",
        ),
    ],
)
def test_the_checker_catches_violations(
    actions: tuple[Action, ...], job_class: JobClass, outcome: Outcome | None, message: str
) -> None:
    with pytest.raises(AssertionError, match=message):
        check_actions(*actions, job_class=job_class, outcome=outcome)
