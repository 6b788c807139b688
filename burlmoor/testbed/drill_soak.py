"""The randomized fault soak: 10 to 40 node processes, and many faults that overlap in time.

The number of nodes, the faults, their times and whom they affect are drawn from the seed, and whether
settings allow two attempts of a job at once. Clients use their connections for as long as these stay open;
nodes that are restarted get SIGKILL as early as the platform may send it. The oracle are the rules, checked
against what clients and executors observed (`fleet/audit.py`), and the violations that the nodes themselves
have counted (`burlmoor/invariants.py`).
"""

from __future__ import annotations

import json
import random
import sys
from collections import Counter
from typing import TYPE_CHECKING

from burlmoor.testbed.drill import Claim, Drill, DrillParameters, Verdict, print_violations
from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.helper_processes import ProcessCounts
from burlmoor.testbed.fleet.random_schedule import draw_soak_schedule
from burlmoor.testbed.fleet.record import RunPlan, RunRecord
from burlmoor.testbed.fleet.run import Fleet
from burlmoor.testbed.mutations import SOAK_MUTATIONS

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.fleet.faults import FaultSchedule

_MIN_NODES, _MAX_NODES = 10, 40
_RATE_PER_NODE = 4.0  # jobs a second
_UTILIZATION = 0.4  # of all executors, many of which are at fault at once
_EXECUTORS_PER_NODE = 0.6
_MIN_EXECUTORS = 10
_HEDGING_SHARE = 0.4  # of the runs: in the others two attempts of a job may not be out at once
_SOCKET_LIMIT = 256  # descriptors of a node, fewer than a crowd has connections


def count_node_violations(folder: Path) -> Counter[str]:
    """Return the violations that the nodes have logged, by invariant, from the folder of a run."""
    counts: Counter[str] = Counter()
    for log in folder.glob("n*/log"):
        for line in log.read_bytes().splitlines():
            if b'"invariant-violated"' in line:
                counts[json.loads(line)["invariant"]] += 1
    return counts


def most_faults_at_once(schedule: FaultSchedule) -> int:
    """Return how many of the faults are in effect at one moment at most."""
    return max(
        (
            sum(other.start <= fault.start <= other.end for other in schedule.faults)
            for fault in schedule.faults
        ),
        default=0,
    )


def judge(record: RunRecord, node_violations: Counter[str], parameters: DrillParameters) -> Verdict:
    """Return the verdict on a run, and print violations."""
    audited = audit(record)
    print_violations(audited.violations)
    served = sum(request.is_served for request in record.requests)
    claims = {
        "rules broken": Claim(float(len(audited.violations)), 0.0),
        "violations counted by nodes": Claim(float(node_violations.total()), 0.0),
        "served": Claim(float(served), 1.0, is_lower_bound=True),
        "faults at once": Claim(float(most_faults_at_once(record.plan.schedule)), 2.0, is_lower_bound=True),
    }
    figures = {
        "nodes": float(record.plan.nodes),
        "jobs": float(len(record.requests)),
        "attempts": float(len(record.attempts)),
        "hedging": float(record.plan.may_hedge),
        "nodes restarted": float(sum(each.kind == "restart" for each in record.fault_intervals)),
        "nodes killed in a restart": float(sum(each.kind == "sigkill" for each in record.fault_intervals)),
        "nodes crowded": float(sum(each.kind == "crowd" for each in record.fault_intervals)),
        "faults": float(len(record.plan.schedule.faults)),
    }
    figures |= {f"excused: {reason}": float(count) for reason, count in sorted(audited.excused.items())}
    return Verdict("soak", parameters.seed, parameters.seconds, claims, figures)


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    nodes = parameters.nodes or random.Random(parameters.seed).randint(_MIN_NODES, _MAX_NODES)
    plan = RunPlan(
        nodes,
        max(_MIN_EXECUTORS, round(_EXECUTORS_PER_NODE * nodes)),
        parameters.seconds,
        parameters.seed,
        _RATE_PER_NODE * nodes,
        _UTILIZATION,
        mutation=parameters.mutation,
        schedule=draw_soak_schedule(parameters.seed, parameters.seconds),
        hedging=random.Random(f"{parameters.seed}:settings").random() < _HEDGING_SHARE,
        sockets=_SOCKET_LIMIT,
    )
    fleet = Fleet(plan, folder, lambda line: print(line, file=sys.stderr))
    record = await fleet.run(ProcessCounts.for_nodes(nodes))
    return judge(record, count_node_violations(folder), parameters)


SOAK = Drill(
    "Randomized faults that overlap in time, with the rules as the oracle.",
    _run,
    SOAK_MUTATIONS,
    is_sizable=True,
)
