"""The dependency graph of deferred jobs: chains, cycles, unknown dependencies, clock steps and limits."""

from __future__ import annotations

import math

import pytest

from burlmoor.deferred.deferred_job import DeferralReason, DeferredJob
from burlmoor.deferred.dependency_graph import DependencyGraph, GraphLimits

LIMITS = GraphLimits(
    max_jobs=10_000, max_dependents=1000, unknown_timeout_ms=2000.0, history_ms=1e9, history_size=10**6
)
START_UNIX_MS = 1_700_000_000_000.0


def pop_all_ready(
    graph: DependencyGraph, now: float, unix_now: float | None = None
) -> list[tuple[str, DeferralReason | None]]:
    """Remove all decided jobs from the graph; return their ids and end reasons."""
    done = []
    while (job := graph.pop_decided(now, START_UNIX_MS + now if unix_now is None else unix_now)) is not None:
        done.append((job.id, job.end_reason))
        if job.end_reason is None:
            graph.remove(job.id)
        else:
            graph.on_job_ended(job.id, now, was_served=False)
    return done


def defer(
    graph: DependencyGraph,
    request_id: str,
    *after: str,
    not_before_unix_ms: float = 0.0,
    latest_release_at: float = 1e6,
    now: float = 0.0,
) -> DeferredJob:
    graph.on_job_admitted(request_id)
    return graph.add(request_id, after, not_before_unix_ms, latest_release_at, now, START_UNIX_MS + now)


def test_a_chain_of_ten_thousand_jobs_ends_one_by_one_without_recursion() -> None:
    graph = DependencyGraph(LIMITS)
    graph.on_job_admitted("0")
    for number in range(1, 10_000):
        defer(graph, str(number), str(number - 1))
    graph.on_job_ended("0", 1.0, was_served=False)
    done = pop_all_ready(graph, 1.0)
    assert [request_id for request_id, _ in done] == [str(number) for number in range(1, 10_000)]
    assert {reason for _, reason in done} == {DeferralReason.DEPENDENCY_FAILED}
    assert not graph.jobs
    assert not graph._dependents


def test_a_cycle_closed_by_the_last_job_ends_all_of_its_jobs() -> None:
    graph = DependencyGraph(LIMITS)
    for number in range(1000):
        defer(graph, str(number), str(number + 1))
    done = dict(pop_all_ready(graph, 0.0))
    assert done == {}
    defer(graph, "1000", "0")
    done = dict(pop_all_ready(graph, 0.0))
    assert done["1000"] is DeferralReason.CYCLE
    assert len(done) == 1001


def test_a_job_that_depends_on_itself_is_a_cycle() -> None:
    graph = DependencyGraph(LIMITS)
    defer(graph, "a", "a")
    assert pop_all_ready(graph, 0.0) == [("a", DeferralReason.CYCLE)]


def test_a_job_waits_for_all_its_dependencies() -> None:
    graph = DependencyGraph(LIMITS)
    graph.on_job_admitted("top")
    defer(graph, "left", "top")
    defer(graph, "right", "top")
    defer(graph, "bottom", "left", "right")
    graph.on_job_ended("top", 1.0, was_served=True)
    assert pop_all_ready(graph, 1.0) == [("left", None), ("right", None)]
    graph.on_job_ended("left", 2.0, was_served=True)
    assert pop_all_ready(graph, 2.0) == []
    graph.on_job_ended("right", 3.0, was_served=True)
    assert pop_all_ready(graph, 3.0) == [("bottom", None)]


def test_an_unknown_dependency_may_be_admitted_later_and_otherwise_ends_the_deferral() -> None:
    graph = DependencyGraph(LIMITS)
    defer(graph, "early", "parent")
    defer(graph, "lost", "nobody")
    assert graph.jobs["early"].reason.value == "unknown"
    graph.on_job_admitted("parent")
    assert graph.jobs["early"].reason.value == "jobs"
    assert graph.next_due(1.0, START_UNIX_MS) == 2000.0
    assert pop_all_ready(graph, 2000.0) == [("lost", DeferralReason.DEPENDENCY_UNKNOWN)]
    graph.on_job_ended("parent", 2100.0, was_served=True)
    assert pop_all_ready(graph, 2100.0) == [("early", None)]


@pytest.mark.parametrize(("served", "reason"), [(True, None), (False, DeferralReason.DEPENDENCY_FAILED)])
def test_the_outcome_of_an_ended_job_is_remembered_for_a_limited_time(
    served: bool, reason: DeferralReason | None
) -> None:
    graph = DependencyGraph(GraphLimits(10, 10, 2000.0, history_ms=5000.0, history_size=2))
    graph.on_job_admitted("parent")
    graph.on_job_ended("parent", 0.0, was_served=served)
    defer(graph, "soon", "parent", now=4000.0)
    assert pop_all_ready(graph, 4000.0) == [("soon", reason)]
    defer(graph, "late", "parent", now=5001.0)
    assert pop_all_ready(graph, 5001.0) == []  # the outcome is forgotten, so the dependency is unknown
    assert pop_all_ready(graph, 7001.0) == [("late", DeferralReason.DEPENDENCY_UNKNOWN)]


def test_the_history_of_ended_jobs_is_bounded_in_count() -> None:
    graph = DependencyGraph(GraphLimits(10, 10, 2000.0, history_ms=1e9, history_size=100))
    for number in range(1000):
        graph.on_job_admitted(str(number))
        graph.on_job_ended(str(number), float(number), was_served=True)
    assert graph.history_length == 100


@pytest.mark.parametrize("limits", [GraphLimits(2, 10, 1e3, 1e3, 10), GraphLimits(10, 2, 1e3, 1e3, 10)])
def test_a_job_beyond_a_limit_ends_and_the_others_stay_deferred(limits: GraphLimits) -> None:
    graph = DependencyGraph(limits)
    graph.on_job_admitted("parent")
    for request_id in "abc":
        defer(graph, request_id, "parent")
    assert pop_all_ready(graph, 0.0) == [("c", DeferralReason.CAPACITY_REACHED)]
    graph.on_job_ended("a", 1.0, was_served=False)
    defer(graph, "d", "parent", now=1.0)
    assert pop_all_ready(graph, 1.0) == []


def test_a_past_not_before_time_is_met_and_one_beyond_the_latest_release_ends_the_deferral() -> None:
    graph = DependencyGraph(LIMITS)
    defer(graph, "past", not_before_unix_ms=5.0)
    defer(graph, "ten years", not_before_unix_ms=START_UNIX_MS + 3.2e11)
    assert pop_all_ready(graph, 0.0) == [("past", None), ("ten years", DeferralReason.TOO_LATE)]


def test_a_unix_clock_step_affects_not_before_times_but_not_latest_release_times() -> None:
    graph = DependencyGraph(LIMITS)
    defer(graph, "a", not_before_unix_ms=START_UNIX_MS + 5000.0, latest_release_at=60_000.0)
    defer(graph, "b", not_before_unix_ms=START_UNIX_MS + 5000.0, latest_release_at=8000.0)
    assert graph.next_due(0.0, START_UNIX_MS) == 5000.0
    # With the clock set back by an hour, no not-before time has passed, yet the latest-release time has.
    assert pop_all_ready(graph, 5000.0, START_UNIX_MS - 3_600_000.0) == []
    assert pop_all_ready(graph, 8000.0, START_UNIX_MS - 3_597_000.0) == [("b", DeferralReason.TOO_LATE)]
    # With the clock set forward beyond the not-before time, the job is runnable at once.
    assert graph.next_due(9000.0, START_UNIX_MS + 9000.0) == 9000.0
    assert pop_all_ready(graph, 9000.0, START_UNIX_MS + 9000.0) == [("a", None)]


def test_no_state_remains_of_jobs_that_end_early() -> None:
    graph = DependencyGraph(LIMITS)
    for number in range(5000):
        defer(graph, str(number), "nobody", not_before_unix_ms=START_UNIX_MS + 9000.0)
        graph.on_job_ended(str(number), 0.0, was_served=False)
    assert not graph._dependents
    assert not graph.jobs
    assert len(graph._latest_release_timers._heap) < 200
    assert graph.next_due(0.0, START_UNIX_MS) == math.inf


def test_end_all_ends_every_deferral() -> None:
    graph = DependencyGraph(LIMITS)
    graph.on_job_admitted("parent")
    defer(graph, "a", "parent")
    defer(graph, "b", "a")
    graph.end_all()
    assert pop_all_ready(graph, 0.0) == [("a", DeferralReason.DRAINING), ("b", DeferralReason.DRAINING)]


def test_a_job_may_depend_on_a_thousand_others() -> None:
    graph = DependencyGraph(LIMITS)
    names = [f"p{number}" for number in range(1000)]
    for name in names:
        graph.on_job_admitted(name)
    defer(graph, "c", *names)
    for name in names:
        assert pop_all_ready(graph, 1.0) == []
        graph.on_job_ended(name, 1.0, was_served=True)
    assert pop_all_ready(graph, 1.0) == [("c", None)]
