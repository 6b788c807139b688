"""What a module has learnt goes over to the next process of the node."""

from __future__ import annotations

import msgspec

from burlmoor.stats import snapshot
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


def test_what_was_learnt_is_the_same_in_a_process_with_another_clock() -> None:
    old = taught()
    data = msgspec.msgpack.encode(snapshot.take_snapshot(old.node, old.now))
    new = Talk(listed=entries(4), now=90_000.0, seed=2)
    snapshot.restore_snapshot(
        new.node, msgspec.msgpack.decode(data, type=snapshot.StatisticsSnapshot), new.now
    )
    for name, worker in old.node.members.workers.items():
        other = new.node.members.workers[name]
        assert (worker.room, worker.faults, list(worker.keys)) == (other.room, other.faults, list(other.keys))
        for band in worker.cells:
            kinds = [talk.node.book.kind("std", talk.now) for talk in (old, new)]
            slow = [
                talk.node.book.slowness(talk.node.members.workers[name], band, kind, talk.now)
                for talk, kind in zip((old, new), kinds, strict=True)
            ]
            assert abs(slow[0] - slow[1]) < 1e-9
    assert new.node.book.prompt == old.node.book.prompt
    # Jobs stay where they are: nothing is held here, and what comes is placed as usual.
    assert new.node.held == 0.0
    assert not new.node.jobs
    assert new.placed(1).endpoint in new.node.members.workers


def test_executors_that_are_not_listed_are_left_out() -> None:
    old = taught()
    new = Talk(listed=entries(2))
    snapshot.restore_snapshot(new.node, snapshot.take_snapshot(old.node, old.now), new.now)
    assert set(new.node.members.workers) == {"a0", "a1"}
