"""The deferred-job queue in an engine: conditions, limits, answers and ends of deferrals."""

from __future__ import annotations

import gc
import random
from typing import Any

import pytest

from burlmoor.config.options import DeferredOptions
from burlmoor.deferred import DeferredJobQueue
from burlmoor.engine.answers import DependencyFailed, Failed, Rejected, Served
from burlmoor.engine.deferral import EndDecision, ReleaseDecision, RunConditions
from burlmoor.engine.job import Job
from burlmoor.types.actions import Action, RejectJob
from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from tests.support.deferral_harness import START_UNIX_MS, DeferralHarness
from tests.support.engine_harness import EngineHarness, RecordingResponder


def test_a_deferred_job_runs_after_its_dependency_was_served() -> None:
    harness = DeferralHarness()
    parent = harness.start_parent()
    child = harness.submit_deferred("c", "p", timeout_ms=20_000.0)
    harness.advance(4000.0)
    assert harness.started_ids() == ["p"]
    assert parent.attempts
    harness.finish_attempt("p")
    assert harness.started_ids() == ["p", "c"]
    harness.finish_attempt("c")
    assert child.answers == [Served(b"done")]
    assert harness.core.jobs.count_open() == 0


@pytest.mark.parametrize("how", ["fails", "is rejected", "client disconnects", "reaches its deadline"])
def test_dependents_end_at_once_whichever_way_their_dependency_fails(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = DeferralHarness()
    parent = harness.start_parent(timeout_ms=3000.0)
    children = [harness.submit_deferred("c0", "p")] + [
        harness.submit_deferred(f"c{n}", f"c{n - 1}") for n in range(1, 20)
    ]
    if how == "fails":
        harness.core.lifecycle.on_attempt_ended(parent.attempts[-1], Outcome.ERROR)
    elif how == "is rejected":
        actions: list[Action] = [RejectJob(parent.number)]
        harness.core.lifecycle.on_attempt_ended(parent.attempts[-1], Outcome.OVERLOADED)
        monkeypatch.setattr(harness.core.dispatcher, "handle", lambda *_: [actions.pop()] if actions else [])
    elif how == "client disconnects":
        harness.core.lifecycle.on_client_disconnected(parent)
    else:
        harness.advance(3000.0)
    harness.advance(50.0)
    for child in children:
        assert child.answer_types() == [DependencyFailed]
    assert harness.core.jobs.count_open() == 0


def test_a_long_chain_ends_over_several_steps_with_one_answer_for_each_job() -> None:
    harness = DeferralHarness(max_jobs=20_000)
    parent = harness.start_parent()
    clients = [harness.submit_deferred("c0", "p")] + [
        harness.submit_deferred(f"c{n}", f"c{n - 1}") for n in range(1, 10_000)
    ]
    harness.core.lifecycle.on_client_disconnected(parent)
    steps = 0
    while any(not client.answers for client in clients):
        answered = sum(bool(client.answers) for client in clients)
        harness.now = max(harness.now, harness.engine.next_due())
        harness.engine.step()
        steps += 1
        assert sum(bool(client.answers) for client in clients) - answered <= 100
    assert steps >= 100
    assert all(client.answer_types() == [DependencyFailed] for client in clients)


def test_a_job_is_rejected_once_its_remaining_time_is_too_short() -> None:
    harness = DeferralHarness(min_remaining_ms=100.0)
    harness.start_parent()
    child = harness.submit_deferred("c", "p", timeout_ms=2000.0, work_ms=500.0)
    harness.advance(1390.0)
    assert child.answers == []
    harness.advance(20.0)
    assert child.answer_types() == [Rejected]
    assert child.answers[0].retry_after_ms > 0.0  # type: ignore[union-attr]
    too_late = harness.submit_deferred(
        "d", not_before_unix_ms=START_UNIX_MS + harness.now + 5000.0, timeout_ms=5200.0, work_ms=500.0
    )
    harness.advance(5.0)
    assert too_late.answer_types() == [Rejected]
    assert too_late.answers[0].retry_after_ms == pytest.approx(5000.0, abs=10.0)  # type: ignore[union-attr]


def test_a_not_before_time_beyond_the_longest_deferral_is_rejected() -> None:
    harness = DeferralHarness(max_deferral_ms=10_000.0)
    harness.submit(request_id="p", timeout_ms=5000.0)
    client = harness.submit_deferred("c", "p", not_before_unix_ms=START_UNIX_MS + 1e9, timeout_ms=1e8)
    harness.advance(10.0)
    assert client.answer_types() == [Rejected]


@pytest.mark.parametrize(
    ("options", "max_connections", "size_bytes"),
    [
        ({"max_jobs": 3}, 10_000, 10),
        ({}, 12, 10),
        ({"max_body_bytes": 4096.0}, 10_000, 1200),
        ({"max_dependents": 3}, 10_000, 10),
    ],
)
def test_a_job_beyond_a_limit_is_rejected_with_retry_advice(
    options: dict[str, Any], max_connections: int, size_bytes: int
) -> None:
    harness = DeferralHarness(max_connections, **options)
    harness.submit(request_id="p")
    clients = [harness.submit_deferred(f"c{n}", "p", size_bytes=size_bytes) for n in range(4)]
    harness.advance(10.0)
    assert [client.answer_types() for client in clients] == [[], [], [], [Rejected]]
    assert clients[3].answers[0].retry_after_ms > 0.0  # type: ignore[union-attr]
    assert "deferred-full" in harness.logged_events
    harness.core.lifecycle.on_client_disconnected(harness.find_job("c0"))
    late = harness.submit_deferred("late", "p", size_bytes=size_bytes)
    harness.advance(10.0)
    assert late.answers == []


def test_a_deferred_job_keeps_its_id_in_use_and_is_removed_when_its_client_disconnects() -> None:
    harness = DeferralHarness()
    harness.submit(request_id="p")
    client = harness.submit_deferred("c", "p")
    assert harness.engine.admit(RecordingResponder(), "c", JobRequest(0, "lookup", 500.0), None) is None
    harness.core.lifecycle.on_client_disconnected(harness.find_job("c"))
    harness.finish_attempt("p") if harness.started_attempts else harness.advance(60.0)
    harness.advance(100.0)
    assert client.answers == []
    assert harness.queue.job_count == harness.queue.body_bytes == len(harness.queue.status_by_id) == 0
    assert harness.core.jobs.count_open() <= 1


def test_draining_rejects_deferred_jobs_until_it_is_undone() -> None:
    harness = DeferralHarness()
    harness.submit(request_id="p")
    child, grandchild = harness.submit_deferred("c", "p"), harness.submit_deferred("g", "c")
    harness.queue.set_draining(is_draining=True)
    harness.advance(10.0)
    assert child.answer_types() == grandchild.answer_types() == [Rejected]
    late = harness.submit_deferred("late", "p")
    harness.advance(10.0)
    assert late.answer_types() == [Rejected]
    harness.queue.set_draining(is_draining=False)
    again = harness.submit_deferred("again", "p")
    harness.advance(10.0)
    assert again.answers == []


def test_a_shutdown_answers_deferred_jobs_by_its_deadline() -> None:
    harness = DeferralHarness()
    parent = harness.start_parent()
    child = harness.submit_deferred("c", "p", timeout_ms=60_000.0)
    harness.engine.cap_deadlines(harness.now + 3300.0)
    harness.advance(3301.0)
    assert child.answer_types() == [Rejected]
    assert parent.is_closed


def test_changed_options_apply_to_new_jobs() -> None:
    harness = DeferralHarness(max_dependents=2)
    harness.submit(request_id="p")
    clients = [harness.submit_deferred(f"a{n}", "p") for n in range(2)]
    harness.queue.apply_options(DeferredOptions(max_dependents=1), harness.now)
    clients.append(harness.submit_deferred("b", "p"))
    harness.advance(10.0)
    assert [client.answer_types() for client in clients] == [[], [], [Rejected]]


def test_jobs_that_were_open_before_deferral_was_enabled_are_known() -> None:
    harness = EngineHarness()
    harness.submit(request_id="p")
    queue = DeferredJobQueue(
        DeferredOptions(unknown_timeout_ms=100.0), 1000, 1000.0, 1, harness.log, harness.now
    )
    harness.core.deferral_notifier.enable(queue)
    client = RecordingResponder()
    harness.engine.admit(
        client, "c", JobRequest(0, "lookup", 5000.0, 10.0), None, RunConditions(("p",), 0.0, 1)
    )
    harness.advance(500.0)
    assert client.answers == []


class RandomTraffic:
    """Random jobs with random dependencies, disconnects and outcomes."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.harness = DeferralHarness(unknown_timeout_ms=500.0, release_rate=200)
        self.clients: dict[str, RecordingResponder] = {}
        self.dependencies: dict[str, tuple[str, ...]] = {}

    def submit_job(self, number: int) -> None:
        rng = self.rng
        request_id = f"j{number}"
        names = tuple({f"j{rng.randrange(number + 3)}" for _ in range(rng.randrange(4))} - {request_id})
        if names and rng.random() < 0.8:
            self.dependencies[request_id] = names
            timeout_ms = rng.choice([1000.0, 5000.0, 20_000.0])
            client = self.harness.submit_deferred(request_id, *names, timeout_ms=timeout_ms)
        else:
            client, _ = self.harness.submit(rng.choice(["lookup", "once"]), request_id=request_id)
        self.clients[request_id] = client

    def disconnect_client(self) -> None:
        job = self.rng.choice(list(self.harness.core.jobs))
        if not job.is_closed:
            self.clients[job.id].answers.append(Failed())  # in place of the answer that it does not get
        self.harness.core.lifecycle.on_client_disconnected(job)

    def end_attempts(self) -> None:
        for attempt in self.harness.open_attempts():
            if self.rng.random() < 0.5:
                outcome = self.rng.choice([Outcome.SERVED] * 4 + [Outcome.ERROR, Outcome.OVERLOADED])
                self.harness.core.lifecycle.on_attempt_ended(attempt, outcome, b"x")

    def check_order(self) -> None:
        for request_id in self.harness.started_ids():
            for name in self.dependencies.get(request_id, ()):
                assert Served in self.clients[name].answer_types(), (request_id, name)

    def serve_all(self) -> None:
        for _ in range(200):
            for attempt in self.harness.open_attempts():
                self.harness.core.lifecycle.on_attempt_ended(attempt, Outcome.SERVED, b"x")
            self.harness.advance(200.0)


@pytest.mark.parametrize("seed", range(20))
def test_jobs_of_random_graphs_get_one_answer_each_and_run_in_order(seed: int) -> None:
    traffic = RandomTraffic(seed)
    for number in range(120):
        traffic.submit_job(number)
        if traffic.rng.random() < 0.1:
            traffic.disconnect_client()
        traffic.end_attempts()
        traffic.harness.advance(traffic.rng.choice([2.0, 20.0, 100.0]))
        traffic.check_order()
    traffic.serve_all()
    clients = traffic.clients.values()
    queue = traffic.harness.queue
    assert all(len(client.answers) == 1 for client in clients)
    assert sum(client.answer_types() == [Served] for client in clients) > 20
    assert queue.job_count == queue.body_bytes == len(queue.status_by_id) == 0


def test_a_decision_on_a_new_job_is_returned_only_by_the_next_step() -> None:
    # An answer from within `defer` would reach the connection before it has recorded its job.
    queue = DeferredJobQueue(
        DeferredOptions(), 1000, 1000.0, 1, lambda *_args, **_fields: None, 0.0, lambda: START_UNIX_MS
    )
    queue.on_job_admitted("c")
    queue.defer("c", JobRequest(0, "lookup", 1.0, 500.0), RunConditions(("x",), 0.0, 1), 1.0, 0.0)
    assert queue.next_due(0.0) == 0.0
    assert [type(decision) for decision in queue.step(0.0, lambda: 0.0)] == [EndDecision]
    queue.on_job_admitted("d")
    queue.defer("d", JobRequest(0, "lookup", 1e4, 500.0), RunConditions((), 5.0, 1), 1e4, 0.0)
    assert [type(decision) for decision in queue.step(0.0, lambda: 0.0)] == [ReleaseDecision]


def test_an_exception_in_the_queue_rejects_the_deferred_jobs_and_the_engine_continues(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = DeferralHarness()
    harness.start_parent()
    clients = [harness.submit_deferred(f"c{number}", "p") for number in range(3)]

    def failing_step(*_args: Any) -> list[ReleaseDecision | EndDecision]:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.queue, "step", failing_step)
    harness.advance(10.0)
    assert [client.answer_types() for client in clients] == [[Rejected]] * 3
    assert "deferred-failed" in harness.logged_events
    harness.finish_attempt("p")
    plain = harness.submit_deferred("late", "p")  # deferral is disabled, so the job runs at once
    harness.advance(60.0)
    harness.finish_attempt("late")
    assert plain.answer_types() == [Served]


def test_a_deferred_job_that_has_ended_is_not_kept_in_memory() -> None:
    # A remaining reference would keep the body in memory until the deadline, minutes later.
    harness = DeferralHarness()
    harness.submit_deferred("c", not_before_unix_ms=START_UNIX_MS + harness.now + 500.0, timeout_ms=600_000.0)
    harness.advance(600.0)
    harness.finish_attempt("c")
    harness.advance(6000.0)
    harness.started_attempts.clear()
    gc.collect()
    assert not [item for item in gc.get_objects() if isinstance(item, Job) and item.id == "c"]
