"""Tests of many nodes that share endpoints: the load that they cause together."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from burlmoor.types.endpoint_list import EndpointState, ListKind
from burlmoor.types.settings import Tenant
from tests.support.dispatcher_driver import RULES, entries, settings
from tests.support.dispatcher_fleet import SimulatedFleet

if TYPE_CHECKING:
    import random


def make_fleet_of_40_nodes(count: int = 60, slots: int = 4) -> SimulatedFleet:
    """Return 40 nodes that share `count` endpoints, each with this many slots."""
    return SimulatedFleet(settings(node_count=40), entries(count), slots=slots)


def test_jobs_with_a_hot_key_are_not_rejected_while_endpoints_are_free() -> None:
    # The hot key has 30 % of the work of a half-full fleet, which is the work of 18 endpoints, while a key is
    # assigned to at least four.
    fleet = make_fleet_of_40_nodes()

    def job(rng: random.Random) -> tuple[str, float, str]:
        return "lookup", 250.0, "hot" if rng.random() < 0.3 else f"{rng.randrange(400):04x}"

    fleet.generate_load(480.0, 9000.0, job)
    fleet.run_until(12_000.0)
    assert fleet.fraction_answered("served", "hot") > 0.95
    sent = Counter(name for at, name, _ in fleet.sends if at > 4000.0)
    assert max(sent.values()) < 4 * sum(sent.values()) / len(fleet.listed)


def test_jobs_queued_at_seldom_used_endpoints_are_not_hedged() -> None:
    # Of 40 nodes hardly any has a recent report from a given endpoint, which is no sign that it hangs.
    fleet = make_fleet_of_40_nodes()
    fleet.generate_load(800.0, 8000.0, lambda rng: ("lookup", rng.expovariate(1 / 250.0), ""))
    fleet.run_until(12_000.0)
    assert len(fleet.sends) < 1.07 * len(fleet.jobs)


def test_replaced_endpoints_are_used_within_their_slow_start_budget() -> None:
    # Three in five endpoints are new and in slow start, and all nodes get the list at the same time.
    tenants = (Tenant("all", 1.0, 800.0),)
    fleet = SimulatedFleet(settings(node_count=40, tenants=tenants), entries(30), slots=8)
    fleet.generate_load(850.0, 9000.0, lambda rng: ("lookup", rng.expovariate(1 / 250.0), ""))
    fleet.run_until(4000.0)
    started = fleet.now
    replaced = [
        each._replace(endpoint=f"new{n}", started_at=started) if n % 5 < 3 else each
        for n, each in enumerate(fleet.listed)
    ]
    fleet.send_list(range(40), ListKind.SNAPSHOT, replaced)
    fleet.run_until(9000.0)
    work_by_window: defaultdict[tuple[str, int], float] = defaultdict(float)
    for at, name, work in fleet.sends:
        if name.startswith("new"):
            work_by_window[name, int((at - started) // RULES.overload_window_ms)] += work
    shares = []
    for (_, window), work in work_by_window.items():
        capacity_fraction = (
            RULES.initial_capacity_fraction
            + (1.0 - RULES.initial_capacity_fraction)
            * (window + 0.5)
            * RULES.overload_window_ms
            / RULES.slow_start_ms
        )
        shares.append(work / (capacity_fraction * 8.0 * RULES.overload_window_ms))
    assert max(shares) < RULES.overload_multiple
    assert sum(shares) / (18 * 2) > 0.5  # of their capacity, over the first two whole windows


STRICT_RULES = replace(RULES, overload_multiple=4.0, overload_window_ms=1000.0)


def run_warming_fleet(
    *, has_hot_key: bool = False, removes_warm_endpoints: bool = False, is_simultaneous: bool = False
) -> SimulatedFleet:
    """Run 200 new nodes with more work than ten warm endpoints and five in slow start have capacity for."""
    listed = [*entries(10, weight=1.0), *entries(5, "b", weight=1.0, started_at=900.0)]
    tenants = (Tenant("all", 1.0, 15 * 20.0),)  # 4 ms of work per ms at each endpoint, in jobs of 200 ms
    fleet = SimulatedFleet(settings(node_count=200, tenants=tenants, rules=STRICT_RULES), listed, slots=1000)
    for node in range(200):
        for at in range(1000, 3400, 200):
            # All nodes at the same time, or each at a random time.
            when = at + (0.0 if is_simultaneous else fleet.rng.uniform(0.0, 200.0))

            def request(node: int = node) -> None:
                key = "hot" if has_hot_key else f"{fleet.rng.randrange(40):04x}"
                fleet.request("lookup", fleet.rng.expovariate(1 / 200.0), key, node=node)

            fleet.schedule(when, request)
    if removes_warm_endpoints:
        gone = [each._replace(state=EndpointState.GONE) for each in listed[:10]]
        fleet.schedule(2000.0, lambda: fleet.send_list(range(200), ListKind.DELTA, gone))
    fleet.run_until(4000.0)
    return fleet


@pytest.mark.parametrize(
    "case",
    [
        {},
        {"is_simultaneous": True},
        {"has_hot_key": True, "removes_warm_endpoints": True},
        {"removes_warm_endpoints": True},
    ],
)
def test_two_hundred_nodes_stay_within_a_slow_start_budget_in_every_window(case: dict[str, bool]) -> None:
    fleet = run_warming_fleet(**case)
    send_counts = Counter[str]()
    for name in ("b0", "b1", "b2", "b3", "b4"):
        sent = [(at, work) for at, each, work in fleet.sends if each == name]
        send_counts[name] = len(sent)
        for start, _ in sent:
            capacity_fraction = (
                STRICT_RULES.initial_capacity_fraction
                + (1.0 - STRICT_RULES.initial_capacity_fraction)
                * (start - 900.0)
                / STRICT_RULES.slow_start_ms
            )
            budget = (
                STRICT_RULES.overload_multiple * capacity_fraction * 4.0 * STRICT_RULES.overload_window_ms
            )
            assert (
                sum(work for at, work in sent if start <= at < start + STRICT_RULES.overload_window_ms)
                <= budget
            )
    assert min(send_counts.values()) > 0


def test_an_endpoint_that_fails_at_once_gets_few_jobs_from_all_nodes() -> None:
    fleet = make_fleet_of_40_nodes()
    fleet.endpoints["a7"].is_faulty = True
    fleet.generate_load(600.0, 9000.0, lambda rng: ("lookup", 250.0, f"{rng.randrange(400):04x}"))
    fleet.run_until(10_000.0)
    sent = sum(name == "a7" for _, name, _ in fleet.sends)
    assert sent < 5 * len(fleet.nodes)
    assert fleet.fraction_answered("served") > 0.95


def test_a_zone_that_vanishes_gets_few_jobs_and_has_a_slow_start_when_it_is_back() -> None:
    listed = [*entries(40), *entries(20, zone="b")]
    fleet = SimulatedFleet(settings(node_count=40), listed)
    fleet.generate_load(500.0, 16_000.0, lambda rng: ("lookup", 250.0, f"{rng.randrange(400):04x}"))
    fleet.run_until(4000.0)
    for each in fleet.endpoints.values():
        each.is_silent = each.entry.zone == "b"
    fleet.run_until(9000.0)
    lost = [name for at, name, _ in fleet.sends if at > 7000.0 and name.startswith("b")]
    # A third of the endpoints have vanished; they get less than 15 % of the jobs of two seconds.
    assert len(lost) < 0.15 * 500.0 * 2.0
    back = [each._replace(started_at=fleet.now) for each in listed if each.zone == "b"]
    fleet.send_list(range(40), ListKind.DELTA, back)
    fleet.run_until(11_000.0)
    capacity_fraction = (
        RULES.initial_capacity_fraction
        + (1.0 - RULES.initial_capacity_fraction) * 1000.0 / RULES.slow_start_ms
    )
    work_by_endpoint = Counter[str]()
    for at, name, work in fleet.sends:
        work_by_endpoint[name] += int(work) if at > 9000.0 and name.startswith("b") else 0
    assert (
        0
        < max(work_by_endpoint.values())
        < RULES.overload_multiple * capacity_fraction * 4.0 * RULES.overload_window_ms
    )


def test_most_jobs_sent_to_a_full_fleet_are_served() -> None:
    # Each of 40 nodes has only a few jobs in flight, whether the fleet is idle or full, so its own load
    # hardly shows whether the fleet is full.
    fleet = make_fleet_of_40_nodes()
    fleet.generate_load(1150.0, 9000.0, lambda rng: ("lookup", rng.expovariate(1 / 250.0), ""))
    fleet.run_until(12_000.0)
    served = fleet.fraction_answered("served") * len(fleet.jobs)
    assert served > 0.7 * len(fleet.jobs)
    assert served > 0.75 * len(fleet.sends)
