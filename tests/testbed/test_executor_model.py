"""The executor model: shared cores, a bounded queue in order of arrival, and slow start."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.testbed.executor_model import ExecutorModel, ExecutorSpec, JobProgress
from burlmoor.testbed.messages import JobState


class TimedProgress(NamedTuple):
    at_ms: float
    progress: JobProgress


def run_until(model: ExecutorModel, until_ms: float) -> list[TimedProgress]:
    """Step the model whenever something is due, up to a time, and return the timed progress of jobs."""
    events = [TimedProgress(model._now_ms, progress) for progress in model.step(model._now_ms)]
    while model.next_due_ms() <= until_ms:
        at_ms = model.next_due_ms()
        events += [TimedProgress(at_ms, progress) for progress in model.step(at_ms)]
    return events


def completion_times(events: list[TimedProgress]) -> dict[str, float]:
    return {event.progress.job_id: event.at_ms for event in events if event.progress.state is JobState.DONE}


def test_more_jobs_than_cores_share_the_cores_evenly() -> None:
    model = ExecutorModel(ExecutorSpec(cores=2.0, slots=4, speed=2.0), 0.0)
    for job in ("a", "b", "c", "d"):
        assert model.admit(0.0, job, 200.0)
    # Four jobs on two cores of speed 2: each gets 1 ms of work per ms.
    assert completion_times(run_until(model, 1000.0)) == pytest.approx(dict.fromkeys("abcd", 200.0))


def test_the_queue_is_fifo_and_bounded() -> None:
    model = ExecutorModel(ExecutorSpec(cores=2.0, slots=2, queue_capacity=2), 0.0)
    assert model.admit(0.0, "one", 100.0)
    model.step(0.0)
    assert model.admit(0.0, "wide", 100.0, slots=2)
    assert model.admit(0.0, "small", 10.0)
    assert not model.admit(0.0, "beyond the queue", 10.0)
    assert not model.admit(0.0, "wider than the executor", 10.0, slots=3)
    expected = {"one": 100.0, "wide": 200.0, "small": 210.0}
    assert completion_times(run_until(model, 1000.0)) == pytest.approx(expected)


def test_only_queued_jobs_can_be_dropped() -> None:
    model = ExecutorModel(ExecutorSpec(cores=1.0, slots=1), 0.0)
    model.admit(0.0, "running", 100.0)
    model.admit(0.0, "queued", 100.0)
    model.step(0.0)
    assert model.drop_queued(1.0, "queued")
    assert not model.drop_queued(1.0, "running")
    assert set(completion_times(run_until(model, 500.0))) == {"running"}


def test_capacity_is_lower_during_slow_start() -> None:
    spec = ExecutorSpec(cores=1.0, slots=1, initial_capacity_fraction=0.1, slow_start_ms=1000.0)
    starting = ExecutorModel(spec, 0.0, in_slow_start=True)
    warm = ExecutorModel(spec, 0.0)
    for model in (starting, warm):
        model.admit(0.0, "a", 100.0)
    assert completion_times(run_until(warm, 5000.0))["a"] == pytest.approx(100.0)
    assert 200.0 < completion_times(run_until(starting, 5000.0))["a"] < 700.0
    assert starting.slow_start_factor(5000.0) == 1.0


def test_a_stalled_executor_reports_nothing_and_resumes_its_jobs() -> None:
    model = ExecutorModel(ExecutorSpec(cores=1.0, slots=1, progress_interval_ms=30.0), 0.0)
    model.admit(0.0, "a", 100.0)
    model.step(0.0)
    model.step(50.0)
    model.set_stalled(50.0, is_stalled=True)
    assert model.step(400.0) == []
    assert model.next_due_ms() == float("inf")
    model.set_stalled(400.0, is_stalled=False)
    events = run_until(model, 1000.0)
    assert completion_times(events)["a"] == pytest.approx(450.0)


@given(
    st.lists(st.tuples(st.floats(0.0, 500.0), st.floats(1.0, 300.0), st.integers(1, 3)), max_size=30),
    st.integers(1, 4), st.integers(0, 10),
)  # fmt: skip
def test_every_admitted_job_starts_once_and_ends_once(
    jobs: list[tuple[float, float, int]], slots: int, queue_capacity: int
) -> None:
    model = ExecutorModel(ExecutorSpec(cores=2.0, slots=slots, queue_capacity=queue_capacity), 0.0)
    admitted = set()
    events: list[TimedProgress] = []
    for number, (at_ms, work_ms, width) in enumerate(sorted(jobs)):
        events += run_until(model, at_ms)
        if model.admit(at_ms, str(number), work_ms, width):
            admitted.add(str(number))
        assert model.job_count <= slots + queue_capacity
    events += run_until(model, 1e6)
    started = [event.progress.job_id for event in events if event.progress.state is JobState.STARTED]
    assert sorted(started) == sorted(admitted)
    assert sorted(completion_times(events)) == sorted(admitted)
    assert model.job_count == 0
