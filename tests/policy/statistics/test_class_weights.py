"""Class weights."""

from __future__ import annotations

import pytest

from burlmoor.policy.statistics.class_weights import ClassWeights
from burlmoor.types.settings import ObjectiveWeights
from tests.support.dispatcher_driver import LOOKUP, ONCE, DispatcherDriver, settings

BLEND = ObjectiveWeights(overall=0.4, worst_class=0.4)


def make_class_weights(blend: ObjectiveWeights, **fractions: float) -> ClassWeights:
    """Return the weights of classes of equal priority weight of which these fractions were served."""
    class_weights = ClassWeights(blend)
    for number in range(1000):
        for name, fraction in fractions.items():
            class_weights.record_request(name, 10.0, float(number))
            if number < 1000 * fraction:
                class_weights.record_served(name, 10.0, float(number))
    return class_weights


def test_classes_weigh_alike_until_one_is_behind() -> None:
    class_weights = make_class_weights(BLEND, few=0.9, many=0.9)
    assert class_weights.weight("few", 1000.0) == pytest.approx(class_weights.weight("many", 1000.0))
    assert class_weights.weight("never seen", 1000.0) == 1.0


def test_a_class_that_is_behind_weighs_more_the_further_it_lies_behind() -> None:
    near, far = make_class_weights(BLEND, few=0.85, many=0.9), make_class_weights(BLEND, few=0.5, many=0.9)
    weights = [each.weight("few", 1000.0) / each.weight("many", 1000.0) for each in (near, far)]
    assert 1.1 < weights[0] < weights[1]
    # In the limit it has all that the objective gives to the worst class: half of the weight, counted twice.
    assert weights[1] == pytest.approx((0.4 + 0.8) / 0.4, rel=0.1)


def test_an_objective_without_the_worst_class_weighs_all_alike() -> None:
    assert make_class_weights(ObjectiveWeights(), few=0.2, many=0.9).weight("few", 1000.0) == pytest.approx(
        1.0
    )


def is_behind_dispatched_first(blend: ObjectiveWeights) -> bool:
    """Return whether a class of which nothing was served has priority over one of more weight."""
    driver = DispatcherDriver(settings(classes=(LOOKUP, ONCE), objective=blend))
    class_weights = driver.dispatcher._statistics.class_weights
    for _ in range(100):
        for name, served in (("lookup", 0.0), ("once", 300.0)):
            class_weights.record_request(name, 300.0, driver.now)
            class_weights.record_served(name, served, driver.now)
    driver.request(1001, "lookup")
    driver.request(1002, "once")
    jobs = driver.dispatcher._jobs.by_id
    assert jobs[1001].priority != jobs[1002].priority
    return jobs[1001].priority > jobs[1002].priority


def test_the_worst_served_class_is_dispatched_before_one_of_more_weight() -> None:
    # Without this, a class is served worst for its weight alone, where the worst-served class counts.
    assert not is_behind_dispatched_first(ObjectiveWeights())
    assert is_behind_dispatched_first(ObjectiveWeights(overall=0.2, worst_class=0.8))
