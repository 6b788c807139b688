"""The core with a fake clock: outcomes, one final answer each, deadlines, call-backs that come twice."""

from __future__ import annotations

from typing import Any

import pytest

from burlmoor import messages as m
from burlmoor.core import Answer, Core, Failed, FixedResponse, Forward, Job, Served
from tests.talk import entries, settings


class Client:
    """A listener that keeps what it is answered."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []

    def answer(self, answer: Answer) -> None:
        self.answers.append(answer)


class World:
    """A core, its clock, and what it asks of its targets and of discovery."""

    def __init__(self, **changes: Any) -> None:
        self.now = 1000.0
        self.said: list[str] = []
        self.sent: list[Forward] = []
        self.abandoned: list[Forward] = []
        self.woken = 0
        self.core = Core(settings(**changes), 1, lambda: self.now, self.say, self.wake)
        self.core.targets = self
        self.core.target_list = self
        self.core.listed(m.Form.CACHED, entries(4))
        self.core.step()

    def say(self, event: str, **_fields: Any) -> None:
        self.said.append(event)

    def wake(self) -> None:
        self.woken += 1

    def send(self, forward: Forward) -> None:
        self.sent.append(forward)

    def abandon(self, forward: Forward) -> None:
        self.abandoned.append(forward)

    def probe(self, target: str) -> None:
        self.core.probed(target, m.Outcome.SERVED, 1.0)

    def subscribe(self) -> None: ...

    def fetch(self) -> None: ...

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self.core.due() <= end:
            self.now = max(self.now, self.core.due())
            self.core.step()
        self.now = end

    def ask(
        self, name: str = "lookup", patience: float = 5000.0, ref: str = "a1", work: float = 100.0
    ) -> tuple[Client, Job]:
        client = Client()
        job = self.core.take(client, ref, m.Request(0, name, patience, work), None)
        assert job is not None
        return client, job

    def placed(self, name: str = "lookup", **given: Any) -> tuple[Client, Forward]:
        client, job = self.ask(name, **given)
        self.run(60.0)
        return client, job.forwards[-1]


NEVER = [m.Outcome.FULL, m.Outcome.UNREACHABLE]
PERHAPS = [m.Outcome.ERROR, m.Outcome.RESET]


@pytest.mark.parametrize("name", ["lookup", "once"])
@pytest.mark.parametrize("outcome", NEVER + PERHAPS)
def test_only_what_never_ran_goes_out_again_where_it_must_run_once(name: str, outcome: m.Outcome) -> None:
    world = World()
    client, forward = world.placed(name)
    world.core.ended(forward, outcome)
    world.run(100.0)
    if name == "once" and outcome in PERHAPS:
        assert client.answers == [Failed()]
        assert len(world.sent) == 1
    else:
        assert client.answers == []
        assert len(world.sent) == 2
        assert world.sent[1].target != forward.target


def test_the_first_result_is_the_answer_and_told_again_changes_nothing() -> None:
    world = World()
    client, forward = world.placed()
    assert world.core.find("a1", forward.target) is forward
    assert world.core.find("a1", "other") is None
    world.core.ended(forward, m.Outcome.SERVED, b"one")
    world.core.ended(forward, m.Outcome.SERVED, b"two")
    assert world.core.find("a1", forward.target) is None
    world.run(10_000.0)
    assert client.answers == [Served(b"one")]
    assert world.core.open_jobs == 0


@pytest.mark.parametrize(("name", "answer"), [("lookup", FixedResponse), ("once", Failed)])
def test_a_silent_target_is_given_up_and_the_client_answered_by_the_deadline(
    name: str, answer: type[Answer]
) -> None:
    world = World()
    client, forward = world.placed(name, patience=900.0)
    world.core.started(forward)
    world.run(900.0)
    assert [type(each) for each in client.answers] == [answer]
    assert forward in world.abandoned
    assert world.core.due() > world.now


@pytest.mark.parametrize(("sent", "answer"), [(False, FixedResponse()), (True, Failed())])
def test_the_core_answers_at_the_deadline_where_the_module_fails(
    sent: bool, answer: Answer, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = World()
    client, _ = world.placed("once", patience=900.0) if sent else world.ask("once", patience=900.0)

    def broken(*_given: Any) -> list[m.Action]:
        raise ZeroDivisionError

    monkeypatch.setattr(world.core._node, "handle", broken)
    world.run(901.0)
    assert client.answers == [answer]
    assert {"module-failed", "answered-at-deadline"} <= set(world.said)
    assert world.core.open_jobs == 0


def test_the_module_gives_up_before_the_deadline_and_its_advice_is_told() -> None:
    world = World()
    world.core.listed(m.Form.FULL, [])
    world.run(100.0)
    client, _ = world.ask(patience=300.0, work=1.0)
    world.now += 20.0  # steps may come late
    world.core.step()
    world.run(300.0)
    assert [type(each) for each in client.answers] == [FixedResponse]
    assert client.answers != [FixedResponse()]
    assert "answered-at-deadline" not in world.said


def test_a_client_that_left_is_owed_nothing_and_its_forward_is_given_up() -> None:
    world = World()
    client, forward = world.placed()
    world.core.gone(forward.job)
    world.run(10.0)
    assert world.abandoned == [forward]
    world.run(6000.0)
    assert client.answers == []


@pytest.mark.parametrize("copies", [False, True])
def test_where_copies_are_barred_a_job_goes_again_only_once_it_has_been_given_up(copies: bool) -> None:
    world = World(limits=m.Limits(attempts=4, cancel=True, second_copies=copies))
    _, forward = world.placed(work=2000.0)
    world.core.started(forward)  # and then nothing: an executor that cannot be reached, say
    for _ in range(80):
        if not copies and world.abandoned:
            break
        world.run(50.0)
    if copies:
        assert len(world.sent) > 1
        return
    world.run(300.0)
    assert (world.abandoned[0], world.sent) == (forward, [forward])
    world.core.given_up(forward)
    world.run(100.0)
    assert [each.target == forward.target for each in world.sent] == [True, False]


def test_nothing_is_kept_of_a_job_that_ends_while_a_give_up_is_under_way() -> None:
    world = World(limits=m.Limits(attempts=4, cancel=True, second_copies=False))
    client, forward = world.placed(work=2000.0)
    world.core.started(forward)
    while not world.abandoned:
        world.run(50.0)
    assert not forward.over
    world.run(10_000.0)
    assert len(client.answers) == 1
    assert world.core.open_ids() == []


def test_an_id_in_use_is_not_taken_twice() -> None:
    world = World()
    world.ask()
    assert world.core.take(Client(), "a1", m.Request(0, "lookup", 500.0), None) is None


def test_a_refusal_of_what_may_have_run_once_becomes_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    client, forward = world.placed("once")
    refuse: list[m.Action] = [m.Refuse(forward.job.number, 50.0), m.Fail(forward.job.number)]
    monkeypatch.setattr(world.core._node, "handle", lambda *_: refuse)
    world.core.progressed(forward, 0.5)
    world.run(10.0)
    assert client.answers == [Failed()]


def test_a_target_gets_one_forward_of_a_request(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    _, forward = world.placed()
    world.core.ended(forward, m.Outcome.RESET)
    again: list[m.Action] = [m.Send(forward.job.number, forward.target)]
    monkeypatch.setattr(
        world.core._node, "handle", lambda *_: again.pop() and [m.Send(1, forward.target)] if again else []
    )
    world.run(10.0)
    assert len(world.sent) == 1
    assert all(each.over for each in forward.job.forwards)


def test_one_figure_of_a_client_does_not_pass_for_what_all_wait() -> None:
    # Guards against a job held for days, and against everybody else then seeming to have waited for days.
    world = World()
    _, job = world.ask(patience=1e8)
    assert job.deadline == world.now + 5000.0
    client, _ = world.ask(ref="b2")
    world.run(60.0)
    assert len(world.sent) == 2
    assert not client.answers
