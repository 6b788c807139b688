"""The drill of spread: many node processes that each see little, and troubles one after another.

All nodes start at once with the same list. Executors die, nodes are stopped, most are killed at once and
come back with the old list, executors fail every job at once. Claims are about the far sides' rows alone,
beside baselines that spread the same jobs on the same executors.
"""

from __future__ import annotations

import sys
from pathlib import Path

from burlmoor.testbed.drill import Drill, DrillParameters, Verdict
from burlmoor.testbed.fleet.faults import Schedule, Trouble
from burlmoor.testbed.fleet.record import Plan
from burlmoor.testbed.fleet.run import Fleet, Parts
from burlmoor.testbed.fleet.verdict import found
from burlmoor.testbed.mutations import OF_SPREAD, told

NODES = 12  # where none are asked for
_A_NODE, _MOST = 3.0, 150.0  # jobs a second for each node, and at all, that this machine bears
_EXECUTORS, _LEAST = 0.6, 10  # for each node, and at least
_LOAD = 0.65
_STARTS = 8.0  # nodes that 5 cores start in a second, beside those that run


def troubles(seconds: float, seed: int, nodes: int) -> Schedule:
    """The same troubles at every size, spread over the run."""
    back = round(0.7 * nodes / _STARTS, 2)

    def at(share: float) -> float:
        return round(share * seconds, 2)

    return Schedule(
        seed,
        (
            Trouble(what="die", at=at(0.25), lasts=at(0.08), executors="10%", told=1.0),
            Trouble(what="stop", at=at(0.45), lasts=min(3.0, at(0.08)), nodes="10%"),
            Trouble(what="kill", at=at(0.55), lasts=at(0.02), nodes="70%", back=back),
            Trouble(what="fail", at=at(0.85), lasts=at(0.05), executors="5%"),
        ),
    )


async def _run(ask: DrillParameters, folder: Path) -> Verdict:
    nodes = ask.nodes or NODES
    plan = Plan(
        nodes, max(_LEAST, round(_EXECUTORS * nodes)), ask.seconds, ask.seed,
        min(_MOST, max(40.0, _A_NODE * nodes)), _LOAD, sabotage=ask.mutation,
        schedule=troubles(ask.seconds, ask.seed, nodes),
    )  # fmt: skip
    parts = Parts.round(nodes)
    record = await Fleet(plan, folder, lambda line: print(line, file=sys.stderr)).run(parts)
    judged = found(record)
    for line in judged.audit.broken[:20]:
        print(f"burlmoor: {line}", file=sys.stderr)
    figures = {**judged.figures(), "start s": record.started, "cores used": record.cpus}
    return Verdict("spread", ask.seed, ask.seconds, judged.claims(), figures)


SPREAD = Drill(
    "Load spread evenly by many nodes that each see little of it, under failures.",
    _run,
    told(OF_SPREAD),
    is_sizable=True,
)
