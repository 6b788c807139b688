"""What all nodes together send to cold executors, in virtual time, with nodes that die and return."""

from __future__ import annotations

import random

import pytest

from burlmoor.endpoints.slow_start import SlowStart
from burlmoor.simulation.audit import audit
from burlmoor.simulation.cluster import ClusterSpec, SimulatedCluster
from burlmoor.testbed.executor_model import ExecutorSpec, max_calls_by_chance
from burlmoor.types.settings import Idempotency, JobClass, Limits, Rules, Settings, Tenant

WORK, CORES, COLD, LENGTH = 250.0, 4.0, 12_000.0, 7000.0
SPEC = ExecutorSpec(
    cores=CORES,
    slots=4,
    queue_capacity=40,
    initial_capacity_fraction=0.2,
    slow_start_ms=COLD,
    progress_interval_ms=1000.0,
)


def town(nodes: int, executors: int) -> ClusterSpec:
    """An installation whose tenants may send 0.85 of what it can do."""
    settings = Settings(
        classes=(
            JobClass("quote", 2.0, 600.0, 2.0, 6000.0, Idempotency.IDEMPOTENT),
            JobClass("order", 10.0, 400.0, 2.0, 5000.0, Idempotency.NON_IDEMPOTENT),
        ),
        tenants=(Tenant("all", 1.0, 0.85 * 1000.0 * executors * CORES / WORK),),
        limits=Limits(max_attempts=5, may_cancel=True, may_hedge=True),
        rules=Rules(8.0, 250.0, 0.2, COLD, 4.0, 1000.0, 10_000.0),
        node_count=nodes,
        must_poll=False,
        tick_ms=2.0,
        progress_interval_ms=1000.0,
        reports_start=True,
        weight_by_work=True,
    )
    return ClusterSpec(settings, executors=executors, spec=SPEC, list_delay=(20.0, 400.0))


def play(nodes: int, executors: int, load: float = 1.0) -> SimulatedCluster:
    """Half of the executors are replaced at this load, while seven in ten nodes die and return, twice."""
    world, rng = SimulatedCluster(town(nodes, executors), 1), random.Random(8)
    began, rate = world.now, load * executors * CORES / WORK
    loud = [rng.choice([1, 1, 1, 2, 5]) for _ in range(nodes)]

    def arrive() -> None:
        node = rng.choices(range(nodes), loud)[0]
        world.ask(node, rng.choice(["quote", "quote", "quote", "order"]), 1.0 + rng.expovariate(1.0 / WORK))
        if world.now < began + LENGTH:
            world.at(world.now + rng.expovariate(rate), arrive)

    world.at(began, arrive)
    for name in [f"x{number}" for number in range(0, executors, 2)]:
        world.at(began + rng.uniform(1000.0, 2500.0), lambda name=name: world.kill(name, again=300.0))  # type: ignore[misc]
    for number in range(nodes):
        for wave in (2800.0, 4400.0):
            if nodes > 1 and rng.random() < 0.7:
                at = began + wave + rng.uniform(0.0, 300.0)
                world.at(at, lambda number=number: world.kill_node(number, 250.0))  # type: ignore[misc]
    world.run(began + LENGTH + 7000.0)
    return world


CASES = [
    (1, 6, 1.0),
    (4, 12, 1.0),
    (20, 16, 1.0),
    (20, 12, 3.0),
    (30, 20, 1.0),
    (30, 12, 3.0),
    (230, 30, 1.0),
]


@pytest.mark.parametrize(("nodes", "executors", "load"), CASES)
def test_cold_executors_bear_the_sum_of_what_all_nodes_send(nodes: int, executors: int, load: float) -> None:
    world = play(nodes, executors, load)
    assert audit(world) == []
    used = sum(attempt.start > 0.0 for attempt in world.attempts)
    assert used > executors  # they are not simply left out


@pytest.mark.parametrize("nodes", [20, 30])
def test_nodes_that_each_send_cold_executors_what_they_like_are_noticed(
    nodes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlowStart, "capacity_fraction", lambda *_: 1.0)
    assert any("in a window where it bears" in line for line in audit(play(nodes, 12, load=3.0)))


def test_what_is_put_down_to_chance_is_what_the_operators_say() -> None:
    assert [max_calls_by_chance(budget) for budget in (0.0, 4.0, 25.0, 100.0)] == [2.0, 10.0, 37.0, 122.0]
