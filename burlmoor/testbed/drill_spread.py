"""The load-spread drill: many node processes that each see little of the load, and a sequence of faults.

All nodes start at once with the same endpoint list. Executors are killed, nodes are paused, most nodes are
killed at once and restart with the old list, and executors fail every job at once. The claims compare what
clients and executors observed with baselines that spread the same jobs over the same executors.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.drill import Drill, DrillParameters, Verdict, print_violations
from burlmoor.testbed.fleet.drill_fleet import executor_count, run_fleet
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule
from burlmoor.testbed.fleet.record import RunPlan
from burlmoor.testbed.fleet.verdict import assess_run
from burlmoor.testbed.mutations import SPREAD_MUTATIONS

if TYPE_CHECKING:
    from pathlib import Path

DEFAULT_NODES = 12
_RATE_PER_NODE = 3.0  # jobs per second
_MIN_RATE = 40.0
_MAX_RATE = 150.0  # what one machine can serve
_UTILIZATION = 0.65
_MAX_PAUSE_SECONDS = 3.0
_KILLED_FRACTION = 0.7  # of the nodes
_STARTS_PER_SECOND = 8.0  # nodes that 5 cores can start while the other nodes run


def make_schedule(seconds: float, seed: int, nodes: int) -> FaultSchedule:
    """Return faults spread over the run, of the same kinds and fractions for any number of nodes."""

    def at(fraction: float) -> float:
        """Return the time after a fraction of the run, in seconds."""
        return round(fraction * seconds, 2)

    executor_kill = Fault(
        kind=FaultKind.EXECUTOR_KILL,
        start=at(0.25),
        duration=at(0.08),
        executors="10%",
        notification_delay=1.0,
    )
    pause = Fault(
        kind=FaultKind.NODE_PAUSE, start=at(0.45), duration=min(_MAX_PAUSE_SECONDS, at(0.08)), nodes="10%"
    )
    kill = Fault(
        kind=FaultKind.NODE_KILL,
        start=at(0.55),
        duration=at(0.02),
        nodes=f"{_KILLED_FRACTION:.0%}",
        restart_stagger=round(_KILLED_FRACTION * nodes / _STARTS_PER_SECOND, 2),
    )
    errors = Fault(kind=FaultKind.EXECUTOR_ERRORS, start=at(0.85), duration=at(0.05), executors="5%")
    return FaultSchedule(seed, (executor_kill, pause, kill, errors))


def _make_plan(parameters: DrillParameters) -> RunPlan:
    nodes = parameters.nodes or DEFAULT_NODES
    return RunPlan(
        nodes=nodes,
        executors=executor_count(nodes),
        seconds=parameters.seconds,
        seed=parameters.seed,
        rate=min(_MAX_RATE, max(_MIN_RATE, _RATE_PER_NODE * nodes)),
        utilization=_UTILIZATION,
        mutation=parameters.mutation,
        schedule=make_schedule(parameters.seconds, parameters.seed, nodes),
    )


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    record = await run_fleet(_make_plan(parameters), folder)
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
    has_variable_node_count=True,
)
