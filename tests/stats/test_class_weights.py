"""What a class's jobs add to the result."""

from __future__ import annotations

import pytest

from burlmoor.stats.class_weights import ClassWeights
from burlmoor.types.settings import ObjectiveWeights
from tests.support.dispatcher_driver import LOOKUP, ONCE, Talk, settings

BLEND = ObjectiveWeights(overall=0.4, worst_class=0.4)


def counted(blend: ObjectiveWeights, **shares: float) -> ClassWeights:
    """Classes of equal worth of which these shares were served."""
    standings = ClassWeights(blend)
    for number in range(1000):
        for name, share in shares.items():
            standings.record_request(name, 10.0, float(number))
            if number < 1000 * share:
                standings.record_served(name, 10.0, float(number))
    return standings


def test_classes_count_alike_until_one_is_behind() -> None:
    standings = counted(BLEND, few=0.9, many=0.9)
    assert standings.weight("few", 1000.0) == pytest.approx(standings.weight("many", 1000.0))
    assert standings.weight("never seen", 1000.0) == 1.0


def test_who_is_behind_counts_more_and_the_more_the_further() -> None:
    near, far = counted(BLEND, few=0.85, many=0.9), counted(BLEND, few=0.5, many=0.9)
    weights = [each.weight("few", 1000.0) / each.weight("many", 1000.0) for each in (near, far)]
    assert 1.1 < weights[0] < weights[1]
    # At the far end it has all that the blend gives to the worst class: a half of the worth, counted twice.
    assert weights[1] == pytest.approx((0.4 + 0.8) / 0.4, rel=0.1)


def test_a_blend_that_looks_at_the_whole_alone_weighs_nobody() -> None:
    assert counted(ObjectiveWeights(), few=0.2, many=0.9).weight("few", 1000.0) == pytest.approx(1.0)


def test_a_class_that_is_served_worst_goes_before_one_of_more_worth() -> None:
    # Guards against a class that comes off worst by its worth alone, where the site counts the worst-served.
    def standing(blend: ObjectiveWeights) -> tuple[float, float]:
        talk = Talk(settings(classes=(LOOKUP, ONCE), objective=blend))
        for _ in range(100):
            for name, served in (("lookup", 0.0), ("once", 300.0)):
                talk.node.statistics.class_weights.record_request(name, 300.0, talk.now)
                talk.node.statistics.class_weights.record_served(name, served, talk.now)
        talk.ask(1001, "lookup")
        talk.ask(1002, "once")
        return talk.node.context.jobs.by_id[1001].priority, talk.node.context.jobs.by_id[1002].priority

    lookup, once = standing(ObjectiveWeights())
    assert lookup < once
    lookup, once = standing(ObjectiveWeights(0.2, 0.8))
    assert lookup > once
