"""The graph of what waits: held against a naive model on random graphs, and its bounds one by one."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burlmoor.deferred.deferred_job import DeferralReason, DeferredJob
from burlmoor.deferred.dependency_graph import DependencyGraph, GraphLimits
from burlmoor.deferred.timer_queue import TimerQueue

BOUNDS = GraphLimits(
    max_jobs=10_000, max_dependents=1000, unknown_timeout_ms=2000.0, history_ms=1e9, history_size=10**6
)
UNIX = 1_700_000_000_000.0


def drained(
    graph: DependencyGraph, now: float, unix: float | None = None
) -> list[tuple[str, DeferralReason | None]]:
    """Carry out all that is to be done: what is free is let go, what ends is told as ended."""
    done = []
    while (waiter := graph.pop_ready(now, UNIX + now if unix is None else unix)) is not None:
        done.append((waiter.id, waiter.end_reason))
        if waiter.end_reason is None:
            graph.remove(waiter.id)
        else:
            graph.on_job_ended(waiter.id, False, now)
    return done


def wait(
    graph: DependencyGraph, ref: str, *after: str, at: float = 0.0, latest: float = 1e6, now: float = 0.0
) -> DeferredJob:
    graph.on_job_opened(ref)
    return graph.add(ref, after, at, latest, now, UNIX + now)


@dataclass
class Naive:
    """The same rules, worked out anew from all that has happened."""

    state: dict[str, str] = field(default_factory=dict)  # open, waiting, served, dead
    asked: dict[str, tuple[tuple[str, ...], float, float, float]] = field(default_factory=dict)

    def settle(self, now: float, unix: float) -> None:
        while True:
            before = dict(self.state)
            for ref in [ref for ref, state in self.state.items() if state == "waiting"]:
                after, at, latest, since = self.asked[ref]
                strangers = any(name not in self.state for name in after)
                dead = any(self.state.get(name) == "dead" for name in after)
                if dead or now >= latest or (strangers and now >= since + BOUNDS.unknown_timeout_ms):
                    self.state[ref] = "dead"
                elif all(self.state.get(name) == "served" for name in after) and unix >= at:
                    self.state[ref] = "open"
            if before == self.state:
                return

    def cycle(self, ref: str, after: tuple[str, ...]) -> bool:
        seen, look = set(), list(after)
        while look:
            name = look.pop()
            if name == ref:
                return True
            if name not in seen and self.state.get(name) == "waiting":
                seen.add(name)
                look += [each for each in self.asked[name][0] if self.state.get(each) != "served"]
        return False


_IDS = st.integers(0, 11).map(str)
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("plain"), _IDS),
        st.tuples(
            st.just("wait"), _IDS, st.lists(_IDS, min_size=1, max_size=4, unique=True).map(tuple),
            st.sampled_from([0.0, 0.0, 500.0, 1500.0]), st.sampled_from([300.0, 2500.0, 9000.0]),
        ),
        st.tuples(st.just("end"), _IDS, st.booleans()),
        st.tuples(st.just("leave"), _IDS),
        st.tuples(st.just("pass"), st.sampled_from([1.0, 200.0, 999.0, 2000.0])),
    ),
    max_size=60,
)  # fmt: skip


@settings(max_examples=400)
@given(_STEPS)
def test_it_does_what_a_naive_model_does(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    graph, naive, now = DependencyGraph(BOUNDS), Naive(), 0.0
    for step in steps:
        match step:
            case ("plain", ref) if ref not in naive.state:
                graph.on_job_opened(ref)
                naive.state[ref] = "open"
            case ("wait", ref, after, at, patience) if ref not in naive.state and ref not in after:
                not_before = UNIX + now + at if at else 0.0
                naive.asked[ref] = (after, not_before, now + patience, now)
                hopeless = now + at > now + patience
                doomed = hopeless or naive.cycle(ref, after)
                naive.state[ref] = "dead" if doomed else "waiting"
                wait(graph, ref, *after, at=not_before, latest=now + patience, now=now)
            case ("end", ref, served) if naive.state.get(ref) == "open":
                graph.on_job_ended(ref, served, now)
                naive.state[ref] = "served" if served else "dead"
            case ("leave", ref) if naive.state.get(ref) in ("open", "waiting"):
                graph.on_job_ended(ref, False, now)
                naive.state[ref] = "dead"
            case ("pass", time):
                now += time
        drained(graph, now)
        naive.settle(now, UNIX + now)
        assert set(graph.jobs) == {ref for ref, state in naive.state.items() if state == "waiting"}
        assert graph._open_ids == {ref for ref, state in naive.state.items() if state in ("open", "waiting")}
        assert {ref: each[1] for ref, each in graph._history._ended.items()} == {
            ref: state == "served" for ref, state in naive.state.items() if state in ("served", "dead")
        }
        assert graph.next_due(now, UNIX + now) > now
        # Nothing is kept of what is over.
        unmet = {(name, ref) for ref, waiter in graph.jobs.items() for name in waiter.unmet_dependencies}
        assert {(name, ref) for name, held in graph._dependents.items() for ref in held} == unmet


def test_a_chain_of_ten_thousand_ends_link_by_link_without_recursion() -> None:
    graph = DependencyGraph(BOUNDS)
    graph.on_job_opened("0")
    for number in range(1, 10_000):
        wait(graph, str(number), str(number - 1))
    graph.on_job_ended("0", False, 1.0)
    done = drained(graph, 1.0)
    assert [ref for ref, _ in done] == [str(number) for number in range(1, 10_000)]
    assert {reason for _, reason in done} == {DeferralReason.DEPENDENCY_FAILED}
    assert not graph.jobs and not graph._dependents


def test_a_cycle_that_closes_with_the_last_arrival_ends_all_of_it() -> None:
    graph = DependencyGraph(BOUNDS)
    for number in range(1000):
        wait(graph, str(number), str(number + 1))
    done = dict(drained(graph, 0.0))
    assert done == {}
    wait(graph, "1000", "0")
    done = dict(drained(graph, 0.0))
    assert done["1000"] is DeferralReason.CYCLE
    assert len(done) == 1001


def test_a_job_that_names_itself_is_a_cycle_of_one() -> None:
    graph = DependencyGraph(BOUNDS)
    wait(graph, "a", "a")
    assert drained(graph, 0.0) == [("a", DeferralReason.CYCLE)]


def test_a_diamond_waits_for_both_sides() -> None:
    graph = DependencyGraph(BOUNDS)
    graph.on_job_opened("top")
    wait(graph, "left", "top")
    wait(graph, "right", "top")
    wait(graph, "bottom", "left", "right")
    graph.on_job_ended("top", True, 1.0)
    assert drained(graph, 1.0) == [("left", None), ("right", None)]
    graph.on_job_ended("left", True, 2.0)
    assert drained(graph, 2.0) == []
    graph.on_job_ended("right", True, 3.0)
    assert drained(graph, 3.0) == [("bottom", None)]


def test_a_name_not_heard_of_may_come_a_moment_later_and_else_ends_the_wait() -> None:
    graph = DependencyGraph(BOUNDS)
    wait(graph, "early", "parent")
    wait(graph, "lost", "nobody")
    assert graph.jobs["early"].reason.value == "unknown"
    graph.on_job_opened("parent")
    assert graph.jobs["early"].reason.value == "jobs"
    assert graph.next_due(1.0, UNIX) == 2000.0
    assert drained(graph, 2000.0) == [("lost", DeferralReason.DEPENDENCY_UNKNOWN)]
    graph.on_job_ended("parent", True, 2100.0)
    assert drained(graph, 2100.0) == [("early", None)]


@pytest.mark.parametrize(("served", "reason"), [(True, None), (False, DeferralReason.DEPENDENCY_FAILED)])
def test_a_job_that_is_long_over_is_remembered_for_a_while(
    served: bool, reason: DeferralReason | None
) -> None:
    graph = DependencyGraph(GraphLimits(10, 10, 2000.0, history_ms=5000.0, history_size=2))
    graph.on_job_opened("parent")
    graph.on_job_ended("parent", served, 0.0)
    wait(graph, "soon", "parent", now=4000.0)
    assert drained(graph, 4000.0) == [("soon", reason)]
    wait(graph, "late", "parent", now=5001.0)
    assert drained(graph, 5001.0) == []  # forgotten: waits as for one that was never heard of
    assert drained(graph, 7001.0) == [("late", DeferralReason.DEPENDENCY_UNKNOWN)]


def test_the_memory_of_ended_jobs_is_bounded_in_count() -> None:
    graph = DependencyGraph(GraphLimits(10, 10, 2000.0, history_ms=1e9, history_size=100))
    for number in range(1000):
        graph.on_job_opened(str(number))
        graph.on_job_ended(str(number), True, float(number))
    assert graph.history_length == 100


@pytest.mark.parametrize("bounds", [GraphLimits(2, 10, 1e3, 1e3, 10), GraphLimits(10, 2, 1e3, 1e3, 10)])
def test_beyond_a_cap_a_job_ends_and_the_others_wait_on(bounds: GraphLimits) -> None:
    graph = DependencyGraph(bounds)
    graph.on_job_opened("parent")
    for ref in "abc":
        wait(graph, ref, "parent")
    assert drained(graph, 0.0) == [("c", DeferralReason.CAPACITY_REACHED)]
    graph.on_job_ended("a", False, 1.0)
    wait(graph, "d", "parent", now=1.0)
    assert drained(graph, 1.0) == []


def test_times_far_past_and_far_off() -> None:
    graph = DependencyGraph(BOUNDS)
    wait(graph, "past", at=5.0)
    wait(graph, "ten years", at=UNIX + 3.2e11)
    assert drained(graph, 0.0) == [("past", None), ("ten years", DeferralReason.TOO_LATE)]


def test_a_clock_that_steps_is_followed_and_the_latest_time_is_not() -> None:
    graph = DependencyGraph(BOUNDS)
    wait(graph, "a", at=UNIX + 5000.0, latest=60_000.0)
    wait(graph, "b", at=UNIX + 5000.0, latest=8000.0)
    assert graph.next_due(0.0, UNIX) == 5000.0
    # Set back by an hour: its time has not come, and its client's runs out all the same.
    assert drained(graph, 5000.0, UNIX - 3_600_000.0) == []
    assert drained(graph, 8000.0, UNIX - 3_597_000.0) == [("b", DeferralReason.TOO_LATE)]
    # Set right again, and beyond: it is free at once.
    assert graph.next_due(9000.0, UNIX + 9000.0) == 9000.0
    assert drained(graph, 9000.0, UNIX + 9000.0) == [("a", None)]


def test_what_leaves_early_leaves_nothing_behind() -> None:
    graph = DependencyGraph(BOUNDS)
    for number in range(5000):
        wait(graph, str(number), "nobody", at=UNIX + 9000.0)
        graph.on_job_ended(str(number), False, 0.0)
    assert not graph._dependents and not graph.jobs
    assert len(graph._latest_release_timers._heap) < 200
    assert graph.next_due(0.0, UNIX) == math.inf


def test_closing_ends_all_that_waits() -> None:
    graph = DependencyGraph(BOUNDS)
    graph.on_job_opened("parent")
    wait(graph, "a", "parent")
    wait(graph, "b", "a")
    graph.end_all()
    assert drained(graph, 0.0) == [("a", DeferralReason.DRAINING), ("b", DeferralReason.DRAINING)]


@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=200))
def test_an_agenda_hands_out_what_is_in_it_in_order(entries: list[tuple[int, bool]]) -> None:
    agenda: TimerQueue[int] = TimerQueue()
    kept = []
    for number, (at, out) in enumerate(entries):
        ticket = agenda.schedule(float(at), number)
        if out:
            agenda.cancel(ticket)
            agenda.cancel(ticket)
        else:
            kept.append((at, number))
    assert len(agenda) == len(kept)
    assert agenda.next_due() == min((float(at) for at, _ in kept), default=math.inf)
    handed = []
    while (thing := agenda.pop_due(25.0)) is not None:
        handed.append(thing)
    assert handed == [number for at, number in sorted(kept) if at <= 25]


def test_a_thousand_parents() -> None:
    graph = DependencyGraph(BOUNDS)
    names = [f"p{number}" for number in range(1000)]
    for name in names:
        graph.on_job_opened(name)
    wait(graph, "c", *names)
    for name in names:
        assert drained(graph, 1.0) == []
        graph.on_job_ended(name, True, 1.0)
    assert drained(graph, 1.0) == [("c", None)]
