"""The drill of the watch on discovery: node processes whose watches break, and executors that leave then.

All watches fall silent at once and a quarter of the executors are announced as leaving right after, and stay
up; then discovery is down while another quarter is, and later all watches are reset while a third one is.
Claims are about the far sides' rows alone: what executors got, against what discovery had written to each
node, or counts as having told it.
"""

from __future__ import annotations

import sys
from pathlib import Path

from burlmoor.testbed.drill import Claim, Drill, DrillParameters, Verdict
from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.faults import Schedule, Trouble
from burlmoor.testbed.fleet.record import Plan, Record
from burlmoor.testbed.fleet.run import Fleet, Parts
from burlmoor.testbed.mutations import OF_WATCH, told

NODES = 6  # where none are asked for
_A_NODE, _LEAST_RATE, _MOST_RATE = 3.0, 60.0, 150.0  # jobs a second
_EXECUTORS, _LEAST = 0.6, 10
_LOAD = 0.4  # of what all executors can do: a quarter and more of them leave
_SERVED = 0.9


def troubles(seconds: float, seed: int, leaving: tuple[list[str], ...]) -> Schedule:
    """Watches break, and each time another part of the executors leaves and stays up."""

    def drain(at: float, names: list[str], until: float) -> Trouble:
        lasts = max(1.0, min(until, seconds - 2.0) - at)
        return Trouble(what="drain", at=at, lasts=lasts, executors=",".join(names))

    down, reset = 0.4 * seconds, 0.85 * seconds
    return Schedule(
        seed,
        (
            Trouble(what="silent", at=1.0, lasts=0.0, nodes="*"),
            drain(1.3, leaving[0], min(down, 15.0)),
            # What is announced meanwhile counts as told some seconds after the return.
            Trouble(what="down", at=down, lasts=0.1 * seconds, nodes="n000"),
            drain(down + 0.05 * seconds, leaving[2], reset),
            Trouble(what="broken", at=reset, lasts=0.0, nodes="*"),
            drain(reset + 0.3, leaving[1], seconds),
        ),
    )


def judge(record: Record, ask: DrillParameters) -> Verdict:
    """The verdict on a run."""
    judged = audit(record)
    for line in judged.broken[:20]:
        print(f"burlmoor: {line}", file=sys.stderr)
    lost = set(judged.lost)
    asked = [job for job in record.asked if job.id not in lost]
    served = sum(job.is_served for job in asked) / max(1, len(asked))
    told_of = {(who, host) for _, who, host, health in record.heard if health == "leaving"}
    claims = {
        "rules broken": Claim(float(len(judged.broken)), 0.0),
        "served": Claim(served, _SERVED, is_lower_bound=True),
        "drains told, a node": Claim(len(told_of) / record.plan.nodes, 1.0, is_lower_bound=True),
    }
    figures = {"jobs": float(len(record.asked)), "start s": record.started}
    figures |= {f"excused: {why}": float(count) for why, count in sorted(judged.excused.items())}
    return Verdict("watch", ask.seed, ask.seconds, claims, figures)


async def _run(ask: DrillParameters, folder: Path) -> Verdict:
    nodes = ask.nodes or NODES
    executors = max(_LEAST, round(_EXECUTORS * nodes))
    rate = min(_MOST_RATE, max(_LEAST_RATE, _A_NODE * nodes))
    plan = Plan(nodes, executors, ask.seconds, ask.seed, rate, _LOAD, sabotage=ask.mutation)
    fleet = Fleet(plan, folder, lambda line: print(line, file=sys.stderr))
    names = fleet.record.names()
    leaving = tuple(names[part::4] for part in range(3))
    plan.schedule = troubles(ask.seconds, ask.seed, leaving)
    parts = Parts.round(nodes)
    return judge(await fleet.run(parts), ask)


WATCH = Drill(
    "The watch on discovery falls silent, is reset, is down, while executors are announced as leaving.",
    _run,
    told(OF_WATCH),
    is_sizable=True,
)
