"""The randomized fault soak: 10 to 40 node processes, and many faults that overlap in time.

The seed determines the number of nodes, the faults with their times and targets, whether the settings
allow two concurrent attempts of a job, and whether jobs of one class have idempotency keys. Clients keep
their connections alive. Nodes that are restarted get SIGKILL at the earliest time after SIGTERM at which the
platform may send it. The oracle consists of the rules, checked against what clients and executors observed
(`fleet/audit.py`), and of the invariant violations that the nodes themselves count
(`burlmoor/invariants.py`).
"""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from msgspec import UNSET

from burlmoor.log_events import InvariantViolated
from burlmoor.testbed.drill import Claim, Drill, DrillParameters, Verdict, print_violations
from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.audit_result import RULES_CLAIM
from burlmoor.testbed.fleet.drill_fleet import executor_count, run_fleet
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.random_schedule import draw_soak_schedule
from burlmoor.testbed.fleet.record import RunPlan, RunRecord
from burlmoor.testbed.mutations import SOAK_MUTATIONS

if TYPE_CHECKING:
    from pathlib import Path

    from burlmoor.testbed.fleet.faults import FaultSchedule

_MIN_NODES, _MAX_NODES = 10, 40
_RATE_PER_NODE = 4.0  # jobs per second
_UTILIZATION = 0.4  # of all executors, many of which fail at once
_HEDGING_FRACTION = 0.4  # of the runs; the others allow no concurrent attempts of a job
_KEYED_FRACTION = 0.4  # of the runs, in which jobs of one class have idempotency keys
_REPEAT_WINDOW_MS = 300.0  # of these jobs; less than the time after which an unanswered attempt is cancelled
_SOCKET_LIMIT = 256  # descriptors per node; fewer than the connections of a flood


_VIOLATION_EVENT = f'"{InvariantViolated.event_name()}"'.encode()


def count_node_violations(folder: Path) -> Counter[str]:
    """Count the violations that the nodes logged in the folder of a run, by invariant."""
    counts: Counter[str] = Counter()
    for log in folder.glob("n*/log"):
        for line in log.read_bytes().splitlines():
            if _VIOLATION_EVENT in line:
                counts[msgspec.json.decode(line, type=InvariantViolated).invariant] += 1
    return counts


def max_concurrent_faults(schedule: FaultSchedule) -> int:
    """Return the largest number of faults that are in effect at the same time."""
    return max(
        (
            sum(other.start <= fault.start <= other.end for other in schedule.faults)
            for fault in schedule.faults
        ),
        default=0,
    )


def judge(record: RunRecord, node_violations: Counter[str], parameters: DrillParameters) -> Verdict:
    """Return the verdict on a run, and print rule violations."""
    audited = audit(record)
    print_violations(audited.violations)
    served = sum(request.is_served for request in record.requests)
    claims = {
        RULES_CLAIM: audited.violations_claim(),
        "violations counted by nodes": Claim(float(node_violations.total()), 0.0),
        "served": Claim(float(served), 1.0, is_lower_bound=True),
        "faults at once": Claim(float(max_concurrent_faults(record.plan.schedule)), 2.0, is_lower_bound=True),
    }
    fault_counts = Counter(interval.kind for interval in record.fault_intervals)
    figures = {
        "nodes": float(record.plan.nodes),
        "jobs": float(len(record.requests)),
        "attempts": float(len(record.attempts)),
        "hedging": float(record.plan.may_hedge),
        "idempotency keys": float(record.plan.repeat_window_ms is not UNSET),
        "nodes restarted": float(fault_counts[FaultKind.NODE_RESTART]),
        "nodes killed in a restart": float(fault_counts[FaultKind.RESTART_KILL]),
        "nodes crowded": float(fault_counts[FaultKind.CONNECTION_FLOOD]),
        "nodes flooded with input": float(fault_counts[FaultKind.INPUT_FLOOD]),
        "faults": float(len(record.plan.schedule.faults)),
    }
    return Verdict(
        "soak", parameters.seed, parameters.seconds, claims, {**figures, **audited.excuse_figures()}
    )


async def _run(parameters: DrillParameters, folder: Path) -> Verdict:
    nodes = parameters.nodes or random.Random(parameters.seed).randint(_MIN_NODES, _MAX_NODES)
    has_keys = random.Random(f"{parameters.seed}:repeat window").random() < _KEYED_FRACTION
    plan = RunPlan(
        nodes=nodes,
        executors=executor_count(nodes),
        seconds=parameters.seconds,
        seed=parameters.seed,
        rate=_RATE_PER_NODE * nodes,
        utilization=_UTILIZATION,
        mutation=parameters.mutation,
        schedule=draw_soak_schedule(parameters.seed, parameters.seconds),
        hedging=random.Random(f"{parameters.seed}:settings").random() < _HEDGING_FRACTION,
        sockets=_SOCKET_LIMIT,
        repeat_window_ms=_REPEAT_WINDOW_MS if has_keys else UNSET,
    )
    record = await run_fleet(plan, folder)
    return judge(record, count_node_violations(folder), parameters)


SOAK = Drill(
    "Randomized faults that overlap in time, with the rules as the oracle.",
    _run,
    SOAK_MUTATIONS,
    has_variable_node_count=True,
)
