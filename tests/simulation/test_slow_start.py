"""Slow start: the work that all nodes together send to warming executors, while nodes crash and restart."""

from __future__ import annotations

import random
from functools import partial

import pytest

from burlmoor.policy.endpoints.slow_start import SlowStart
from burlmoor.simulation.audit import audit
from burlmoor.simulation.cluster import SimulatedCluster
from burlmoor.simulation.cluster_spec import ClusterSpec
from burlmoor.testbed.executor_model import ExecutorSpec, max_jobs_by_chance
from burlmoor.types.settings import Idempotency, JobClass, Limits, Rules, Settings, Tenant

MEAN_WORK_MS = 250.0
CORES = 4.0
WARM_UP_MS = 12_000.0
RUN_MS = 7000.0  # how long clients send jobs
SETTLE_MS = 7000.0  # time for the last jobs to be answered
EXECUTOR_SPEC = ExecutorSpec(
    cores=CORES,
    slots=4,
    queue_capacity=40,
    initial_capacity_fraction=0.2,
    slow_start_ms=WARM_UP_MS,
    progress_interval_ms=1000.0,
)


def cluster_spec(nodes: int, executors: int) -> ClusterSpec:
    """Return a cluster whose tenants have quotas of 0.85 of its capacity."""
    settings = Settings(
        classes=(
            JobClass("quote", 2.0, 600.0, 2.0, 6000.0, Idempotency.IDEMPOTENT),
            JobClass("order", 10.0, 400.0, 2.0, 5000.0, Idempotency.NON_IDEMPOTENT),
        ),
        tenants=(Tenant("all", 1.0, 0.85 * 1000.0 * executors * CORES / MEAN_WORK_MS),),
        limits=Limits(max_attempts=5, may_cancel=True, may_hedge=True),
        rules=Rules(8.0, 250.0, 0.2, WARM_UP_MS, 4.0, 1000.0, 10_000.0),
        node_count=nodes,
        pulls_endpoint_list=False,
        tick_ms=2.0,
        progress_interval_ms=1000.0,
        reports_start=True,
        weight_by_work=True,
    )
    return ClusterSpec(
        settings, executor_count=executors, executor_spec=EXECUTOR_SPEC, list_delay_ms=(20.0, 400.0)
    )


def run_replacement(nodes: int, executors: int, load: float = 1.0) -> SimulatedCluster:
    """Restart half of the executors at this load, while 70 % of the nodes crash and restart, twice."""
    cluster = SimulatedCluster(cluster_spec(nodes, executors), 1)
    rng = random.Random(8)
    began = cluster.now
    jobs_per_ms = load * executors * CORES / MEAN_WORK_MS
    node_weights = [rng.choice([1, 1, 1, 2, 5]) for _ in range(nodes)]

    def arrive() -> None:
        node_index = rng.choices(range(nodes), node_weights)[0]
        job_class = rng.choice(["quote", "quote", "quote", "order"])
        cluster.submit_job(node_index, job_class, 1.0 + rng.expovariate(1.0 / MEAN_WORK_MS))
        if cluster.now < began + RUN_MS:
            cluster.schedule(cluster.now + rng.expovariate(jobs_per_ms), arrive)

    cluster.schedule(began, arrive)
    for name in [f"x{number}" for number in range(0, executors, 2)]:
        crashes_at = began + rng.uniform(1000.0, 2500.0)
        cluster.schedule(crashes_at, partial(cluster.executors.crash, name, restart_after_ms=300.0))
    for node_index in range(nodes):
        for wave in (2800.0, 4400.0):
            if nodes > 1 and rng.random() < 0.7:
                at = began + wave + rng.uniform(0.0, 300.0)
                cluster.schedule(at, partial(cluster.crash_node, node_index, 250.0))
    cluster.run(began + RUN_MS + SETTLE_MS)
    return cluster


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
def test_all_nodes_together_do_not_overload_warming_executors(
    nodes: int, executors: int, load: float
) -> None:
    cluster = run_replacement(nodes, executors, load)
    assert audit(cluster) == []
    sent = sum(record.executor_started_at > 0.0 for record in cluster.attempt_records)
    assert sent > executors  # nodes do not just avoid warming executors


@pytest.mark.parametrize("nodes", [20, 30])
def test_the_audit_detects_nodes_without_slow_start(nodes: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "capacity_fraction", lambda *_: 1.0)
    assert any("in a window with a budget of" in line for line in audit(run_replacement(nodes, 12, load=3.0)))


def test_max_jobs_by_chance_is_as_specified() -> None:
    assert [max_jobs_by_chance(budget) for budget in (0.0, 4.0, 25.0, 100.0)] == [2.0, 10.0, 37.0, 122.0]
