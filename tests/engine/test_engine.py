"""The core with a fake clock: outcomes, one final answer each, deadlines, call-backs that come twice."""

from __future__ import annotations

from typing import Any

import pytest

from burlmoor.engine.answers import Failed, FinalAnswer, Rejected, Served
from burlmoor.engine.engine import Engine
from burlmoor.engine.job import Attempt, Job
from burlmoor.types.actions import Action, FailJob, RejectJob, StartAttempt
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Limits
from tests.support.dispatcher_driver import entries, settings


class Client:
    """A listener that keeps what it is answered."""

    def __init__(self) -> None:
        self.answers: list[FinalAnswer] = []

    def respond(self, answer: FinalAnswer) -> None:
        self.answers.append(answer)


class World:
    """A core, its clock, and what it asks of its targets and of discovery."""

    def __init__(self, **changes: Any) -> None:
        self.now = 1000.0
        self.said: list[str] = []
        self.sent: list[Attempt] = []
        self.abandoned: list[Attempt] = []
        self.woken = 0
        self.core = Engine(settings(**changes), 1, lambda: self.now, self.say, self.wake)
        self.core.connect(self, self)
        self.core.on_endpoint_list(ListKind.CACHED, entries(4))
        self.core.step()

    def say(self, event: str, **_fields: Any) -> None:
        self.said.append(event)

    def wake(self) -> None:
        self.woken += 1

    def start_attempt(self, forward: Attempt) -> None:
        self.sent.append(forward)

    def cancel_attempt(self, forward: Attempt) -> None:
        self.abandoned.append(forward)

    def check_health(self, target: str) -> None:
        self.core.on_health_checked(target, Outcome.SERVED, 1.0)

    def watch(self) -> None: ...

    def fetch(self) -> None: ...

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self.core.next_due() <= end:
            self.now = max(self.now, self.core.next_due())
            self.core.step()
        self.now = end

    def ask(
        self, name: str = "lookup", timeout_ms: float = 5000.0, ref: str = "a1", work_ms: float = 100.0
    ) -> tuple[Client, Job]:
        client = Client()
        job = self.core.admit(client, ref, JobRequest(0, name, timeout_ms, work_ms), None)
        assert job is not None
        return client, job

    def job(self, request_id: str) -> Job:
        job = self.core.jobs.find_by_id(request_id)
        assert job is not None
        return job

    def placed(self, name: str = "lookup", **given: Any) -> tuple[Client, Attempt]:
        client, job = self.ask(name, **given)
        self.run(60.0)
        return client, job.attempts[-1]


NEVER = [Outcome.OVERLOADED, Outcome.UNREACHABLE]
PERHAPS = [Outcome.ERROR, Outcome.RESET]


@pytest.mark.parametrize("name", ["lookup", "once"])
@pytest.mark.parametrize("outcome", NEVER + PERHAPS)
def test_only_what_never_ran_goes_out_again_where_it_must_run_once(name: str, outcome: Outcome) -> None:
    world = World()
    client, forward = world.placed(name)
    world.core.on_attempt_ended(forward, outcome)
    world.run(100.0)
    if name == "once" and outcome in PERHAPS:
        assert client.answers == [Failed()]
        assert len(world.sent) == 1
    else:
        assert client.answers == []
        assert len(world.sent) == 2
        assert world.sent[1].endpoint != forward.endpoint


def test_the_first_result_is_the_answer_and_told_again_changes_nothing() -> None:
    world = World()
    client, forward = world.placed()
    assert world.core.find_attempt("a1", forward.endpoint) is forward
    assert world.core.find_attempt("a1", "other") is None
    world.core.on_attempt_ended(forward, Outcome.SERVED, b"one")
    world.core.on_attempt_ended(forward, Outcome.SERVED, b"two")
    assert world.core.find_attempt("a1", forward.endpoint) is None
    world.run(10_000.0)
    assert client.answers == [Served(b"one")]
    assert world.core.open_job_count == 0


@pytest.mark.parametrize(("name", "answer"), [("lookup", Rejected), ("once", Failed)])
def test_a_silent_target_is_given_up_and_the_client_answered_by_the_deadline(
    name: str, answer: type[FinalAnswer]
) -> None:
    world = World()
    client, forward = world.placed(name, timeout_ms=900.0)
    world.core.on_attempt_started(forward)
    world.run(900.0)
    assert [type(each) for each in client.answers] == [answer]
    assert forward in world.abandoned
    assert world.core.next_due() > world.now


@pytest.mark.parametrize(("sent", "answer"), [(False, Rejected()), (True, Failed())])
def test_the_core_answers_at_the_deadline_where_the_module_fails(
    sent: bool, answer: FinalAnswer, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = World()
    client, _ = world.placed("once", timeout_ms=900.0) if sent else world.ask("once", timeout_ms=900.0)

    def broken(*_given: Any) -> list[Action]:
        raise ZeroDivisionError

    monkeypatch.setattr(world.core._policy, "handle", broken)
    world.run(901.0)
    assert client.answers == [answer]
    assert {"policy-failed", "answered-at-deadline"} <= set(world.said)
    assert world.core.open_job_count == 0


def test_the_module_gives_up_before_the_deadline_and_its_advice_is_told() -> None:
    world = World()
    world.core.on_endpoint_list(ListKind.SNAPSHOT, [])
    world.run(100.0)
    client, _ = world.ask(timeout_ms=300.0, work_ms=1.0)
    world.now += 20.0  # steps may come late
    world.core.step()
    world.run(300.0)
    assert [type(each) for each in client.answers] == [Rejected]
    assert client.answers != [Rejected()]
    assert "answered-at-deadline" not in world.said


def test_a_client_that_left_is_owed_nothing_and_its_forward_is_given_up() -> None:
    world = World()
    client, forward = world.placed()
    world.core.on_client_disconnected(forward.job)
    world.run(10.0)
    assert world.abandoned == [forward]
    world.run(6000.0)
    assert client.answers == []


@pytest.mark.parametrize("copies", [False, True])
def test_where_copies_are_barred_a_job_goes_again_only_once_it_has_been_given_up(copies: bool) -> None:
    world = World(limits=Limits(max_attempts=4, may_cancel=True, may_hedge=copies))
    _, forward = world.placed(work_ms=2000.0)
    world.core.on_attempt_started(forward)  # and then nothing: an executor that cannot be reached, say
    for _ in range(80):
        if not copies and world.abandoned:
            break
        world.run(50.0)
    if copies:
        assert len(world.sent) > 1
        return
    world.run(300.0)
    assert (world.abandoned[0], world.sent) == (forward, [forward])
    world.core.on_attempt_cancelled(forward)
    world.run(100.0)
    assert [each.endpoint == forward.endpoint for each in world.sent] == [True, False]


def test_nothing_is_kept_of_a_job_that_ends_while_a_give_up_is_under_way() -> None:
    world = World(limits=Limits(max_attempts=4, may_cancel=True, may_hedge=False))
    client, forward = world.placed(work_ms=2000.0)
    world.core.on_attempt_started(forward)
    while not world.abandoned:
        world.run(50.0)
    assert not forward.is_over
    world.run(10_000.0)
    assert len(client.answers) == 1
    assert world.core.open_job_ids() == []


def test_an_id_in_use_is_not_taken_twice() -> None:
    world = World()
    world.ask()
    assert world.core.admit(Client(), "a1", JobRequest(0, "lookup", 500.0), None) is None


def test_a_refusal_of_what_may_have_run_once_becomes_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    client, forward = world.placed("once")
    refuse: list[Action] = [RejectJob(forward.job.number, 50.0), FailJob(forward.job.number)]
    monkeypatch.setattr(world.core._policy, "handle", lambda *_: refuse)
    world.core.on_attempt_progressed(forward, 0.5)
    world.run(10.0)
    assert client.answers == [Failed()]


def test_a_target_gets_one_forward_of_a_request(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    _, forward = world.placed()
    world.core.on_attempt_ended(forward, Outcome.RESET)
    again: list[Action] = [StartAttempt(forward.job.number, forward.endpoint)]
    monkeypatch.setattr(
        world.core._policy,
        "handle",
        lambda *_: again.pop() and [StartAttempt(1, forward.endpoint)] if again else [],
    )
    world.run(10.0)
    assert len(world.sent) == 1
    assert all(each.is_over for each in forward.job.attempts)


def test_one_figure_of_a_client_does_not_pass_for_what_all_wait() -> None:
    # Guards against a job held for days, and against everybody else then seeming to have waited for days.
    world = World()
    _, job = world.ask(timeout_ms=1e8)
    assert job.deadline == world.now + 5000.0
    client, _ = world.ask(ref="b2")
    world.run(60.0)
    assert len(world.sent) == 2
    assert not client.answers
