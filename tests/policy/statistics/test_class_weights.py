"""Class weights."""

from __future__ import annotations

import pytest

from burlmoor.policy.statistics.class_weights import ClassWeights
from burlmoor.types.settings import ObjectiveWeights
from tests.support.dispatcher_driver import LOOKUP, ONCE, DispatcherDriver, settings

BLEND = ObjectiveWeights(overall=0.4, worst_class=0.4)


def class_weights_of(blend: ObjectiveWeights, **shares: float) -> ClassWeights:
    """Return the weights of classes of equal priority weight of which these shares were served."""
    standings = ClassWeights(blend)
    for number in range(1000):
        for name, share in shares.items():
            standings.record_request(name, 10.0, float(number))
            if number < 1000 * share:
                standings.record_served(name, 10.0, float(number))
    return standings


def test_classes_weigh_alike_until_one_is_behind() -> None:
    standings = class_weights_of(BLEND, few=0.9, many=0.9)
    assert standings.weight("few", 1000.0) == pytest.approx(standings.weight("many", 1000.0))
    assert standings.weight("never seen", 1000.0) == 1.0


def test_a_class_that_is_behind_weighs_more_the_further_it_lies_behind() -> None:
    near, far = class_weights_of(BLEND, few=0.85, many=0.9), class_weights_of(BLEND, few=0.5, many=0.9)
    weights = [each.weight("few", 1000.0) / each.weight("many", 1000.0) for each in (near, far)]
    assert 1.1 < weights[0] < weights[1]
    # In the limit it has all that the objective gives to the worst class: half of the weight, counted twice.
    assert weights[1] == pytest.approx((0.4 + 0.8) / 0.4, rel=0.1)


def test_an_objective_without_the_worst_class_weighs_all_alike() -> None:
    assert class_weights_of(ObjectiveWeights(), few=0.2, many=0.9).weight("few", 1000.0) == pytest.approx(1.0)


def test_the_worst_served_class_is_dispatched_before_one_of_more_weight() -> None:
    # Without this, a class comes off worst by its weight alone, where the worst-served class counts.
    def standing(blend: ObjectiveWeights) -> tuple[float, float]:
        driver = DispatcherDriver(settings(classes=(LOOKUP, ONCE), objective=blend))
        for _ in range(100):
            for name, served in (("lookup", 0.0), ("once", 300.0)):
                driver.dispatcher.statistics.class_weights.record_request(name, 300.0, driver.now)
                driver.dispatcher.statistics.class_weights.record_served(name, served, driver.now)
        driver.request(1001, "lookup")
        driver.request(1002, "once")
        return driver.dispatcher.context.jobs.by_id[1001].priority, driver.dispatcher.context.jobs.by_id[
            1002
        ].priority

    lookup, once = standing(ObjectiveWeights())
    assert lookup < once
    lookup, once = standing(ObjectiveWeights(0.2, 0.8))
    assert lookup > once
