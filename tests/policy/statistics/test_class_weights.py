"""Class weights follow the fraction of each class's priority weight that is served."""

from __future__ import annotations

import pytest

from burlmoor.policy.statistics.class_weights import ClassWeights
from burlmoor.types.settings import ObjectiveWeights
from tests.support.dispatcher_driver import LOOKUP, ONCE, DispatcherDriver, settings

OBJECTIVE = ObjectiveWeights(overall=0.4, worst_class=0.4)


def make_class_weights(objective: ObjectiveWeights, **fractions: float) -> ClassWeights:
    """Return class weights after these fractions of classes of equal priority weight were served."""
    class_weights = ClassWeights(objective)
    for number in range(1000):
        for name, fraction in fractions.items():
            class_weights.record_request(name, 10.0, float(number))
            if number < 1000 * fraction:
                class_weights.record_served(name, 10.0, float(number))
    return class_weights


def test_classes_served_alike_have_equal_weights() -> None:
    class_weights = make_class_weights(OBJECTIVE, few=0.9, many=0.9)
    assert class_weights.weight("few", 1000.0) == pytest.approx(class_weights.weight("many", 1000.0))
    assert class_weights.weight("never seen", 1000.0) == 1.0


def test_the_weight_of_a_class_grows_as_its_served_fraction_falls() -> None:
    slightly_behind, far_behind = (
        make_class_weights(OBJECTIVE, few=0.85, many=0.9),
        make_class_weights(OBJECTIVE, few=0.5, many=0.9),
    )
    ratios = [
        each.weight("few", 1000.0) / each.weight("many", 1000.0) for each in (slightly_behind, far_behind)
    ]
    assert 1.1 < ratios[0] < ratios[1]
    # In the limit, it gets the whole worst-class term, divided by its share (half) of the priority weight.
    assert ratios[1] == pytest.approx((0.4 + 0.8) / 0.4, rel=0.1)


def test_class_weights_are_equal_without_a_worst_class_term() -> None:
    assert make_class_weights(ObjectiveWeights(), few=0.2, many=0.9).weight("few", 1000.0) == pytest.approx(
        1.0
    )


def is_worst_served_dispatched_first(objective: ObjectiveWeights) -> bool:
    """Return whether a class of which no job was served has priority over one with a higher weight."""
    driver = DispatcherDriver(settings(classes=(LOOKUP, ONCE), objective=objective))
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


def test_the_worst_served_class_is_dispatched_before_one_with_a_higher_weight() -> None:
    # By weight alone, a class of low weight is served worst, although the objective counts that class.
    assert not is_worst_served_dispatched_first(ObjectiveWeights())
    assert is_worst_served_dispatched_first(ObjectiveWeights(overall=0.2, worst_class=0.8))
