"""The second deployment's hardest moments, played in a town of its make: the four rules hold all through."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from burlmoor.engine.answers import Served
from burlmoor.simulation.audit import audit
from burlmoor.simulation.cluster import ClusterSpec, SimulatedCluster
from burlmoor.testbed.executor_model import ExecutorSpec
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.settings import (
    DeduplicationScope,
    Idempotency,
    JobClass,
    Limits,
    ObjectiveWeights,
    Rules,
    Settings,
    Tenant,
)

CLASSES = (
    JobClass(
        "booking",
        5.0,
        750.0,
        2.0,
        10_000.0,
        Idempotency.IDEMPOTENT_WITH_KEY,
        DeduplicationScope.ALL,
        15_000.0,
    ),
    JobClass("deposit", 3.0, 500.0, 1.75, 20_000.0, Idempotency.NON_IDEMPOTENT),
)
SETTINGS = Settings(
    classes=CLASSES,
    tenants=tuple(Tenant(name, share, 50.0 * share) for name, share in (("big", 0.7), ("small", 0.3))),
    limits=Limits(
        max_attempts=5, may_cancel=True, may_check_health=True, may_hedge=True, sends_retry_after=True
    ),
    rules=Rules(8.0, 250.0, 0.15, 24_000.0, 2.5, 3000.0, 10_000.0),
    objective=ObjectiveWeights(0.4, 0.4),
    node_count=2,
    must_poll=False,
    tick_ms=4.0,
    progress_interval_ms=1000.0,
    reports_start=True,
    weight_by_work=True,
    over_quota_fraction=0.05,
)
TOWN = ClusterSpec(
    SETTINGS,
    zones=("banqiao", "taichung"),
    executors=15,
    spec=ExecutorSpec(
        cores=5.0,
        slots=5,
        queue_capacity=20,
        initial_capacity_fraction=0.15,
        slow_start_ms=24_000.0,
        progress_interval_ms=1000.0,
    ),
    list_delay=(500.0, 2500.0),
    weights="live",
    lost=0.01,
    reset=0.01,
)
LENGTH, USUAL = 30_000.0, 0.052  # jobs a ms


def play(
    happens: Callable[[SimulatedCluster], None],
    town: ClusterSpec = TOWN,
    rate: Callable[[float], float] = lambda _: USUAL,
    tenant: Callable[[float, random.Random], str] = lambda _, rng: rng.choice(["big", "big", "small"]),
) -> SimulatedCluster:
    """Half a minute of the office's jobs, at `rate` a ms, and all answers awaited."""
    world, rng = SimulatedCluster(town, 5), random.Random(6)
    began = world.now

    def arrive() -> None:
        name, work = rng.choice([("booking", 900.0), ("booking", 900.0), ("deposit", 1700.0)])
        world.ask(
            rng.randrange(2), name, work * rng.lognormvariate(-0.1, 0.4), tenant(world.now - began, rng)
        )
        if world.now < began + LENGTH:
            world.at(world.now + rng.expovariate(rate(world.now - began)), arrive)

    world.at(began, arrive)
    happens(world)
    world.run(began + LENGTH + 25_000.0)
    return world


def served(world: SimulatedCluster, since: float = 0.0) -> float:
    """The share of what was asked from `since` on (ms into the run) that was served."""
    began = min(row.sent for row in world.asked.values())
    rows = [row for row in world.asked.values() if row.sent >= began + since]
    return sum(isinstance(row.answers[0][1], Served) for row in rows if row.answers) / len(rows)


def replace_all(world: SimulatedCluster) -> None:
    """All 15 executors are replaced within 21 s, each by a cold one."""
    for number in range(15):
        at = world.now + 2000.0 + 1400.0 * number
        world.at(at, lambda n=number: world.drain(f"x{n}", 900.0))  # type: ignore[misc]
        world.at(at + 2500.0, lambda n=number: world._come_back(f"x{n}"))  # type: ignore[misc]


def shrink(world: SimulatedCluster) -> None:
    """The fleet shrinks to 37 % of its size."""
    for number in range(6, 15):
        at = world.now + 5000.0 + 900.0 * number
        world.at(at, lambda n=number: world.drain(f"x{n}", 3000.0))  # type: ignore[misc]


def repeat_the_list(world: SimulatedCluster) -> None:
    """The whole list is pushed every 40 ms, all alike, while executors come and go."""
    began = world.now

    def push() -> None:
        for node in world.nodes:
            if node is not None:
                node.hear(world.listed(), ListKind.SNAPSHOT)
        if world.now < began + LENGTH:
            world.at(world.now + 40.0, push)

    push()
    shrink(world)


def test_a_silent_agent_costs_no_rule_and_little_service() -> None:
    late = replace(TOWN, list_delay=(11_000.0, 11_001.0))
    world = play(shrink, late)
    assert audit(world) == []
    assert served(world) > 0.3


@pytest.mark.parametrize(("happens", "least"), [(replace_all, 0.25), (shrink, 0.4), (repeat_the_list, 0.4)])
def test_a_fleet_that_is_replaced_shrinks_or_is_told_without_end(
    happens: Callable[[SimulatedCluster], None], least: float
) -> None:
    world = play(happens)
    assert audit(world) == []
    assert served(world) > least


def test_a_tenant_far_over_its_share_while_the_fleet_shrinks_does_not_drown_the_other() -> None:
    def rate(at: float) -> float:
        return USUAL * (0.67 + 0.33 * (5.6 if 5000.0 <= at < 24_000.0 else 1.0))

    def tenant(at: float, rng: random.Random) -> str:
        small = 0.33 * (5.6 if 5000.0 <= at < 24_000.0 else 1.0)
        return "small" if rng.random() < small / (small + 0.67) else "big"

    world = play(shrink, rate=rate, tenant=tenant)
    assert audit(world) == []
    shares = {}
    for name in ("big", "small"):
        rows = [row for row in world.asked.values() if row.tenant == name]
        shares[name] = sum(isinstance(row.answers[0][1], Served) for row in rows) / len(rows)
    assert shares["big"] > shares["small"]


def test_a_burst_on_a_loaded_fleet_is_over_when_it_ends() -> None:
    bears = 15 * 5.0 / 1160.0  # jobs a ms
    world = play(lambda _: None, rate=lambda at: bears * 0.85 * (2.5 if 8000.0 <= at < 14_000.0 else 1.0))
    assert audit(world) == []
    assert served(world, since=20_000.0) > 0.75
