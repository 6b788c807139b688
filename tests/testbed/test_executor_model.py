"""The stand-in's machine: cores shared, slots in order, a bounded queue, cold starts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.testbed.executor_model import ExecutorModel, ExecutorSpec, JobProgress


def run(machine: ExecutorModel, until: float) -> list[tuple[float, JobProgress]]:
    """Step whenever something is due."""
    told = [(machine._now, note) for note in machine.step(machine._now)]
    while machine.next_due_ms() <= until:
        at = machine.next_due_ms()
        told += [(at, note) for note in machine.step(at)]
    return told


def ends(told: list[tuple[float, JobProgress]]) -> dict[str, float]:
    return {note.job: at for at, note in told if note.state == "done"}


def test_jobs_share_the_cores_beyond_their_number() -> None:
    machine = ExecutorModel(ExecutorSpec(cores=2.0, slots=4, speed=2.0), 0.0)
    for job in ("a", "b", "c", "d"):
        assert machine.admit(0.0, job, 200.0)
    # Four run on two cores of speed 2: each gets one unit of work a ms.
    assert ends(run(machine, 1000.0)) == pytest.approx(dict.fromkeys("abcd", 200.0))


def test_the_queue_is_served_in_order_and_the_head_waits_until_it_fits() -> None:
    machine = ExecutorModel(ExecutorSpec(cores=2.0, slots=2, queue_capacity=2), 0.0)
    assert machine.admit(0.0, "one", 100.0)
    machine.step(0.0)
    assert machine.admit(0.0, "wide", 100.0, slots=2)
    assert machine.admit(0.0, "small", 10.0)
    assert not machine.admit(0.0, "beyond the queue", 10.0)
    assert not machine.admit(0.0, "wider than it is", 10.0, slots=3)
    done = ends(run(machine, 1000.0))
    assert done == pytest.approx({"one": 100.0, "wide": 200.0, "small": 210.0})


def test_what_waits_can_be_dropped_and_what_runs_goes_on() -> None:
    machine = ExecutorModel(ExecutorSpec(cores=1.0, slots=1), 0.0)
    machine.admit(0.0, "runs", 100.0)
    machine.admit(0.0, "waits", 100.0)
    machine.step(0.0)
    assert machine.drop_queued(1.0, "waits")
    assert not machine.drop_queued(1.0, "runs")
    assert set(ends(run(machine, 500.0))) == {"runs"}


def test_a_cold_machine_is_slow_and_warms() -> None:
    spec = ExecutorSpec(cores=1.0, slots=1, initial_capacity_fraction=0.1, slow_start_ms=1000.0)
    cold, warm = ExecutorModel(spec, 0.0, cold=True), ExecutorModel(spec, 0.0)
    for machine in (cold, warm):
        machine.admit(0.0, "a", 100.0)
    assert ends(run(warm, 5000.0))["a"] == pytest.approx(100.0)
    assert 200.0 < ends(run(cold, 5000.0))["a"] < 700.0
    assert cold.slow_start_factor(5000.0) == 1.0


def test_one_that_stands_still_tells_nothing_and_goes_on_where_it_was() -> None:
    machine = ExecutorModel(ExecutorSpec(cores=1.0, slots=1, progress_interval_ms=30.0), 0.0)
    machine.admit(0.0, "a", 100.0)
    machine.step(0.0)
    machine.step(50.0)
    machine.set_stalled(50.0, True)
    assert machine.step(400.0) == []
    assert machine.next_due_ms() == float("inf")
    machine.set_stalled(400.0, False)
    told = run(machine, 1000.0)
    assert ends(told)["a"] == pytest.approx(450.0)


@given(
    st.lists(st.tuples(st.floats(0.0, 500.0), st.floats(1.0, 300.0), st.integers(1, 3)), max_size=30),
    st.integers(1, 4), st.integers(0, 10),
)  # fmt: skip
def test_every_job_taken_starts_once_and_ends_once(
    jobs: list[tuple[float, float, int]], slots: int, queue: int
) -> None:
    machine = ExecutorModel(ExecutorSpec(cores=2.0, slots=slots, queue_capacity=queue), 0.0)
    taken, told = set(), []
    for number, (at, work, width) in enumerate(sorted(jobs)):
        told += run(machine, at)
        if machine.admit(at, str(number), work, width):
            taken.add(str(number))
        assert machine.job_count <= slots + queue
    told += run(machine, 1e6)
    assert sorted(note.job for _, note in told if note.state == "started") == sorted(taken)
    assert sorted(ends(told)) == sorted(taken)
    assert machine.job_count == 0
