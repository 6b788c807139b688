"""What a run proves: the node's spread beside the baselines', and the claims that it is held to."""

from __future__ import annotations

import math

import msgspec

from burlmoor.testbed.drill import Claim
from burlmoor.testbed.fleet.audit import Audit, audit
from burlmoor.testbed.fleet.baselines import WAYS, play
from burlmoor.testbed.fleet.metrics import Spread, spread
from burlmoor.testbed.fleet.record import Record

EVEN, HERD, IDLE, HEALS = 1.5, 3.0, 0.02, 5.0


class Found(msgspec.Struct):
    """All figures of one run."""

    node: Spread
    ways: dict[str, Spread]
    audit: Audit
    cpu_ms: float  # of node processes, for each job asked
    memory_mib: float  # of a node, at most

    def claims(self) -> dict[str, Claim]:
        """What must hold: name, value and bound."""
        bound = self.ways["shortest"]
        honest = {name: way for name, way in self.ways.items() if name != "shortest"}
        claims = {
            "rules broken": Claim(float(len(self.audit.broken)), 0.0),
            "variation over the bound's": Claim(self.node.variation / max(bound.variation, 1e-9), EVEN),
            "worst over mean, over the bound's": Claim(
                self.node.worst_over_mean / max(bound.worst_over_mean, 1e-9), EVEN
            ),
            "herd at p99.9": Claim(self.node.herd, HERD),
            "idleness": Claim(self.node.idleness, IDLE),
        }
        for name, way in honest.items():
            claims[f"served in time, over {name}'s"] = Claim(
                self.node.in_time / max(way.in_time, 1e-9), 1.0, is_lower_bound=True
            )
        for name, seconds in self.node.heal.items():
            if math.isfinite(bound.heal[name]):  # else the run was too short to see any way heal
                claims[f"healed after {name}, s"] = Claim(seconds, max(HEALS, bound.heal[name]))
        return claims

    def figures(self) -> dict[str, float]:
        """What is told beside the claims."""
        found = {
            "served": self.node.served, "served in time": self.node.in_time,
            "p50 ms": self.node.latency_p50, "p99 ms": self.node.latency_p99,
            "variation": self.node.variation, "herd at most": self.node.herd_most,
            "node CPU ms a job": self.cpu_ms, "node MiB": self.memory_mib,
        }  # fmt: skip
        for name, way in self.ways.items():
            found[f"{name}: served in time"] = way.in_time
            found[f"{name}: variation"] = way.variation
            found[f"{name}: idleness"] = way.idleness
            found[f"{name}: herd at p99.9"] = way.herd
        for why, count in sorted(self.audit.excused.items()):
            found[f"excused: {why}"] = float(count)
        return {name: value for name, value in found.items() if math.isfinite(value)}


def found(record: Record) -> Found:
    """Judge a run.

    No way of spreading can serve what was at a node when it was killed or stopped, and the baselines have no
    nodes that die: those jobs count for none of them.
    """
    judged = audit(record)
    lost = set(judged.lost)
    ways = {}
    for way in WAYS:
        asked, rows = play(record, way)
        ways[way] = spread(record, [job for job in asked if job.id not in lost], rows)
    jobs = max(1, len(record.asked))
    return Found(
        spread(record, [job for job in record.asked if job.id not in lost], record.ran),
        ways,
        judged,
        1000.0 * sum(used.cpu for used in record.used.values()) / jobs,
        max((used.memory for used in record.used.values()), default=0) / 2**20,
    )
