"""What holds the jobs that wait: its caps, answers, paces and claims, and what the core makes of them."""

from __future__ import annotations

import gc
import random
from typing import Any

import pytest
import trio

from burlmoor.config.options import DeferredOptions
from burlmoor.deferred import ConditionParser, DeferredJobQueue
from burlmoor.deferred.rate_control import AdaptiveTokenBucket, CongestionWindow
from burlmoor.deferred.release_queue import ReleaseQueue
from burlmoor.deferred.status import build_status
from burlmoor.engine.answers import DependencyFailed, Failed, FinalAnswer, Rejected, Served
from burlmoor.engine.deferral import EndedJob, InvalidConditionError, ReleasedJob, RunConditions
from burlmoor.engine.job import Job
from burlmoor.types.actions import Action, RejectJob
from burlmoor.types.events import JobRequest
from burlmoor.types.outcome import Outcome
from tests.engine.test_engine import Client, World

UNIX = 1_700_000_000_000.0


class Held(World):
    """A core where jobs may wait; Unix time follows its clock, `off` by as much as it was stepped."""

    def __init__(self, places: int = 100_000, **given: Any) -> None:
        super().__init__()
        self.off = 0.0
        self.ward = DeferredJobQueue(
            DeferredOptions(**given), places, 1000.0, 1, self.say, self.now, self.unix
        )
        self.core.enable_deferral(self.ward)

    def unix(self) -> float:
        return UNIX + self.now + self.off

    def wait(
        self,
        ref: str,
        *after: str,
        at: float = 0.0,
        patience: float = 30_000.0,
        work: float = 100.0,
        **more: Any,
    ) -> Client:
        client = Client()
        request = JobRequest(0, more.get("name", "lookup"), patience, work)
        job = self.core.admit(client, ref, request, None, RunConditions(after, at, more.get("size", 10)))
        assert job is not None
        return client

    def parent(self, ref: str = "p", patience: float = 5000.0) -> Job:
        """A job that must run once and has begun to run."""
        _, job = self.ask("once", ref=ref, timeout_ms=patience)
        self.run(60.0)
        self.core.on_attempt_started(job.attempts[-1])
        return job

    def serve(self, ref: str, outcome: Outcome = Outcome.SERVED) -> None:
        """The forward of a job that was sent ends."""
        forward = next(each for each in self.sent if each.job.id == ref and not each.is_over)
        self.core.on_attempt_ended(forward, outcome, b"done" if outcome is Outcome.SERVED else None)
        self.run(50.0)


def kinds(client: Client) -> list[type[FinalAnswer]]:
    return [type(each) for each in client.answers]


def test_a_job_runs_once_what_it_names_was_served() -> None:
    world = Held()
    parent = world.parent()
    child = world.wait("c", "p", patience=20_000.0)
    world.run(4000.0)
    assert [each.job.id for each in world.sent] == ["p"]
    assert parent.attempts
    world.serve("p")
    assert [each.job.id for each in world.sent] == ["p", "c"]
    world.serve("c")
    assert child.answers == [Served(b"done")]
    assert world.core.open_job_count == 0


@pytest.mark.parametrize("how", ["fails", "is refused", "leaves", "deadline"])
def test_what_waits_ends_at_once_however_its_parent_ends(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    world = Held()
    parent = world.parent(patience=3000.0)
    children = [world.wait("c0", "p")] + [world.wait(f"c{n}", f"c{n - 1}") for n in range(1, 20)]
    if how == "fails":
        world.core.on_attempt_ended(parent.attempts[-1], Outcome.ERROR)
    elif how == "is refused":
        actions: list[Action] = [RejectJob(parent.number)]
        world.core.on_attempt_ended(parent.attempts[-1], Outcome.OVERLOADED)
        monkeypatch.setattr(world.core._policy, "handle", lambda *_: [actions.pop()] if actions else [])
    elif how == "leaves":
        world.core.on_client_disconnected(parent)
    else:
        world.run(3000.0)
    world.run(50.0)
    for child in children:
        assert kinds(child) == [DependencyFailed]
    assert world.core.open_job_count == 0


def test_a_chain_ends_in_pieces_and_each_link_is_answered_once() -> None:
    world = Held(max_jobs=20_000)
    parent = world.parent()
    clients = [world.wait("c0", "p")] + [world.wait(f"c{n}", f"c{n - 1}") for n in range(1, 10_000)]
    world.core.on_client_disconnected(parent)
    steps = 0
    while any(not client.answers for client in clients):
        answered = sum(bool(client.answers) for client in clients)
        world.now = max(world.now, world.core.next_due())
        world.core.step()
        steps += 1
        assert sum(bool(client.answers) for client in clients) - answered <= 100
    assert steps >= 100
    assert all(kinds(client) == [DependencyFailed] for client in clients)


def test_a_job_released_late_has_its_class_time_before_it_and_is_no_late_try() -> None:
    world = Held()
    world.ask(ref="usual")  # the module has seen the whole patience of the class
    world.run(60.0)
    child = world.wait("c", at=UNIX + world.now + 20_000.0, patience=23_000.0)
    world.run(19_900.0)
    assert "c" not in [each.job.id for each in world.sent]
    world.run(300.0)
    job = world.job("c")
    assert [each.job.id for each in world.sent][-1] == "c"
    assert 2500.0 < job.deadline - world.now < 3000.0
    known = world.core._policy.context.jobs.by_id[job.number]
    # The aim counts from the release: nothing of it was spent on earlier tries.
    assert known.objective_at == pytest.approx(job.admitted_at + known.objective_ms, abs=10.0)
    world.serve("c")
    assert kinds(child) == [Served]


def test_a_job_is_refused_at_once_when_what_is_left_cannot_suffice() -> None:
    world = Held(min_remaining_ms=100.0)
    world.parent()
    child = world.wait("c", "p", patience=2000.0, work=500.0)
    world.run(1390.0)
    assert child.answers == []
    world.run(20.0)
    assert kinds(child) == [Rejected]
    assert child.answers[0].retry_after_ms > 0.0  # type: ignore[union-attr]
    too_far = world.wait("d", at=UNIX + world.now + 5000.0, patience=5200.0, work=500.0)
    world.run(5.0)
    assert kinds(too_far) == [Rejected]
    assert too_far.answers[0].retry_after_ms == pytest.approx(5000.0, abs=10.0)  # type: ignore[union-attr]


def test_nobody_waits_longer_than_the_longest_and_all_are_answered_in_time() -> None:
    world = Held(max_deferral_ms=10_000.0)
    world.ask(ref="p", timeout_ms=5000.0)
    client = world.wait("c", "p", at=UNIX + 1e9, patience=1e8)
    world.run(10.0)
    assert kinds(client) == [Rejected]


@pytest.mark.parametrize(
    ("given", "places", "size"),
    [
        ({"max_jobs": 3}, 10_000, 10),
        ({}, 12, 10),
        ({"max_body_bytes": 4096.0}, 10_000, 1200),
        ({"max_dependents": 3}, 10_000, 10),
    ],
)
def test_at_a_cap_there_is_a_clean_refusal(given: dict[str, Any], places: int, size: int) -> None:
    world = Held(places, **given)
    world.ask(ref="p")
    clients = [world.wait(f"c{n}", "p", size=size) for n in range(4)]
    world.run(10.0)
    assert [kinds(client) for client in clients] == [[], [], [], [Rejected]]
    assert clients[3].answers[0].retry_after_ms > 0.0  # type: ignore[union-attr]
    assert "deferred-full" in world.said
    world.core.on_client_disconnected(world.job("c0"))
    late = world.wait("late", "p", size=size)
    world.run(10.0)
    assert late.answers == []


def test_a_client_that_leaves_is_forgotten_and_its_id_is_not_taken_twice() -> None:
    world = Held()
    world.ask(ref="p")
    client = world.wait("c", "p")
    assert world.core.admit(Client(), "c", JobRequest(0, "lookup", 500.0), None) is None
    world.core.on_client_disconnected(world.job("c"))
    world.serve("p") if world.sent else world.run(60.0)
    world.run(100.0)
    assert client.answers == []
    assert world.ward.job_count == world.ward.body_bytes == len(world.ward.status_by_id) == 0
    assert world.core.open_job_count <= 1


def test_a_herd_takes_the_room_there_is_and_then_a_steady_pace() -> None:
    world = Held(release_rate=50, release_burst=5)
    at = UNIX + world.now + 1000.0
    for number in range(100):
        world.wait(f"h{number}", at=at, patience=10_000.0)
    world.run(1005.0)
    first = 100 - world.ward.job_count
    assert first == 8 + 5  # the first window, though there is room for more, and the burst
    world.run(300.0)  # nobody has been refused yet
    assert 12 <= (100 - world.ward.job_count) - first <= 18


def test_what_waited_has_a_claim_that_is_bounded() -> None:
    world = Held(full_credit_ms=5000.0)
    told: list[JobRequest] = []
    handle = world.core._policy.handle

    def spy(now: float, events: Any) -> list[Action]:
        told.extend(event for event in events if isinstance(event, JobRequest))
        return handle(now, events)

    world.core._policy.handle = spy  # type: ignore[method-assign]
    for ref, wait in (("a", 1000.0), ("b", 60_000.0)):
        world.wait(ref, at=UNIX + world.now + wait, patience=100_000.0)
    world.run(61_000.0)
    assert [round(each.deferral_credit, 1) for each in told] == [0.2, 1.0]
    plain = world.core._policy
    world.ask(ref="plain")
    world.run(2.0)
    jobs = {job.id: job for job in plain.context.jobs.by_id.values()}
    assert max(job.priority for job in jobs.values()) - min(job.priority for job in jobs.values()) <= 1.01


def test_a_clock_that_steps_releases_when_its_time_has_come_by_it() -> None:
    world = Held()
    world.wait("c", at=UNIX + world.now + 60_000.0, patience=90_000.0)
    world.run(1000.0)
    world.off = 60_000.0
    world.run(1100.0)  # noticed within a second, though nothing else happens
    assert {each.job.id for each in world.sent} == {"c"}


def test_sent_away_clients_end_what_waits_and_undone_it_may_wait_again() -> None:
    world = Held()
    world.ask(ref="p")
    child, grandchild = world.wait("c", "p"), world.wait("g", "c")
    world.ward.set_draining(True)
    world.run(10.0)
    assert kinds(child) == kinds(grandchild) == [Rejected]
    late = world.wait("late", "p")
    world.run(10.0)
    assert kinds(late) == [Rejected]
    world.ward.set_draining(False)
    again = world.wait("again", "p")
    world.run(10.0)
    assert again.answers == []


def test_a_stop_answers_what_waits_by_its_time() -> None:
    world = Held()
    parent = world.parent()
    child = world.wait("c", "p", patience=60_000.0)
    world.core.answer_all_by(world.now + 3300.0)
    world.run(3301.0)
    assert kinds(child) == [Rejected]
    assert parent.is_over


def test_options_that_change_hold_for_whoever_comes_next() -> None:
    world = Held(max_dependents=2)
    world.ask(ref="p")
    clients = [world.wait(f"a{n}", "p") for n in range(2)]
    world.ward.apply_options(DeferredOptions(max_dependents=1), world.now)
    clients.append(world.wait("b", "p"))
    world.run(10.0)
    assert [kinds(each) for each in clients] == [[], [], [Rejected]]


def test_jobs_that_were_open_before_are_known() -> None:
    world = World()
    world.ask(ref="p")
    ward = DeferredJobQueue(DeferredOptions(unknown_timeout_ms=100.0), 1000, 1000.0, 1, world.say, world.now)
    world.core.enable_deferral(ward)
    client = Client()
    world.core.admit(client, "c", JobRequest(0, "lookup", 5000.0, 10.0), None, RunConditions(("p",), 0.0, 1))
    world.run(500.0)
    assert client.answers == []


@pytest.mark.parametrize("seed", range(20))
def test_random_graphs_in_a_core_get_one_answer_each_and_run_in_order(seed: int) -> None:
    rng = random.Random(seed)
    world = Held(unknown_timeout_ms=500.0, release_rate=200)
    clients: dict[str, Client] = {}
    after: dict[str, tuple[str, ...]] = {}
    served: list[str] = []
    for number in range(120):
        ref = f"j{number}"
        names = tuple({f"j{rng.randrange(number + 3)}" for _ in range(rng.randrange(4))} - {ref})
        if names and rng.random() < 0.8:
            after[ref] = names
            clients[ref] = world.wait(ref, *names, patience=rng.choice([1000.0, 5000.0, 20_000.0]))
        else:
            clients[ref], _ = world.ask(rng.choice(["lookup", "once"]), ref=ref)
        if rng.random() < 0.1:
            gone = rng.choice(list(world.core.jobs))
            clients[gone.id].answers.append(Failed()) if not gone.is_over else None
            world.core.on_client_disconnected(gone)
        for forward in [each for each in world.sent if not each.is_over]:
            if rng.random() < 0.5:
                outcome = rng.choice([Outcome.SERVED] * 4 + [Outcome.ERROR, Outcome.OVERLOADED])
                world.core.on_attempt_ended(forward, outcome, b"x")
        world.run(rng.choice([2.0, 20.0, 100.0]))
        for forward in world.sent:
            job = forward.job.id
            for name in after.get(job, ()):
                assert any(isinstance(each, Served) for each in clients[name].answers), (job, name)
    for _ in range(200):
        for forward in [each for each in world.sent if not each.is_over]:
            world.core.on_attempt_ended(forward, Outcome.SERVED, b"x")
        world.run(200.0)
    served = [ref for ref, client in clients.items() if kinds(client) == [Served]]
    assert all(len(client.answers) == 1 for client in clients.values())
    assert len(served) > 20
    assert world.ward.job_count == world.ward.body_bytes == len(world.ward.status_by_id) == 0


def test_the_view_counts_by_class_and_reason_from_one_moment() -> None:
    world = Held(max_jobs=100_000, max_dependents=100_000)
    world.ask(ref="p", name="once")
    for number in range(5000):
        world.wait(f"c{number}", "p", size=7)
    world.wait("t", at=UNIX + world.now + 10_000.0, name="once")
    world.wait("u", "nobody", name="once")
    world.run(10.0)
    world.core.step()

    async def look() -> dict[str, Any]:
        seen: dict[str, Any] = {}
        began = trio.Event()

        def clock() -> float:
            began.set()
            return world.now

        async def view() -> None:
            seen.update(await build_status(world.ward, clock))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(view)
            await began.wait()
            world.core.on_client_disconnected(world.job("c7"))  # while it is counted
            world.core.step()
        return seen

    seen = trio.run(look)
    assert seen["waiting"] == 5002
    assert seen["by_class"]["lookup"]["waiting"] == 5000
    assert seen["by_reason"] == {"jobs": 5000, "time": 1, "unknown": 1}
    assert seen["bytes"] == 5000 * 7 + 20
    assert len(world.ward.status_by_id) == 5001


@pytest.mark.parametrize(
    ("headers", "words"),
    [
        ([(b"run-after", b"")], "names no job"),
        ([(b"run-after", b" , ,")], "names no job"),
        ([(b"run-after", b"a b")], "not a list"),
        ([(b"run-after", b"a,b/c")], "not a list"),
        ([(b"run-after", b"a" * 65)], "not a list"),
        ([(b"run-after", b"\xff")], "not a list"),
        ([(b"run-after", b"me")], "itself"),
        ([(b"run-after", b",".join(b"n%d" % n for n in range(9)))], "over 8"),
        ([(b"not-before", b"soon")], "not a Unix time"),
        ([(b"not-before", b"-5")], "not a Unix time"),
        ([(b"not-before", b"1e9")], "not a Unix time"),
        ([(b"not-before", b"")], "not a Unix time"),
        ([(b"not-before", b"9" * 16)], "not a Unix time"),
        ([(b"not-before", b"5"), (b"not-before", b"6")], "twice"),
    ],
)
def test_conditions_that_cannot_be_meant_name_their_header(
    headers: list[tuple[bytes, bytes]], words: str
) -> None:
    with pytest.raises(InvalidConditionError, match=words):
        ConditionParser(8).parse(headers, "me", 0)


def test_conditions_are_read_as_lists_are() -> None:
    read = ConditionParser(8).parse
    assert read([(b"host", b"x")], "me", 5) is None
    headers = [(b"run-after", b"a, b,,a"), (b"x", b"y"), (b"run-after", b"c\t"), (b"not-before", b"12")]
    assert read(headers, "me", 5) == RunConditions(("a", "b", "c"), 12.0, 5)
    assert read([(b"not-before", b"0")], "me", 5) == RunConditions((), 0.0, 5)
    names = b",".join(b"n%d" % (n % 8) for n in range(1000))
    assert len(read([(b"run-after", names)], "me", 5).after) == 8  # type: ignore[union-attr]


def test_a_bucket_gives_its_rate_and_no_more_than_its_burst() -> None:
    bucket = AdaptiveTokenBucket(10.0, 3.0, 0.0)
    assert [bucket.take_token(0.0) for _ in range(4)] == [True, True, True, False]
    assert bucket.next_token_at(0.0) == pytest.approx(100.0)
    assert sum(bucket.take_token(float(now)) for now in range(1, 10_001)) == 100


def test_the_line_lets_the_soonest_go_first_while_there_is_room() -> None:
    line: ReleaseQueue[str] = ReleaseQueue(AdaptiveTokenBucket(1.0, 1.0, 0.0))
    for latest, slots, name in ((30.0, 1.0, "c"), (10.0, 2.0, "a"), (20.0, 1.0, "b")):
        line.push(latest, slots, name)
    assert line.pop_releasable(0.0, 3.0) == ("a", 2.0)
    assert line.pop_releasable(0.0, 1.0) == ("b", 1.0)
    assert line.pop_releasable(0.0, 0.0) == ("c", 1.0)  # by the token
    line.push(1.0, 1.0, "d")
    assert line.pop_releasable(0.0, 0.0) is None


def test_the_ward_says_nothing_before_its_step() -> None:
    # Guards the front: an answer from within `take` would come before it has noted its job.
    ward = DeferredJobQueue(DeferredOptions(), 1000, 1000.0, 1, lambda *_a, **_k: None, 0.0, lambda: UNIX)
    ward.on_job_opened("c")
    ward.defer("c", JobRequest(0, "lookup", 1.0, 500.0), RunConditions(("x",), 0.0, 1), 1.0, 0.0)
    assert ward.next_due(0.0) == 0.0
    assert [type(each) for each in ward.step(0.0, lambda: 0.0)] == [EndedJob]
    ward.on_job_opened("d")
    ward.defer("d", JobRequest(0, "lookup", 1e4, 500.0), RunConditions((), 5.0, 1), 1e4, 0.0)
    assert [type(each) for each in ward.step(0.0, lambda: 0.0)] == [ReleasedJob]


def test_the_pace_falls_while_released_jobs_are_refused_and_rises_again() -> None:
    bucket = AdaptiveTokenBucket(100.0, 10.0, 0.0)
    for _ in range(50):
        bucket.adjust_rate(False, 0.0)
    assert bucket.rate == pytest.approx(10.0)
    assert [bucket.take_token(0.0), bucket.take_token(0.0)] == [True, False]
    for _ in range(100):
        bucket.adjust_rate(True, 0.0)
    assert bucket.rate == 100.0


def test_a_window_feels_its_way_and_halves_once_for_refusals_that_come_together() -> None:
    window = CongestionWindow()
    for _ in range(8):
        window.adjust_size(True, 0.0)
    assert window.size == 16.0
    for now in (100.0, 150.0, 250.0):
        window.adjust_size(False, now)
    assert window.size == 8.0
    window.adjust_size(False, 301.0)
    assert window.size == 4.0
    for _ in range(4):
        window.adjust_size(True, 400.0)
    assert 4.5 < window.size < 5.0
    for number in range(100):
        window.adjust_size(False, 1000.0 * number + 1000.0)
    assert window.size == 2.0


def test_a_fault_where_jobs_wait_refuses_them_and_the_node_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    world = Held()
    world.parent()
    clients = [world.wait(f"c{number}", "p") for number in range(3)]

    def broken(*_given: Any) -> list[ReleasedJob | EndedJob]:
        raise ZeroDivisionError

    monkeypatch.setattr(world.ward, "step", broken)
    world.run(10.0)
    assert [kinds(client) for client in clients] == [[Rejected]] * 3
    assert "deferred-failed" in world.said
    world.serve("p")
    plain = world.wait("late", "p")  # nothing waits any more, so it runs as any job
    world.run(60.0)
    world.serve("late")
    assert kinds(plain) == [Served]


def test_nothing_is_kept_of_a_job_that_waited_once_it_is_over() -> None:
    # Guards against bodies held until deadlines that lie minutes ahead.
    world = Held()
    world.wait("c", at=UNIX + world.now + 500.0, patience=600_000.0)
    world.run(600.0)
    world.serve("c")
    world.run(6000.0)
    world.sent.clear()
    gc.collect()
    assert not [each for each in gc.get_objects() if isinstance(each, Job) and each.id == "c"]
