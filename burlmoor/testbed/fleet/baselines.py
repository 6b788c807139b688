"""Simple ways of endpoint selection, as baselines: the same jobs, executors and faults.

`shortest` knows the true state of every executor at every moment, across all nodes. No node can know that, so
it is the bound. All of them skip executors that discovery has announced as gone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.fleet.baseline_replay import BaselineReplay, ReplayResult, Selector

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.testbed.fleet.load import Job
    from burlmoor.testbed.fleet.record import RunRecord


def _select_at_random(replay: BaselineReplay, _job: Job, listed: Sequence[int]) -> int:
    """Select by chance, weighted by capacity."""
    return replay.rng.choices(listed, weights=[replay.capacities[number] for number in listed])[0]


def _select_round_robin(replay: BaselineReplay, job: Job, listed: Sequence[int]) -> int:
    """Select in turn, for each node separately, from a random beginning."""
    turn = replay.next_turns.get(job.node, replay.rng.randrange(len(replay.executors)))
    replay.next_turns[job.node] = turn + 1
    return listed[turn % len(listed)]


def _select_least_of_two(replay: BaselineReplay, job: Job, listed: Sequence[int]) -> int:
    """Select the one of two drawn by capacity that has fewer of this node's jobs for its capacity."""
    drawn = replay.rng.choices(listed, weights=[replay.capacities[number] for number in listed], k=2)
    jobs = replay.jobs_by_node[job.node]
    return min(drawn, key=lambda number: jobs[number] / replay.capacities[number])


def _select_shortest(replay: BaselineReplay, job: Job, listed: Sequence[int]) -> int:
    """Select by the true state the one with the least work for its capacity, this job included."""
    work_ms = job.work_ms * job.slots
    return min(
        listed, key=lambda number: (replay.outstanding_work[number] + work_ms) / replay.capacities[number]
    )


BASELINES: dict[str, Selector] = {
    "random": _select_at_random,
    "round robin": _select_round_robin,
    "least of two": _select_least_of_two,
    "shortest": _select_shortest,
}


def replay_baseline(record: RunRecord, name: str) -> ReplayResult:
    """Replay the jobs of a run with one of the baselines."""
    return BaselineReplay(record, BASELINES[name], record.plan.seed).run()
