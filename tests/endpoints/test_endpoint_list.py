"""Keeping up with the list of executors."""

from __future__ import annotations

from burlmoor.types.actions import SetTimer, WatchEndpoints
from burlmoor.types.endpoint_list import ListKind
from burlmoor.types.events import EndpointListUpdate
from tests.support.dispatcher_driver import Talk, entries, settings


def test_where_the_list_is_pushed_nobody_asks() -> None:
    talk = Talk()
    talk.run(30_000.0)
    assert not talk.all(WatchEndpoints)


def test_the_first_call_is_spread_over_the_nodes_and_in_time() -> None:
    # Guards against all nodes calling the list service in one moment after a common start.
    at = []
    for seed in range(40):
        talk = Talk(settings(must_poll=True), seed=seed)
        while not talk.all(WatchEndpoints):
            talk.run(50.0)
        at.append(talk.now - 1000.0)
    assert max(at) <= 10_000.0
    assert max(at) - min(at) > 2000.0
    assert len(set(at)) > 20


def test_a_failed_call_is_tried_again_after_growing_pauses() -> None:
    talk = Talk(settings(must_poll=True))
    pauses = []
    talk.run(5000.0)
    for count in range(2, 6):
        talk.tell(EndpointListUpdate(ListKind.FAILED))
        told = talk.now
        while len(talk.all(WatchEndpoints)) < count:
            talk.run(50.0)
        pauses.append(talk.now - told)
    assert pauses[-1] > pauses[0]
    assert max(pauses) <= 4 * 10_000.0


def test_a_failed_call_leaves_the_old_list_in_force() -> None:
    talk = Talk(settings(must_poll=True))
    talk.tell(EndpointListUpdate(ListKind.FAILED))
    talk.placed(1)


def test_a_new_executor_gets_work() -> None:
    talk = Talk(listed=[])
    talk.tell(EndpointListUpdate(ListKind.DELTA, entries(1)))
    assert talk.placed(1).endpoint == "a0"


def test_no_timer_is_armed_while_nothing_waits() -> None:
    talk = Talk()
    assert not talk.all(SetTimer)
