"""Clients that leave while their jobs wait, or are out, on a fleet that is full."""

from __future__ import annotations

import random

import pytest

from burlmoor.engine.engine import Engine
from burlmoor.simulation.audit import audit
from burlmoor.simulation.cluster import SimulatedCluster
from burlmoor.types.outcome import Outcome
from tests.simulation.test_slow_start import CORES, WORK, town


def play() -> SimulatedCluster:
    """Twice the load that the fleet can bear; a third of the clients leave, many of them all at once."""
    world, rng = SimulatedCluster(town(4, 6), 3), random.Random(4)
    began, rate = world.now, 2.0 * 6 * CORES / WORK

    def arrive() -> None:
        world.ask(rng.randrange(4), rng.choice(["quote", "order"]), 1.0 + rng.expovariate(1.0 / WORK))
        ref = f"r{len(world.asked) - 1}"
        if rng.random() < 0.33:
            at = world.now + rng.uniform(0.0, 900.0) if rng.random() < 0.5 else began + 2500.0
            world.at(max(at, world.now), lambda: world.leave(ref))
        if world.now < began + 5000.0:
            world.at(world.now + rng.expovariate(rate), arrive)

    world.at(began, arrive)
    world.run(began + 13_000.0)
    return world


def test_nothing_is_sent_for_clients_that_have_left() -> None:
    world = play()
    assert audit(world) == []
    assert sum(row.left < float("inf") for row in world.asked.values()) > 100


def test_a_node_that_does_not_hear_its_clients_leave_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Engine, "on_client_disconnected", lambda _self, _job: None)
    assert any("after its client had left" in line for line in audit(play()))


def test_what_was_left_alone_is_told_to_the_module_as_gone() -> None:
    world = play()
    assert not any(row.answers for row in world.asked.values() if row.left < float("inf"))
    assert Outcome.CANCELLED in {each.known for each in world.attempts}
