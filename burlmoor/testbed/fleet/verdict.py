"""Assesses a run: compares the nodes' spread of load with the baselines, and derives the claims to hold."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from burlmoor.testbed.drill import Claim
from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.audit_result import RULES_CLAIM, AuditResult
from burlmoor.testbed.fleet.baselines import BASELINES, replay_baseline
from burlmoor.testbed.fleet.metrics import SpreadMetrics, measure_spread

if TYPE_CHECKING:
    from burlmoor.testbed.fleet.record import RunRecord

MAX_RATIO_TO_BOUND = 1.5  # for the variation and for maximum over mean
MAX_THUNDERING_HERD = 3.0
MAX_IDLENESS = 0.02
MAX_RECOVERY_SECONDS = 5.0  # or the recovery time of the bound, if that is longer
_BOUND = "shortest"  # the baseline that knows the true state, which no node can


class RunAssessment(msgspec.Struct):
    """The metrics, the audit and the resource usage of one run."""

    node: SpreadMetrics
    baselines: dict[str, SpreadMetrics]
    audit: AuditResult
    cpu_ms: float  # of all node processes, per job sent
    memory_mib: float  # of the node that uses the most

    def claims(self) -> dict[str, Claim]:
        """Return the claims that must hold, by name."""
        return {**self._spread_claims(), **self._baseline_claims(), **self._recovery_claims()}

    def _spread_claims(self) -> dict[str, Claim]:
        bound = self.baselines[_BOUND]
        variation_ratio = _ratio(self.node.variation, bound.variation)
        max_over_mean_ratio = _ratio(self.node.max_over_mean, bound.max_over_mean)
        return {
            RULES_CLAIM: self.audit.violations_claim(),
            "variation over the bound's": Claim(variation_ratio, MAX_RATIO_TO_BOUND),
            "worst over mean, over the bound's": Claim(max_over_mean_ratio, MAX_RATIO_TO_BOUND),
            "herd at p99.9": Claim(self.node.thundering_herd, MAX_THUNDERING_HERD),
            "idleness": Claim(self.node.idleness, MAX_IDLENESS),
        }

    def _baseline_claims(self) -> dict[str, Claim]:
        claims = {}
        for name, baseline in self.baselines.items():
            if name != _BOUND:
                ratio = _ratio(self.node.served_in_time, baseline.served_in_time)
                claims[f"served in time, over {name}'s"] = Claim(ratio, 1.0, is_lower_bound=True)
        return claims

    def _recovery_claims(self) -> dict[str, Claim]:
        bound = self.baselines[_BOUND]
        claims = {}
        for name, seconds in self.node.recovery_seconds.items():
            # An infinite time means that the run was too short for the bound to recover.
            if math.isfinite(bound.recovery_seconds[name]):
                limit_seconds = max(MAX_RECOVERY_SECONDS, bound.recovery_seconds[name])
                claims[f"healed after {name}, s"] = Claim(seconds, limit_seconds)
        return claims

    def figures(self) -> dict[str, float]:
        """Return the finite figures to show beside the claims."""
        figures = {
            "served": self.node.served,
            "served in time": self.node.served_in_time,
            "p50 ms": self.node.latency_p50_ms,
            "p99 ms": self.node.latency_p99_ms,
            "variation": self.node.variation,
            "herd at most": self.node.thundering_herd_max,
            "node CPU ms a job": self.cpu_ms,
            "node MiB": self.memory_mib,
        }
        for name, baseline in self.baselines.items():
            figures[f"{name}: served in time"] = baseline.served_in_time
            figures[f"{name}: variation"] = baseline.variation
            figures[f"{name}: idleness"] = baseline.idleness
            figures[f"{name}: herd at p99.9"] = baseline.thundering_herd
        figures |= self.audit.excuse_figures()
        return {name: value for name, value in figures.items() if math.isfinite(value)}


def _ratio(value: float, reference: float) -> float:
    return value / max(reference, 1e-9)


def assess_run(record: RunRecord) -> RunAssessment:
    """Assess a run against the baselines.

    No selection strategy can serve the jobs that were at a node when it was killed or paused, and no nodes
    fail in the replays of the baselines. Those jobs are therefore left out for the nodes and all baselines.
    """
    audited = audit(record)
    lost_ids = set(audited.lost_job_ids)
    baselines = {}
    for name in BASELINES:
        replayed = replay_baseline(record, name)
        requests = [request for request in replayed.requests if request.id not in lost_ids]
        baselines[name] = measure_spread(record, requests, replayed.attempts)
    requests = [request for request in record.requests if request.id not in lost_ids]
    usages = record.resource_usage.values()
    return RunAssessment(
        node=measure_spread(record, requests, record.attempts),
        baselines=baselines,
        audit=audited,
        cpu_ms=1000.0 * sum(usage.cpu_seconds for usage in usages) / max(1, len(record.requests)),
        memory_mib=max((usage.memory_bytes for usage in usages), default=0) / 2**20,
    )
