"""Simple endpoint selection strategies, replayed as baselines with a run's jobs, executors and faults.

`shortest` knows the true state of every executor at every moment, across all nodes. No node can know that, so
this baseline serves as the bound. All baselines skip executors that discovery has announced as gone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.fleet.baseline_replay import BaselineReplay, ReplayResult, SelectionStrategy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.testbed.fleet.load import Job
    from burlmoor.testbed.fleet.record import RunRecord


def _select_at_random(replay: BaselineReplay, _job: Job, candidates: Sequence[int]) -> int:
    """Select an executor at random, weighted by capacity."""
    return replay.rng.choices(candidates, weights=[replay.capacities[number] for number in candidates])[0]


def _select_round_robin(replay: BaselineReplay, job: Job, candidates: Sequence[int]) -> int:
    """Select executors in turn, separately for each node, from a random first one."""
    position = replay.next_positions.get(job.node, replay.rng.randrange(len(replay.executors)))
    replay.next_positions[job.node] = position + 1
    return candidates[position % len(candidates)]


def _select_least_of_two(replay: BaselineReplay, job: Job, candidates: Sequence[int]) -> int:
    """Draw two executors by capacity, and select the one with fewer of this node's jobs per capacity."""
    drawn = replay.rng.choices(candidates, weights=[replay.capacities[number] for number in candidates], k=2)
    jobs = replay.jobs_by_node[job.node]
    return min(drawn, key=lambda number: jobs[number] / replay.capacities[number])


def _select_least_loaded(replay: BaselineReplay, job: Job, candidates: Sequence[int]) -> int:
    """Select the executor with the least outstanding work of all nodes per capacity, this job included."""
    work_ms = job.work_ms * job.slots
    return min(
        candidates, key=lambda number: (replay.outstanding_work[number] + work_ms) / replay.capacities[number]
    )


BASELINES: dict[str, SelectionStrategy] = {
    "random": _select_at_random,
    "round robin": _select_round_robin,
    "least of two": _select_least_of_two,
    "shortest": _select_least_loaded,
}


def replay_baseline(record: RunRecord, name: str) -> ReplayResult:
    """Replay the jobs of a run with the baseline of this name."""
    return BaselineReplay(record, BASELINES[name], record.plan.seed).run()
