"""Chooses the number of executors of a fleet drill and runs its plan; shared by all fleet drills."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from burlmoor.testbed.fleet.process_allocation import ProcessCounts
from burlmoor.testbed.fleet.run import Fleet

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.fleet.record import RunPlan, RunRecord

_EXECUTORS_PER_NODE = 0.6
_MIN_EXECUTORS = 10


def executor_count(nodes: int) -> int:
    """Return the number of executors of a drill with this number of nodes."""
    return max(_MIN_EXECUTORS, round(_EXECUTORS_PER_NODE * nodes))


async def run_fleet(plan: RunPlan, folder: Path) -> RunRecord:
    """Run the plan of a drill, print its progress on standard error, and return the record.

    Raises:
        ProcessError: a process failed.
        trio.TooSlowError: the nodes were not ready in time.
    """
    fleet = Fleet(plan, folder, _print_progress)
    return await fleet.run(ProcessCounts.for_nodes(plan.nodes))


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr)
