"""Random but legal event scripts, judged from outside by a checker that knows the rules alone."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from burlmoor.policy.dispatcher import Dispatcher
from burlmoor.types.actions import Action, FailJob, RejectJob, StartAttempt
from burlmoor.types.endpoint_list import EndpointState, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    JobRequest,
    TimerFired,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Idempotency, JobClass, Limits, Settings
from tests.support.dispatcher_driver import KEYED, LOOKUP, ONCE, entries, settings


@dataclass
class Record:
    """What a checker knows of one request."""

    job_class: JobClass
    deadline_at: float
    sends: list[tuple[float, str]] = field(default_factory=list)
    ends: dict[int, Outcome] = field(default_factory=dict)
    final: int = 0
    over: bool = False


class Checker:
    """Raises on any action that breaks a rule."""

    def __init__(self, given: Settings) -> None:
        self.given = given
        self.records: dict[int, Record] = {}
        self.zones: dict[str, str] = {}
        self.live: set[str] = set()

    def listed(self, event: EndpointListUpdate) -> None:
        if event.kind is not ListKind.DELTA:
            self.live.clear()
        for entry in event.entries:
            self.zones[entry.endpoint] = entry.zone
            (self.live.add if entry.state is EndpointState.LIVE else self.live.discard)(entry.endpoint)

    def risky(self, record: Record) -> list[int]:
        return [
            n
            for n in range(len(record.sends))
            if n not in record.ends or not record.ends[n].proves_not_started
        ]

    def took(self, now: float, action: Action) -> None:
        if not isinstance(action, StartAttempt | RejectJob | FailJob):
            return
        record = self.records[action.id]
        if isinstance(action, FailJob):
            assert not record.over, "an answer after the end"
            record.final += 1
            record.over = True
            return
        risky = self.risky(record)
        effect = record.job_class.idempotency
        assert not record.over, "something after the end"
        if isinstance(action, RejectJob):
            assert effect is Idempotency.IDEMPOTENT or not risky, "refused what may have run"
            record.final += 1
            record.over = True
            return
        assert action.endpoint in self.live, "sent to what is not live"
        assert now < record.deadline_at, "sent after the deadline"
        assert effect is not Idempotency.NON_IDEMPOTENT or not risky, "sent twice what must run once"
        if effect is Idempotency.IDEMPOTENT_WITH_KEY and risky:
            at, first = record.sends[risky[0]]
            assert self.zones[first] == self.zones[action.endpoint], "left the group"
            assert now - at <= record.job_class.deduplication_window_ms, "past the window"
        out = [n for n in range(len(record.sends)) if n not in record.ends]
        assert len(out) < (2 if self.given.limits.may_hedge else 1), "too many out"
        assert len(record.sends) < self.given.limits.max_attempts, "too many attempts"
        record.sends.append((now, action.endpoint))


def play(seed: int, given: Settings) -> Checker:
    """One random script: arrivals, outcomes, notes, list changes, in any legal order."""
    rng = random.Random(seed)
    node, checker = Dispatcher(given, seed), Checker(given)
    fleet = entries(4, "a") + entries(3, "b")
    pending: list[tuple[float, Event]] = [(0.0, EndpointListUpdate(ListKind.CACHED, fleet))]
    now, ref = 0.0, 0
    while now < 25_000.0:
        now += given.tick_ms
        if rng.random() < 0.1 and now < 15_000.0:
            ref += 1
            job_class = rng.choice(given.classes)
            patience = rng.choice([job_class.deadline_ms, job_class.deadline_ms, 800.0])
            work = rng.choice([0.0, 50.0, 300.0, 3000.0])
            key = rng.choice(["", "k1", "k2"])
            checker.records[ref] = Record(job_class, now + patience)
            pending.append(
                (
                    now,
                    JobRequest(ref, job_class.name, patience, work, rng.choice([1.0, 2.0]), affinity_key=key),
                )
            )
            pending.append((now + patience, ClientDisconnected(-ref)))
        if rng.random() < 0.005:
            state = rng.choice(
                [
                    EndpointState.LIVE,
                    EndpointState.LIVE,
                    EndpointState.LIVE,
                    EndpointState.DRAINING,
                    EndpointState.GONE,
                ]
            )
            pending.append(
                (now, EndpointListUpdate(ListKind.DELTA, [rng.choice(fleet)._replace(state=state)]))
            )
        due = [event for at, event in pending if at <= now]
        pending = [(at, event) for at, event in pending if at > now]
        batch: list[Event] = [TimerFired(0)]
        for event in due:
            if isinstance(event, ClientDisconnected):
                record = checker.records[-event.id]
                assert record.over or any(n not in record.ends for n in range(len(record.sends))), (
                    "unanswered"
                )
                continue
            if isinstance(event, AttemptEnded):
                record = checker.records[event.id]
                record.ends[event.attempt] = event.outcome
                closed = record.over or event.outcome is Outcome.SERVED
                record.final += closed and not record.over
                record.over = closed
                event = event._replace(is_job_closed=closed)  # noqa: PLW2901
            if isinstance(event, EndpointListUpdate):
                checker.listed(event)
            batch.append(event)
        for action in node.handle(now, batch):
            checker.took(now, action)
            if isinstance(action, StartAttempt):
                number = len(checker.records[action.id].sends) - 1
                deadline_at = checker.records[action.id].deadline_at
                start, end = now + rng.choice([1.0, 5.0, 400.0]), now + rng.uniform(5.0, 1500.0)
                outcome = rng.choice([Outcome.SERVED, Outcome.SERVED, *Outcome])
                if end >= deadline_at:
                    end, outcome = deadline_at, Outcome.TIMEOUT
                if start < end and not outcome.proves_not_started:
                    pending.append((start, AttemptStarted(action.id, number, action.endpoint)))
                    pending.append(
                        (0.5 * (start + end), AttemptProgressed(action.id, number, action.endpoint, 0.5))
                    )
                pending.append(
                    (end, AttemptEnded(action.id, number, action.endpoint, outcome, end - now, False))
                )
    return checker


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("copies", [True, False])
def test_random_scripts_keep_the_rules(seed: int, copies: bool) -> None:
    limits = Limits(max_attempts=3, may_cancel=True, may_hedge=copies, sends_retry_after=True)
    checker = play(seed, settings(limits=limits, node_count=3))
    assert len(checker.records) > 100
    assert all(record.final == 1 for record in checker.records.values())
    assert sum(len(record.sends) for record in checker.records.values()) > 40  # the scripts do send


def violating(*actions: Action, job_class: JobClass, ended: Outcome | None = None) -> None:
    checker = Checker(settings())
    checker.listed(EndpointListUpdate(ListKind.SNAPSHOT, entries(1, "a") + entries(1, "b")))
    checker.records[1] = Record(job_class, 5000.0)
    for action in actions:
        checker.took(100.0, action)
        if isinstance(action, StartAttempt) and ended is not None:
            checker.records[1].ends[len(checker.records[1].sends) - 1] = ended


@pytest.mark.parametrize(
    ("actions", "job_class", "ended", "words"),
    [
        ((RejectJob(1), FailJob(1)), LOOKUP, None, "after the end"),
        ((StartAttempt(1, "a0"), RejectJob(1)), ONCE, Outcome.ERROR, "may have run"),
        ((StartAttempt(1, "a0"), StartAttempt(1, "a0")), ONCE, Outcome.RESET, "must run once"),
        ((StartAttempt(1, "a0"), StartAttempt(1, "b0")), KEYED, Outcome.RESET, "left the group"),
        ((StartAttempt(1, "c0"),), LOOKUP, None, "not live"),
        (
            (StartAttempt(1, "a0"), StartAttempt(1, "b0"), StartAttempt(1, "a0")),
            LOOKUP,
            None,
            "too many out",
        ),
    ],
)
def test_the_checker_catches_violations(
    actions: tuple[Action, ...], job_class: JobClass, ended: Outcome | None, words: str
) -> None:
    with pytest.raises(AssertionError, match=words):
        violating(*actions, job_class=job_class, ended=ended)
