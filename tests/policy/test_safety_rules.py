"""The four rules, each with its corner cases, seen from outside the module."""

from __future__ import annotations

from dataclasses import replace

import pytest

from burlmoor.types.actions import CancelAttempt, FailJob, RejectJob, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.events import (
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    HandoverChanged,
    TimerFired,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import DeduplicationScope, Limits
from tests.support.dispatcher_driver import KEYED, LIMITS, RULES, Talk, entries, settings

MAY_HAVE_RUN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]
NEVER_RAN = [Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.UNSENT]


def finals(talk: Talk, ref: int) -> int:
    return len(talk.all(RejectJob, ref)) + len(talk.all(FailJob, ref))


# --- rule 1: one final answer in time ------------------------------------------------------------


@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
def test_a_request_with_an_empty_list_is_held_then_answered_once_before_its_deadline(job_class: str) -> None:
    talk = Talk(listed=[])
    talk.ask(7, job_class, timeout_ms=3000.0)
    talk.run(2999.0)
    assert finals(talk, 7) == 1
    assert not talk.all(StartAttempt, 7)
    talk.run(10_000.0)
    assert finals(talk, 7) == 1


def test_clients_in_a_hurry_are_served_within_what_they_give() -> None:
    # Guards against taking a short wait for a late try: all were turned away while the fleet lay idle.
    talk = Talk()
    for ref in range(1, 4):
        talk.ask(ref, timeout_ms=5000.0, work_ms=50.0)
        talk.ask(ref + 10, timeout_ms=300.0, work_ms=50.0)
    talk.run(20.0)
    assert len({send.id for send in talk.all(StartAttempt)}) == 6


@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
def test_a_hung_executor_never_costs_the_answer(job_class: str) -> None:
    talk = Talk(listed=entries(1))
    talk.placed(7, job_class)
    talk.run(5020.0)
    assert finals(talk, 7) == 1


def test_an_answer_in_the_batch_of_the_deadline_is_not_followed_by_another() -> None:
    talk = Talk()
    send = talk.placed(7, "once")
    talk.tell(AttemptStarted(7, 0, send.endpoint))
    talk.now = 1000.0 + 5000.0
    ended = AttemptEnded(7, 0, send.endpoint, Outcome.SERVED, 10.0, True)
    talk.tell(ended, TimerFired(0))
    assert finals(talk, 7) == 0


def test_nothing_goes_out_for_a_request_whose_client_left() -> None:
    talk = Talk(listed=[])
    talk.ask(7)
    talk.tell(ClientDisconnected(7))
    talk.tell(EndpointListUpdate(ListKind.SNAPSHOT, entries(3)))
    talk.run(6000.0)
    assert not talk.all(StartAttempt, 7)
    assert finals(talk, 7) == 0


def test_patience_already_spent_is_answered_at_once() -> None:
    talk = Talk()
    talk.ask(7, timeout_ms=0.0)
    talk.run(20.0)
    assert finals(talk, 7) == 1
    assert not talk.all(StartAttempt, 7)


def test_what_waits_unstarted_past_its_use_is_ended_before_its_deadline() -> None:
    # Guards against executors working on jobs that can no longer count.
    talk = Talk(listed=entries(1))
    talk.placed(7, "once", work_ms=100.0)
    talk.run(1000.0)
    assert talk.all(CancelAttempt, 7)
    assert finals(talk, 7) == 1


# --- rule 2: no effect twice ---------------------------------------------------------------------


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_once_is_neither_sent_again_nor_refused_after_it_may_have_run(outcome: Outcome) -> None:
    talk = Talk()
    send = talk.placed(7, "once", work_ms=2000.0)
    talk.end(send, outcome)
    talk.run(6000.0)
    assert len(talk.all(StartAttempt, 7)) == 1
    assert not talk.all(RejectJob, 7)
    assert len(talk.all(FailJob, 7)) == 1


@pytest.mark.parametrize("outcome", NEVER_RAN)
@pytest.mark.parametrize("job_class", ["lookup", "keyed", "once"])
def test_what_never_ran_is_sent_elsewhere_at_once(job_class: str, outcome: Outcome) -> None:
    talk = Talk()
    send = talk.placed(7, job_class)
    talk.end(send, outcome)
    talk.run(20.0)
    sends = talk.all(StartAttempt, 7)
    assert len(sends) == 2
    assert sends[1].endpoint != send.endpoint


def test_keyed_stays_in_the_zone_of_the_attempt_that_may_have_run() -> None:
    talk = Talk(listed=entries(1, "a") + entries(3, "b"))
    send = talk.placed(7, "keyed", affinity_key="k", work_ms=2000.0)
    assert send.endpoint == "a0"
    talk.end(send, Outcome.RESET)
    talk.run(6000.0)
    assert len(talk.all(StartAttempt, 7)) == 1
    assert not talk.all(RejectJob, 7)
    assert len(talk.all(FailJob, 7)) == 1


def test_keyed_is_not_sent_again_after_its_window() -> None:
    talk = Talk(settings(classes=(replace(KEYED, deduplication_window_ms=300.0),)))
    send = talk.placed(7, "keyed", work_ms=2000.0)
    talk.run(400.0)
    talk.end(send, Outcome.RESET)
    talk.run(6000.0)
    assert len(talk.all(StartAttempt, 7)) == 1
    assert len(talk.all(FailJob, 7)) == 1


def test_keyed_with_the_group_of_all_may_be_refused_after_it_may_have_run() -> None:
    talk = Talk(settings(classes=(replace(KEYED, deduplication_scope=DeduplicationScope.ALL),)), entries(1))
    talk.end(talk.placed(7, "keyed"), Outcome.RESET)
    talk.run(6000.0)
    assert len(talk.all(RejectJob, 7)) == 1


def test_cells_with_one_number_in_two_zones_are_not_one_group() -> None:
    given = settings(classes=(replace(KEYED, deduplication_scope=DeduplicationScope.CELL),))
    talk = Talk(
        given, [*entries(1, cell=1), EndpointEntry("other", zone="a", weight=4.0, cell=2, kind="std")]
    )
    talk.end(talk.placed(7, "keyed", work_ms=2000.0), Outcome.RESET)
    talk.run(6000.0)
    assert len(talk.all(StartAttempt, 7)) == 1


def test_two_attempts_are_never_out_together_where_second_copies_are_not_allowed() -> None:
    limits = Limits(max_attempts=4, may_cancel=True, may_hedge=False)
    talk = Talk(settings(limits=limits))
    send = talk.placed(7, work_ms=2000.0)
    talk.run(300.0)
    assert talk.all(CancelAttempt, 7) == [CancelAttempt(7, 0)]
    assert len(talk.all(StartAttempt, 7)) == 1
    talk.end(send, Outcome.CANCELLED)
    talk.run(20.0)
    assert len(talk.all(StartAttempt, 7)) == 2


def test_a_second_copy_replaces_a_job_that_has_not_started_and_the_loser_is_cancelled() -> None:
    talk = Talk()
    talk.placed(7, work_ms=2000.0)
    talk.run(300.0)
    sends = talk.all(StartAttempt, 7)
    assert len(sends) == 2
    talk.tell(AttemptStarted(7, 1, sends[1].endpoint))
    assert talk.all(CancelAttempt, 7) == [CancelAttempt(7, 0)]


def test_attempts_stay_within_the_cap() -> None:
    talk = Talk(listed=entries(12))
    talk.ask(7, work_ms=2000.0)
    for _ in range(10):
        talk.run(30.0)
        for number, send in enumerate(talk.all(StartAttempt, 7)):
            talk.end(send, Outcome.OVERLOADED, number)
    assert len(talk.all(StartAttempt, 7)) == LIMITS.max_attempts
    assert finals(talk, 7) == 1


# --- rule 3: drains ------------------------------------------------------------------------------


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_drain_told_between_arrival_and_round_is_kept_at_once(state: EndpointState) -> None:
    talk = Talk(listed=entries(1))
    talk.ask(7)
    talk.tell(EndpointListUpdate(ListKind.DELTA, [entries(1)[0]._replace(state=state)]))
    talk.run(6000.0)
    assert not talk.all(StartAttempt)


def test_missing_from_a_full_list_means_gone() -> None:
    talk = Talk(listed=entries(2))
    talk.tell(EndpointListUpdate(ListKind.SNAPSHOT, entries(1)))
    for ref in range(20):
        talk.ask(ref)
        talk.run(50.0)
    assert {send.endpoint for send in talk.all(StartAttempt)} == {"a0"}


def test_an_executor_named_twice_in_a_list_takes_its_last_state() -> None:
    twice = [entries(1)[0], entries(1)[0]._replace(state=EndpointState.DRAINING)]
    talk = Talk(listed=twice)
    talk.ask(7)
    talk.run(6000.0)
    assert not talk.all(StartAttempt)


# --- rule 4: cold executors ----------------------------------------------------------------------


@pytest.mark.parametrize("nodes", [1, 10, 100])
def test_the_nodes_together_keep_within_a_cold_executors_budget(nodes: int) -> None:
    cold = [EndpointEntry("new", zone="a", weight=4.0, kind="std", started_at=1000.0)]
    sent: list[tuple[float, float]] = []
    for node in range(nodes):
        talk = Talk(settings(node_count=nodes, node_index=node), cold, seed=node)
        for ref in range(80):
            before = len(talk.all(StartAttempt))
            talk.ask(ref, work_ms=150.0)
            talk.run(50.0)
            for send in talk.all(StartAttempt)[before:]:
                sent.append((talk.now, 150.0))
                talk.tell(AttemptStarted(send.id, 0, send.endpoint))
                talk.end(send, Outcome.SERVED)
    assert sent
    for start in range(1000, 5000, 100):
        window = [cost for at, cost in sent if start <= at < start + RULES.overload_window_ms]
        age = start + RULES.overload_window_ms - 1000.0
        warmth = RULES.initial_capacity + (1.0 - RULES.initial_capacity) * age / RULES.slow_start_ms
        assert sum(window) <= RULES.overload_multiple * warmth * 4.0 * RULES.overload_window_ms


def test_a_restart_voids_what_was_learnt_and_makes_cold() -> None:
    talk = Talk(listed=entries(1))
    talk.placed(1)
    talk.now = 2000.0
    restarted = entries(1)[0]._replace(started_at=1990.0)
    talk.tell(EndpointListUpdate(ListKind.DELTA, [restarted]))
    worker = talk.node.endpoints.by_name["a0"]
    assert worker.slots_in_flight == 0.0
    assert talk.node.endpoints.slow_start.capacity_fraction(worker, 2000.0) < 0.3


def cold_sends(listed: list[EndpointEntry], slots: int = 4, yielded: bool = False) -> int:
    """How many jobs of 300 ms a cold executor gets in two seconds beside those listed, of so many slots."""
    work = 300.0
    cold = EndpointEntry("new", zone="a", weight=1.0, kind="std", started_at=1.0)
    talk = Talk(settings(node_count=2), [*listed, cold])
    talk.now = 3000.0  # it has 0.44 of its capacity
    if yielded:
        talk.tell(HandoverChanged(True))
    running: list[tuple[float, StartAttempt]] = []
    waiting: list[StartAttempt] = []
    for ref in range(100):
        before = len(talk.all(StartAttempt))
        talk.ask(ref, work_ms=work)
        talk.run(20.0)
        waiting += talk.all(StartAttempt)[before:]
        for send in list(waiting):
            if sum(other.endpoint == send.endpoint for _, other in running) < slots:
                waiting.remove(send)
                talk.tell(AttemptStarted(send.id, 0, send.endpoint))
                running.append((talk.now + work, send))
        while running and running[0][0] <= talk.now:
            talk.end(running.pop(0)[1], Outcome.SERVED)
    return sum(send.endpoint == "new" for send in talk.all(StartAttempt))


def test_a_cold_executor_is_trusted_by_what_warm_ones_of_its_kind_bear() -> None:
    # A listed weight of 1 says little of an executor with four cores: cold ones lay idle on a full fleet.
    own = cold_sends([])
    beside = cold_sends(entries(2, weight=1.0))
    other = cold_sends([entry._replace(kind="other") for entry in entries(2, weight=1.0)])
    assert beside > max(own, other)
    # One of two nodes keeps within its half of what pushes over an executor of four slots, although the other
    # does nothing here, and what this one has seen served counts for both.
    assert beside * 300.0 <= 0.5 * RULES.overload_multiple * 4.0 * 0.52 * RULES.overload_window_ms


def test_a_process_that_has_yielded_leaves_cold_executors_to_the_other() -> None:
    assert cold_sends(entries(2, weight=1.0)) > 0
    assert cold_sends(entries(2, weight=1.0), yielded=True) == 0


def test_another_executor_stands_by_for_a_home_of_a_key_that_is_cold() -> None:
    # A rolling deploy or executors put back leave keys whose homes are all cold, beside free executors.
    listed = entries(8, weight=1.0)
    talk = Talk(listed=listed)
    homes = [worker.id for worker in talk.node.endpoints.candidates(None).affinity.order_of("k")[:4]]
    cold = [entry._replace(started_at=900.0) if entry.endpoint in homes else entry for entry in listed]
    talk = Talk(listed=cold)
    assert talk.placed(1, affinity_key="k", work_ms=3500.0, timeout_ms=6000.0).endpoint not in homes
