"""The dependency graph, compared with a naive model after random events."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from burlmoor.deferred.dependency_graph import DependencyGraph
from tests.deferred.test_dependency_graph import LIMITS, START_UNIX_MS, defer, pop_all_ready


class Conditions(NamedTuple):
    after: tuple[str, ...]
    not_before_unix_ms: float
    latest_release_at: float
    deferred_at: float


@dataclass
class NaiveModel:
    """Applies the same rules by recomputing the state of every job until none changes."""

    states: dict[str, str] = field(default_factory=dict)  # open, deferred, served or failed
    conditions: dict[str, Conditions] = field(default_factory=dict)

    def settle(self, now: float, unix_now: float) -> None:
        while True:
            before = dict(self.states)
            for request_id in [name for name, state in self.states.items() if state == "deferred"]:
                self.states[request_id] = self.next_state(self.conditions[request_id], now, unix_now)
            if before == self.states:
                return

    def next_state(self, conditions: Conditions, now: float, unix_now: float) -> str:
        parents = [self.states.get(name, "unknown") for name in conditions.after]
        if "failed" in parents or now >= conditions.latest_release_at:
            return "failed"
        if "unknown" in parents and now >= conditions.deferred_at + LIMITS.unknown_timeout_ms:
            return "failed"
        is_runnable = set(parents) <= {"served"} and unix_now >= conditions.not_before_unix_ms
        return "open" if is_runnable else "deferred"

    def closes_cycle(self, request_id: str, after: tuple[str, ...]) -> bool:
        visited = set()
        pending = list(after)
        while pending:
            name = pending.pop()
            if name == request_id:
                return True
            if name not in visited and self.states.get(name) == "deferred":
                visited.add(name)
                pending += [
                    parent for parent in self.conditions[name].after if self.states.get(parent) != "served"
                ]
        return False


_IDS = st.integers(0, 11).map(str)
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("open"), _IDS),
        st.tuples(
            st.just("defer"), _IDS, st.lists(_IDS, min_size=1, max_size=4, unique=True).map(tuple),
            st.sampled_from([0.0, 0.0, 500.0, 1500.0]), st.sampled_from([300.0, 2500.0, 9000.0]),
        ),
        st.tuples(st.just("end"), _IDS, st.booleans()),
        st.tuples(st.just("disconnect"), _IDS),
        st.tuples(st.just("advance"), st.sampled_from([1.0, 200.0, 999.0, 2000.0])),
    ),
    max_size=60,
)  # fmt: skip


class Comparison:
    """Applies the same events to a graph and the model; skips events that are impossible in a state."""

    def __init__(self) -> None:
        self.graph = DependencyGraph(LIMITS)
        self.model = NaiveModel()
        self.now = 0.0

    def open_job(self, request_id: str) -> None:
        if request_id in self.model.states:
            return
        self.graph.on_job_admitted(request_id)
        self.model.states[request_id] = "open"

    def defer_job(self, request_id: str, after: tuple[str, ...], delay_ms: float, timeout_ms: float) -> None:
        if request_id in self.model.states or request_id in after:
            return
        not_before = START_UNIX_MS + self.now + delay_ms if delay_ms else 0.0
        latest = self.now + timeout_ms
        self.model.conditions[request_id] = Conditions(after, not_before, latest, self.now)
        is_too_late = self.now + delay_ms > latest
        is_failed = is_too_late or self.model.closes_cycle(request_id, after)
        self.model.states[request_id] = "failed" if is_failed else "deferred"
        defer(
            self.graph,
            request_id,
            *after,
            not_before_unix_ms=not_before,
            latest_release_at=latest,
            now=self.now,
        )

    def end_job(self, request_id: str, was_served: bool) -> None:
        if self.model.states.get(request_id) == "open":
            self.graph.on_job_ended(request_id, self.now, was_served=was_served)
            self.model.states[request_id] = "served" if was_served else "failed"

    def disconnect_client(self, request_id: str) -> None:
        if self.model.states.get(request_id) in ("open", "deferred"):
            self.graph.on_job_ended(request_id, self.now, was_served=False)
            self.model.states[request_id] = "failed"

    def settle(self) -> None:
        pop_all_ready(self.graph, self.now)
        self.model.settle(self.now, START_UNIX_MS + self.now)

    def check(self) -> None:
        states = self.model.states
        graph = self.graph
        assert set(graph.jobs) == {name for name, state in states.items() if state == "deferred"}
        assert graph._open_ids == {name for name, state in states.items() if state in ("open", "deferred")}
        assert {name: was_served for name, (_, was_served) in graph._history._ended.items()} == {
            name: state == "served" for name, state in states.items() if state in ("served", "failed")
        }
        assert graph.next_due(self.now, START_UNIX_MS + self.now) > self.now

    def check_links(self) -> None:
        """Check that the graph has no link to a job that has ended."""
        graph = self.graph
        unmet = {(parent, name) for name, job in graph.jobs.items() for parent in job.unmet_dependencies}
        assert {(parent, name) for parent, jobs in graph._dependents.items() for name in jobs} == unmet


@settings(max_examples=400)
@given(_STEPS)
def test_the_graph_agrees_with_a_naive_model(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    comparison = Comparison()
    for step in steps:
        match step:
            case ("open", request_id):
                comparison.open_job(request_id)
            case ("defer", request_id, after, delay_ms, timeout_ms):
                comparison.defer_job(request_id, after, delay_ms, timeout_ms)
            case ("end", request_id, was_served):
                comparison.end_job(request_id, was_served)
            case ("disconnect", request_id):
                comparison.disconnect_client(request_id)
            case ("advance", duration_ms):
                comparison.now += duration_ms
        comparison.settle()
        comparison.check()
        comparison.check_links()
