"""The drill of the watch on discovery: the nodes' watches break, and executors drain then.

All watches stall at once, and a quarter of the executors is announced as leaving right after, and stays up.
Later discovery is down while another quarter is announced, and then all watches are reset while a third one
is. The claims are about what clients and executors observed: which jobs executors got, against what discovery
had written to each node, or what counts as notified because the notification deadline had passed.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from burlmoor.testbed.drill import Claim, Drill, DrillParameters, Verdict, print_violations
from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule
from burlmoor.testbed.fleet.helper_processes import ProcessCounts
from burlmoor.testbed.fleet.record import RunPlan, RunRecord
from burlmoor.testbed.fleet.run import Fleet
from burlmoor.testbed.mutations import WATCH_MUTATIONS

if TYPE_CHECKING:
    from pathlib import Path

DEFAULT_NODES = 6
_RATE_PER_NODE = 3.0  # jobs a second
_MIN_RATE = 60.0
_MAX_RATE = 150.0
_EXECUTORS_PER_NODE = 0.6
_MIN_EXECUTORS = 10
_UTILIZATION = 0.4  # of all executors: a quarter and more of them drain
_MIN_SERVED = 0.9
_DRAINED_PARTS = 3
_PARTS = 4


def make_schedule(seconds: float, seed: int, draining: tuple[list[str], ...]) -> FaultSchedule:
    """Return faults that break watches, with another part of the executors draining each time."""
    down_at = 0.4 * seconds
    reset_at = 0.85 * seconds

    def drain(at: float, names: list[str], until: float) -> Fault:
        duration = max(1.0, min(until, seconds - 2.0) - at)
        return Fault(kind="drain", start=at, duration=duration, executors=",".join(names))

    return FaultSchedule(
        seed,
        (
            Fault(kind="silent", start=1.0, duration=0.0, nodes="*"),
            drain(1.3, draining[0], min(down_at, 15.0)),
            # What is announced while discovery is down counts as notified some seconds after its return.
            Fault(kind="down", start=down_at, duration=0.1 * seconds, nodes="n000"),
            drain(down_at + 0.05 * seconds, draining[2], reset_at),
            Fault(kind="broken", start=reset_at, duration=0.0, nodes="*"),
            drain(reset_at + 0.3, draining[1], seconds),
        ),
    )


def judge(record: RunRecord, parameters: DrillParameters) -> Verdict:
    """Return the verdict on a run, and print violations."""
    audited = audit(record)
    print_violations(audited.violations)
    lost_ids = set(audited.lost_job_ids)
    requests = [request for request in record.requests if request.id not in lost_ids]
    served = sum(request.is_served for request in requests) / max(1, len(requests))
    notified = {(each.node, each.endpoint) for each in record.notifications if each.health == "leaving"}
    claims = {
        "rules broken": Claim(float(len(audited.violations)), 0.0),
        "served": Claim(served, _MIN_SERVED, is_lower_bound=True),
        "drains told, a node": Claim(len(notified) / record.plan.nodes, 1.0, is_lower_bound=True),
    }
    figures = {"jobs": float(len(record.requests)), "start s": record.startup_seconds}
    figures |= {f"excused: {reason}": float(count) for reason, count in sorted(audited.excused.items())}
    return Verdict("watch", parameters.seed, parameters.seconds, claims, figures)


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    nodes = parameters.nodes or DEFAULT_NODES
    executors = max(_MIN_EXECUTORS, round(_EXECUTORS_PER_NODE * nodes))
    rate = min(_MAX_RATE, max(_MIN_RATE, _RATE_PER_NODE * nodes))
    plan = RunPlan(
        nodes,
        executors,
        parameters.seconds,
        parameters.seed,
        rate,
        _UTILIZATION,
        mutation=parameters.mutation,
    )
    fleet = Fleet(plan, folder, lambda line: print(line, file=sys.stderr))
    names = fleet.record.executor_names()
    draining = tuple(names[part::_PARTS] for part in range(_DRAINED_PARTS))
    plan.schedule = make_schedule(parameters.seconds, parameters.seed, draining)
    return judge(await fleet.run(ProcessCounts.for_nodes(nodes)), parameters)


WATCH = Drill(
    "The watch on discovery falls silent, is reset, is down, while executors are announced as leaving.",
    _run,
    WATCH_MUTATIONS,
    is_sizable=True,
)
