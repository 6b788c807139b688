"""What a module has learnt goes over to the next process of the node."""

from __future__ import annotations

import msgspec

from burlmoor.stats.snapshot import StatisticsSnapshot, restore_snapshot, take_snapshot
from burlmoor.types.events import AttemptStarted
from burlmoor.types.outcome import Outcome
from tests.support.dispatcher_driver import Talk, entries


def taught() -> Talk:
    talk = Talk(listed=entries(4))
    for ref in range(40):
        send = talk.placed(ref, "lookup" if ref % 3 else "keyed", affinity_key=f"k{ref % 5}", tenant="t")
        talk.tell(AttemptStarted(send.id, 0, send.endpoint))
        talk.run(70.0 * (1 + ref % 4))
        talk.end(send, Outcome.SERVED if ref % 7 else Outcome.ERROR)
    return talk


def taken(talk: Talk) -> StatisticsSnapshot:
    return take_snapshot(talk.node.statistics, talk.node.endpoints.by_name, talk.now)


def restore(talk: Talk, given: StatisticsSnapshot) -> None:
    restore_snapshot(talk.node.statistics, talk.node.endpoints.by_name, given, talk.now)


def test_what_was_learnt_is_the_same_in_a_process_with_another_clock() -> None:
    old = taught()
    data = msgspec.msgpack.encode(taken(old))
    new = Talk(listed=entries(4), now=90_000.0, seed=2)
    restore(new, msgspec.msgpack.decode(data, type=StatisticsSnapshot))
    for name, worker in old.node.endpoints.by_name.items():
        other = new.node.endpoints.by_name[name]
        assert (worker.capacity, worker.consecutive_faults, list(worker.cached_keys)) == (
            other.capacity,
            other.consecutive_faults,
            list(other.cached_keys),
        )
        for band in worker.slowness_by_work_class:
            kinds = [talk.node.statistics.endpoints.slowness_of_kind("std", talk.now) for talk in (old, new)]
            slow = [
                talk.node.statistics.endpoints.slowness(
                    talk.node.endpoints.by_name[name], band, kind, talk.now
                )
                for talk, kind in zip((old, new), kinds, strict=True)
            ]
            assert abs(slow[0] - slow[1]) < 1e-9
    assert new.node.statistics.endpoints.fastest_start_ms == old.node.statistics.endpoints.fastest_start_ms
    # Jobs stay where they are: nothing is held here, and what comes is placed as usual.
    assert new.node.endpoints.slots_in_flight == 0.0
    assert not new.node.context.jobs.by_id
    assert new.placed(1).endpoint in new.node.endpoints.by_name


def test_executors_that_are_not_listed_are_left_out() -> None:
    old = taught()
    new = Talk(listed=entries(2))
    restore(new, taken(old))
    assert set(new.node.endpoints.by_name) == {"a0", "a1"}
