"""Priority, rounds, placement and refusal."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from burlmoor.policy.admission import WEIGHT_DENSITY_WEIGHT
from burlmoor.policy.dispatch_rounds import PRIORITY_PER_ROUND_WAITED
from burlmoor.types.actions import FailJob, RejectJob, StartAttempt
from burlmoor.types.events import AttemptStarted
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import JobClass, Tenant
from tests.support.dispatcher_driver import LOOKUP, Talk, entries, settings

GOLD = JobClass(
    "gold", priority_weight=10.0, latency_objective_ms=400.0, objective_stretch=2.0, deadline_ms=5000.0
)


def busy_executor(talk: Talk, ref: int = 1000) -> StartAttempt:
    """Fill the one executor, so that what comes next waits."""
    send = talk.placed(ref, slots=4.0, work_ms=400.0)
    talk.tell(AttemptStarted(ref, 0, send.endpoint))
    return send


def test_worth_more_goes_first() -> None:
    talk = Talk(settings(classes=(LOOKUP, GOLD)), entries(1))
    held = busy_executor(talk)
    talk.ask(1, "lookup")
    talk.ask(2, "gold")
    talk.run(30.0)
    talk.end(held, Outcome.SERVED)
    talk.run(30.0)
    assert [send.id for send in talk.all(StartAttempt)][1:] == [2, 1]


def test_a_tenant_over_its_share_sinks() -> None:
    tenants = (Tenant("loud", 0.5, 5.0), Tenant("calm", 0.5, 5.0))
    talk = Talk(settings(tenants=tenants, over_quota_fraction=0.1), entries(1))
    held = busy_executor(talk)
    for ref in range(60):
        talk.ask(ref, tenant="loud", timeout_ms=5000.0)
    talk.ask(99, tenant="calm")
    job = talk.node.context.jobs.by_id[99]
    assert job.priority > talk.node.context.jobs.by_id[59].priority
    talk.run(30.0)
    talk.end(held, Outcome.SERVED)
    talk.run(30.0)
    # What loud sent while still inside its share may go before; what came beyond it may not.
    assert all(send.id < 20 for send in talk.all(StartAttempt) if send.id not in {99, held.id})


def test_waiting_raises_a_job_past_one_of_more_worth() -> None:
    # Guards against starving the least demanding class.
    talk = Talk(settings(classes=(LOOKUP, GOLD)), entries(1))
    busy_executor(talk)
    talk.ask(1, "lookup", work_ms=2000.0)
    before = talk.node.context.jobs.by_id[1].rounds_waited
    talk.run(200.0)
    job = talk.node.context.jobs.by_id[1]
    assert job.rounds_waited > before
    assert job.priority + PRIORITY_PER_ROUND_WAITED * job.rounds_waited > job.priority
    assert PRIORITY_PER_ROUND_WAITED * 1000 > WEIGHT_DENSITY_WEIGHT


def test_a_job_too_wide_for_what_is_free_is_held_not_sent() -> None:
    talk = Talk(listed=entries(1))
    busy_executor(talk)
    talk.ask(1)
    talk.run(100.0)
    assert not talk.all(StartAttempt, 1)


def test_a_job_wider_than_any_executor_is_still_tried_where_nothing_is_out() -> None:
    talk = Talk(listed=entries(1))
    assert talk.placed(1, slots=50.0).endpoint == "a0"


def test_a_job_that_cannot_be_in_time_anywhere_is_refused_before_its_aim() -> None:
    talk = Talk(listed=entries(1))
    held = busy_executor(talk)
    talk.ask(1, work_ms=300.0)
    talk.run(990.0)
    assert len(talk.all(RejectJob, 1)) == 1
    assert not talk.all(StartAttempt, 1)
    assert held.id != 1


def test_what_the_client_spent_on_earlier_tries_is_gone_from_the_aim() -> None:
    talk = Talk()
    talk.placed(1, timeout_ms=5000.0)
    talk.ask(2, timeout_ms=3000.0)
    talk.run(30.0)
    assert talk.all(RejectJob, 2)
    assert not talk.all(StartAttempt, 2)


def test_full_load_refuses_the_least_worth_first() -> None:
    talk = Talk(settings(classes=(LOOKUP, GOLD)), entries(1))
    busy_executor(talk)
    for ref in range(40):
        talk.ask(ref, "gold" if ref % 2 else "lookup", work_ms=300.0)
    talk.run(450.0)
    refused = [refusal.id for refusal in talk.all(RejectJob)]
    assert refused
    assert all(ref % 2 == 0 for ref in refused[: len(refused) // 3])


def test_what_waits_is_refused_before_all_of_it_is_late() -> None:
    # Guards against a queue so long that whatever leaves it is just too late to earn anything.
    talk = Talk(listed=entries(1))
    busy_executor(talk)
    for ref in range(40):
        talk.ask(ref, work_ms=300.0)
    talk.run(30.0)
    assert len(talk.all(RejectJob)) > 20


@pytest.mark.parametrize("crowded", [False, True])
def test_a_crowded_fleet_gets_only_what_is_well_in_time(crowded: bool) -> None:
    # Guards against late answers where they cost most: others wait for the slots that they take.
    # The round comes after 7.5 to 22.5 ms: in time even then on an idle fleet, too late at once on a full.
    tight = replace(LOOKUP, name="tight", latency_objective_ms=117.0, objective_stretch=0.0)
    talk = Talk(settings(classes=(LOOKUP, tight)), entries(1, weight=8.0))
    for _ in range(10):  # what its time earns otherwise
        talk.node.statistics.endpoints.record_weight_rate(talk.node.endpoints.by_name["a0"], 2.0, talk.now)
    if crowded:
        talk.placed(1000, slots=7.0, work_ms=2000.0)
    talk.ask(1, "tight", work_ms=100.0)
    talk.node.context.jobs.by_id[1].is_exploratory = False
    talk.run(60.0)
    assert len(talk.all(StartAttempt, 1)) == (not crowded)


def test_a_job_that_has_just_come_is_looked_at_before_it_is_refused() -> None:
    # Guards against one tight job that waits turning away others from an executor that is free.
    tight = replace(GOLD, name="tight", latency_objective_ms=125.0, objective_stretch=0.0)
    for seed in range(20):
        talk = Talk(settings(classes=(tight, LOOKUP)), entries(1), seed=seed)
        talk.ask(1, "tight", work_ms=100.0)
        talk.run(18.0)
        talk.ask(2, "lookup", work_ms=10.0)
        talk.run(30.0)
        assert talk.all(StartAttempt, 2)


def test_a_wide_job_is_not_kept_waiting_by_narrow_ones_that_come_and_go() -> None:
    # Guards against jobs of many slots being refused on fleets that have room, only never enough at once.
    patient = replace(GOLD, name="patient", latency_objective_ms=2000.0)
    talk = Talk(settings(classes=(LOOKUP, patient)), entries(1))
    for ref in range(16):
        if ref == 4:
            talk.ask(1000, "patient", work_ms=300.0, slots=4.0)
        talk.ask(ref, work_ms=50.0)
        talk.run(25.0)
        for send in talk.all(StartAttempt, ref):
            talk.tell(AttemptStarted(ref, 0, send.endpoint))
        for send in talk.all(StartAttempt, ref - 3):
            talk.end(send, Outcome.SERVED)
    assert talk.all(StartAttempt, 1000)


def test_urgent_jobs_go_to_the_fast_and_bulk_to_the_slower() -> None:
    fleet = [
        *entries(2, kind="fast"),
        *[e._replace(endpoint=f"s{i}", kind="slow") for i, e in enumerate(entries(2))],
    ]
    talk = Talk(listed=fleet)
    for ref in range(30):
        send = talk.placed(ref, work_ms=200.0)
        talk.tell(AttemptStarted(ref, 0, send.endpoint))
        talk.run(100.0 if send.endpoint.startswith("a") else 300.0)
        talk.end(send, Outcome.SERVED)
    urgent = talk.placed(500, work_ms=200.0, timeout_ms=5000.0 - 350.0)
    assert urgent.endpoint.startswith("a")
    bulk_talks = []
    for seed in range(10):
        talk.node.context.rng.seed(seed)
        send = talk.placed(600 + seed, work_ms=200.0)
        talk.tell(AttemptStarted(send.id, 0, send.endpoint))
        talk.run(300.0)
        talk.end(send, Outcome.SERVED)
        bulk_talks.append(send.endpoint[0])
    assert "s" in bulk_talks


def test_wild_figures_break_nothing() -> None:
    talk = Talk(settings(tenants=(Tenant("zero", 0.0, 0.0),)))
    for ref, work in enumerate([0.0, -5.0, math.inf, 1e12, 1e-12]):
        talk.ask(ref, work_ms=work, tenant="zero")
    talk.ask(20, "no such class", tenant="nobody", slots=0.0, memory=-1.0)
    talk.run(6000.0)
    answered = {a.id for a in talk.said if isinstance(a, RejectJob | FailJob)}
    assert answered == {0, 1, 2, 3, 4, 20}


def test_a_node_that_has_just_started_uses_an_idle_fleet_whose_list_tells_no_sizes() -> None:
    # Guards against a restarted node queueing, and then refusing, what its executors have room for.
    talk = Talk(listed=entries(3, weight=1.0))
    for ref in range(9):
        talk.ask(ref, work_ms=100.0)
    talk.run(60.0)
    assert len(talk.all(StartAttempt)) == 9
