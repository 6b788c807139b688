"""What a node learns from its own attempts."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from burlmoor.stats.decayed_mean import DecayedMean
from burlmoor.stats.endpoint import Endpoint
from burlmoor.stats.endpoint_statistics import WORK_CLASSES, EndpointStatistics
from burlmoor.stats.estimate_errors import EstimateErrors
from burlmoor.stats.job import ScheduledJob
from burlmoor.types.actions import CheckHealth, StartAttempt
from burlmoor.types.endpoint_list import EndpointEntry, EndpointState, ListKind
from burlmoor.types.events import (
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    JobRequest,
)
from burlmoor.types.outcome import Outcome
from burlmoor.types.settings import Limits
from tests.support.dispatcher_driver import LOOKUP, Talk, entries, settings


def job(work: float) -> ScheduledJob:
    return ScheduledJob(JobRequest(1, "lookup", 5000.0, work), LOOKUP, work)


def worker(name: str = "a0", kind: str = "std") -> Endpoint:
    return Endpoint(EndpointEntry(name, zone="a", weight=4.0, kind=kind))


def test_a_mean_forgets_towards_its_prior() -> None:
    mean = DecayedMean()
    mean.add(0.0, 10.0, half_life=100.0, weight=9.0)
    assert mean.read(0.0, 100.0, prior=0.0) == pytest.approx(9.0)
    assert mean.read(2000.0, 100.0, prior=0.0) < 0.01


def test_one_outcome_teaches_every_class_and_kind_mates() -> None:
    book, known, mate, other = EndpointStatistics(5.0), worker("a0"), worker("a1"), worker("b0", "other")
    for _ in range(10):
        book.record_run(known, 100.0, 300.0, 1000.0)
    kind = book.slowness_of_kind("std", 1000.0)
    for band in range(WORK_CLASSES):
        assert book.slowness(known, band, kind, 1000.0) > 2.0
        assert book.slowness(mate, band, kind, 1000.0) > 2.0
    assert book.slowness_of_kind("other", 1000.0) < kind
    assert other.slowness.weight == 0.0


def test_a_cell_of_its_own_tells_one_class_from_another() -> None:
    book, known = EndpointStatistics(5.0), worker()
    for _ in range(20):
        book.mean_work.add(0.0, 200.0, 8000.0)
    for _ in range(20):
        book.record_run(known, 50.0, 50.0, 1000.0)
        book.record_run(known, 1600.0, 4800.0, 1000.0)
    kind = book.slowness_of_kind("std", 1000.0)
    assert book.slowness(known, 0, kind, 1000.0) < book.slowness(known, WORK_CLASSES - 1, kind, 1000.0)


def test_a_heavy_job_is_not_held_against_its_worker() -> None:
    # Guards against one job of twenty times its hint making a sound worker look dead.
    book, known = EndpointStatistics(5.0), worker()
    for _ in range(10):
        book.record_run(known, 100.0, 100.0, 1000.0)
    book.record_run(known, 100.0, 2000.0, 1000.0)
    assert book.slowness(known, 2, book.slowness_of_kind("std", 1000.0), 1000.0) < 1.6


def test_progress_tells_of_slowness_before_the_outcome() -> None:
    talk = Talk(listed=entries(1))
    send = talk.placed(1, work_ms=1000.0)
    talk.tell(AttemptStarted(1, 0, send.endpoint))
    talk.run(1000.0)
    talk.tell(AttemptProgressed(1, 0, send.endpoint, 0.25))
    assert talk.node.statistics.endpoints.slowness_of_kind("std", talk.now) > 1.2


def test_a_late_start_closes_the_worker_until_it_starts() -> None:
    talk = Talk(listed=entries(1))
    send = talk.placed(1, "once", work_ms=300.0)
    talk.run(200.0)
    talk.ask(2, "once", work_ms=300.0)
    talk.run(100.0)
    assert not talk.all(StartAttempt, 2)
    talk.tell(AttemptStarted(1, 0, send.endpoint))
    assert talk.node.endpoints.by_name["a0"].overdue_attempts == 0


def test_prompt_starts_at_the_cap_raise_it_and_late_ones_lower_it() -> None:
    talk = Talk(listed=entries(1))
    known = talk.node.endpoints.by_name["a0"]
    start = known.capacity
    for ref in range(4):
        send = talk.placed(ref)
        talk.tell(AttemptStarted(ref, 0, send.endpoint))
    assert known.capacity > start
    raised = known.capacity
    talk.node.statistics.endpoints.record_start_delay(known, 500.0, talk.now)
    assert known.capacity < raised


def test_full_turns_the_next_job_elsewhere() -> None:
    talk = Talk(listed=entries(2))
    send = talk.placed(1)
    talk.end(send, Outcome.OVERLOADED)
    talk.run(20.0)
    assert talk.all(StartAttempt, 1)[1].endpoint != send.endpoint


def test_when_all_looks_bad_work_is_still_spread() -> None:
    # Guards against ejecting the fleet when the trouble is on our own side.
    talk = Talk(listed=entries(4))
    for ref in range(12):
        talk.ask(ref, "once", work_ms=500.0)
        talk.run(60.0)
        talk.end(talk.all(StartAttempt, ref)[0], Outcome.ERROR)
    assert len({send.endpoint for send in talk.all(StartAttempt)}) == 4


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE])
def test_an_executor_that_fails_at_once_is_left_out_and_tested(outcome: Outcome) -> None:
    # Guards against a sink: always free, it drew a fifth of all jobs and failed them.
    talk = Talk(listed=entries(1))
    for ref in (1, 2):
        talk.end(talk.placed(ref, work_ms=50.0), outcome)
    talk.tell(EndpointListUpdate(ListKind.DELTA, entries(2)[1:]))

    def sent_to_bad() -> list[int]:
        return [send.id for send in talk.all(StartAttempt) if send.endpoint == "a0"]

    for ref in range(200, 206):  # the other one has no room for so many
        talk.ask(ref, "once", work_ms=1500.0)
    talk.run(200.0)
    assert len(sent_to_bad()) == 2
    for ref in range(300, 310):
        talk.ask(ref, work_ms=1500.0)
    talk.run(1000.0)
    assert len(sent_to_bad()) == 3  # the test, and no second one while it is out
    assert sent_to_bad()[2] >= 300


def test_a_silent_worker_loses_stability_and_repeatable_work_moves() -> None:
    talk = Talk(settings(), entries(2))
    send = talk.placed(1, work_ms=2000.0)
    talk.tell(AttemptStarted(1, 0, send.endpoint))
    talk.run(1700.0)
    known = talk.node.endpoints.by_name[send.endpoint]
    assert talk.node.statistics.endpoints.clean_rate(known, talk.now) < 0.8
    assert len(talk.all(StartAttempt, 1)) == 2


def test_a_key_returns_to_the_same_executor_at_every_node() -> None:
    homes = set()
    for seed in range(5):
        talk = Talk(listed=entries(8), seed=seed)
        homes.add(talk.placed(1, "keyed", affinity_key="00aa").endpoint)
    assert len(homes) == 1


def test_a_key_has_the_same_home_for_nodes_in_all_zones() -> None:
    # Guards against every zone fetching every key: the store they come from serves only so many at a time.
    listed = [*entries(4), *(EndpointEntry(f"b{n}", zone="b", weight=4.0, kind="std") for n in range(4))]
    homes = set()
    for zone in ("a", "b"):
        talk = Talk(settings(zone=zone), listed)
        homes.add(tuple(talk.placed(ref, "keyed", affinity_key=f"{ref:04x}").endpoint for ref in range(1, 9)))
    assert len(homes) == 1


def test_what_waits_at_an_executor_that_works_stays_there() -> None:
    # Guards against feeding an overload: what was moved may run at both, and its key is fetched once more.
    talk = Talk(settings(), entries(1))
    first, _ = talk.placed(1, work_ms=2000.0), talk.placed(2, work_ms=2000.0)
    talk.tell(EndpointListUpdate(ListKind.DELTA, entries(2)[1:]), AttemptStarted(1, 0, first.endpoint))
    talk.run(500.0)
    assert len(talk.all(StartAttempt, 2)) == 1


def test_what_is_unlikely_to_be_in_time_is_not_sent() -> None:
    # Guards against work for answers that come late, however much hope there is that the hint is wrong.
    tight, trials = replace(LOOKUP, latency_objective_ms=90.0, objective_stretch=0.0), set()
    talk = Talk(settings(classes=(tight,)))
    for ref in range(1, 21):
        talk.ask(ref, work_ms=100.0)
        if talk.node.context.jobs.by_id[ref].is_exploratory:
            trials.add(ref)
        talk.run(20.0)
        talk.tell(ClientDisconnected(ref))
    assert {send.id for send in talk.all(StartAttempt)} <= trials


def test_a_chance_is_as_good_as_what_jobs_took_says() -> None:
    # Guards against a margin that suits one deployment: hints and noise differ, and each class shows its own.
    errors, rng = EstimateErrors(), random.Random(3)
    for number in range(400):
        errors.record("rough", 1000.0, 1000.0 * rng.lognormvariate(0.3, 0.6), 50.0 * number)
        errors.record("fine", 1000.0, 1000.0 * rng.lognormvariate(0.0, 0.1), 50.0 * number)
    now = 50.0 * 400
    for left, rough in ((1000.0, 0.31), (1350.0, 0.5), (2000.0, 0.74), (3000.0, 0.91)):
        assert errors.on_time_probability("rough", 1000.0, left, now) == pytest.approx(rough, abs=0.06)
    assert errors.on_time_probability("fine", 1000.0, 1350.0, now) > 0.97
    assert errors.on_time_probability("unseen", 1000.0, 1000.0, now) == pytest.approx(0.5)


def test_a_place_far_worse_than_the_fastest_kinds_is_not_taken_while_there_is_time() -> None:
    # Guards against slow executors that look free drawing what another would finish in time a moment later.
    slow, fast = entries(1, kind="slow"), entries(2, kind="fast")[1:]
    tight = replace(LOOKUP, latency_objective_ms=400.0, objective_stretch=0.0)
    talk = Talk(settings(classes=(tight,)), [*slow, *fast])
    for kind, run, seen in (("slow", 400.0, 20), ("fast", 100.0, 200)):
        for _ in range(seen):
            talk.node.statistics.endpoints.record_run(worker("x", kind), 100.0, run, talk.now)
    filled = talk.node.endpoints.by_name["a1"]
    filled.slots_in_flight = filled.capacity
    talk.ask(1, work_ms=100.0)
    talk.node.context.jobs.by_id[1].is_exploratory = False
    talk.run(60.0)
    assert not talk.all(StartAttempt)
    filled.slots_in_flight = 0.0
    talk.run(60.0)
    assert [send.endpoint for send in talk.all(StartAttempt)] == ["a1"]


def test_no_probes_are_bought() -> None:
    # A few of each node are many at an executor that 40 nodes share, and tell no more than starts do.
    limits = Limits(max_attempts=4, may_cancel=True, may_check_health=True)
    talk = Talk(settings(limits=limits), entries(6))
    assert talk.placed(2, "once")
    assert not talk.all(CheckHealth)


def test_nothing_is_left_behind_by_finished_work_and_forgotten_workers() -> None:
    talk = Talk(listed=entries(4))
    for ref in range(300):
        talk.ask(ref, ("lookup", "keyed", "once")[ref % 3], affinity_key=str(ref))
        talk.run(40.0)
        for send in talk.all(StartAttempt, ref):
            talk.end(send, Outcome.SERVED, len(talk.all(StartAttempt, ref)) - 1)
        talk.said.clear()
        talk.tell(EndpointListUpdate(ListKind.DELTA, [EndpointEntry(f"n{ref}", zone="a", kind="std")]))
        talk.tell(EndpointListUpdate(ListKind.DELTA, [EndpointEntry(f"n{ref}", EndpointState.GONE)]))
    talk.run(10_000.0)
    node = talk.node
    assert not node.context.jobs.by_id
    assert not node.rounds.queue
    assert node.context.timers.next_at() == math.inf
    assert len(node.endpoints.by_name) == 4
    assert all(len(known.cached_keys) <= 10 for known in node.endpoints.by_name.values())


def test_a_standing_queue_does_not_pass_for_a_slow_network() -> None:
    # Guards against moving jobs too late: starts delayed by a queue must not raise what counts as prompt.
    book, known = EndpointStatistics(5.0), worker()
    book.record_start_delay(known, 4.0, 0.0)
    for step in range(20):
        book.record_start_delay(known, 3000.0, 100.0 * step)
    assert book.start_grace("a") < 60.0


def test_a_crowded_zone_tells_nothing_of_another() -> None:
    # Guards against staying in a full zone because all zones share one expected wait.
    book, near, far = (
        EndpointStatistics(5.0),
        worker("a0"),
        Endpoint(EndpointEntry("b0", zone="b", weight=4.0, kind="std")),
    )
    book.record_start_delay(near, 4.0, 0.0)
    for step in range(20):
        book.record_start_delay(near, 2000.0, 100.0 * step)
    assert book.expected_start_delay(worker("a1"), 2000.0, 500.0) > 500.0
    assert book.expected_start_delay(far, 2000.0, 500.0) == 0.0


def test_moves_stop_while_hardly_any_start_is_prompt() -> None:
    # Guards against feeding an overload: where a cancel leaves waiting work in place, each move adds to it.
    talk = Talk(listed=entries(6))
    for _ in range(40):
        talk.node.statistics.endpoints.prompt_start_rate.add(talk.now, 0.0, 8000.0)
    talk.placed(1, work_ms=2000.0)
    talk.run(500.0)
    assert len(talk.all(StartAttempt, 1)) == 1


def test_a_wait_cut_short_is_no_sign_of_a_short_wait() -> None:
    # Guards against sending into standing queues: jobs moved after 25 ms must not teach a wait of 25 ms.
    book, known = EndpointStatistics(5.0), worker()
    book.record_start_delay(known, 4.0, 0.0)
    for step in range(10):
        book.record_start_delay(known, 2000.0, 10.0 * step)
    before = book.expected_start_delay(known, 100.0, 500.0)
    for _ in range(10):
        book.record_start_delay(known, 25.0, 100.0, has_started=False)
    assert book.expected_start_delay(known, 100.0, 500.0) >= 0.99 * before


def test_where_nodes_are_many_a_burst_shows_in_what_is_expected_of_executors_never_met() -> None:
    # With hundreds of nodes each has met hardly any executor lately: it goes by the kind.
    book, met, other = EndpointStatistics(5.0), worker("a0"), worker("a1")
    pace = book.load_half_life(0.0)
    for step in range(20):
        book.record_start_delay(met, 4.0, 10.0 * step)
    for step in range(3):  # two jobs' time later executors are full
        book.record_start_delay(met, 2004.0, 2.0 * pace + 10.0 * step)
    full = book.expected_start_delay(other, 2.0 * pace + 30.0, pace)
    assert full > 400.0
    for step in range(3):  # and free again
        book.record_start_delay(met, 4.0, 5.0 * pace + 10.0 * step)
    assert book.expected_start_delay(other, 5.0 * pace + 30.0, pace) < 0.4 * full
