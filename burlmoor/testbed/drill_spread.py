"""The drill of spread: many node processes that each see little of the load, and faults one after another.

All nodes start at once with the same list. Executors die, nodes are stopped, most are killed at once and
start again with the old list, executors fail every job at once. The claims are about what clients and
executors observed, beside baselines that spread the same jobs on the same executors.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from burlmoor.testbed.drill import Drill, DrillParameters, Verdict, print_violations
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule
from burlmoor.testbed.fleet.helper_processes import ProcessCounts
from burlmoor.testbed.fleet.record import RunPlan
from burlmoor.testbed.fleet.run import Fleet
from burlmoor.testbed.fleet.verdict import assess_run
from burlmoor.testbed.mutations import SPREAD_MUTATIONS

if TYPE_CHECKING:
    from pathlib import Path

DEFAULT_NODES = 12
_RATE_PER_NODE = 3.0  # jobs a second
_MIN_RATE = 40.0
_MAX_RATE = 150.0  # what one machine can bear
_EXECUTORS_PER_NODE = 0.6
_MIN_EXECUTORS = 10
_UTILIZATION = 0.65
_STARTS_PER_SECOND = 8.0  # nodes that 5 cores start beside those that run


def make_schedule(seconds: float, seed: int, nodes: int) -> FaultSchedule:
    """Return the same faults at every size, spread over the run."""

    def share(fraction: float) -> float:
        """Return a share of the run in seconds."""
        return round(fraction * seconds, 2)

    restart_stagger = round(0.7 * nodes / _STARTS_PER_SECOND, 2)
    die = Fault(kind="die", start=share(0.25), duration=share(0.08), executors="10%", notification_delay=1.0)
    stop = Fault(kind="stop", start=share(0.45), duration=min(3.0, share(0.08)), nodes="10%")
    kill = Fault(
        kind="kill", start=share(0.55), duration=share(0.02), nodes="70%", restart_stagger=restart_stagger
    )
    fail = Fault(kind="fail", start=share(0.85), duration=share(0.05), executors="5%")
    return FaultSchedule(seed, (die, stop, kill, fail))


def _make_plan(parameters: DrillParameters) -> RunPlan:
    nodes = parameters.nodes or DEFAULT_NODES
    return RunPlan(
        nodes,
        max(_MIN_EXECUTORS, round(_EXECUTORS_PER_NODE * nodes)),
        parameters.seconds,
        parameters.seed,
        min(_MAX_RATE, max(_MIN_RATE, _RATE_PER_NODE * nodes)),
        _UTILIZATION,
        mutation=parameters.mutation,
        schedule=make_schedule(parameters.seconds, parameters.seed, nodes),
    )


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    plan = _make_plan(parameters)
    fleet = Fleet(plan, folder, lambda line: print(line, file=sys.stderr))
    record = await fleet.run(ProcessCounts.for_nodes(plan.nodes))
    assessment = assess_run(record)
    print_violations(assessment.audit.violations)
    figures = {
        **assessment.figures(),
        "start s": record.startup_seconds,
        "cores used": record.cores_used,
    }
    return Verdict("spread", parameters.seed, parameters.seconds, assessment.claims(), figures)


SPREAD = Drill(
    "Load spread evenly by many nodes that each see little of it, under failures.",
    _run,
    SPREAD_MUTATIONS,
    is_sizable=True,
)
