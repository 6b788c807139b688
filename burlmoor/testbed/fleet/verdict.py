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
_BOUND = "shortest"  # the baseline that knows the true state; the reference for the nodes, which do not


class RunAssessment(msgspec.Struct):
    """The metrics, the audit and the resource usage of one run."""

    node_metrics: SpreadMetrics = msgspec.field(name="node")
    baselines: dict[str, SpreadMetrics]
    audit: AuditResult
    node_cpu_ms_per_job: float = msgspec.field(name="cpu_ms")  # of all nodes together, per job sent
    max_node_memory_mib: float = msgspec.field(name="memory_mib")

    def claims(self) -> dict[str, Claim]:
        """Return the claims that must hold, by name."""
        return {**self._spread_claims(), **self._baseline_claims(), **self._recovery_claims()}

    def _spread_claims(self) -> dict[str, Claim]:
        bound = self.baselines[_BOUND]
        variation_ratio = _ratio(self.node_metrics.variation, bound.variation)
        max_over_mean_ratio = _ratio(self.node_metrics.max_over_mean, bound.max_over_mean)
        return {
            RULES_CLAIM: self.audit.violations_claim(),
            "variation over the bound's": Claim(variation_ratio, MAX_RATIO_TO_BOUND),
            "worst over mean, over the bound's": Claim(max_over_mean_ratio, MAX_RATIO_TO_BOUND),
            "herd at p99.9": Claim(self.node_metrics.thundering_herd_p999, MAX_THUNDERING_HERD),
            "idleness": Claim(self.node_metrics.idleness, MAX_IDLENESS),
        }

    def _baseline_claims(self) -> dict[str, Claim]:
        claims = {}
        for name, baseline in self.baselines.items():
            if name != _BOUND:
                ratio = _ratio(self.node_metrics.served_in_time, baseline.served_in_time)
                claims[f"served in time, over {name}'s"] = Claim(ratio, 1.0, is_lower_bound=True)
        return claims

    def _recovery_claims(self) -> dict[str, Claim]:
        bound = self.baselines[_BOUND]
        claims = {}
        for name, seconds in self.node_metrics.recovery_seconds.items():
            # An infinite time means that the run was too short for the bound to recover.
            if math.isfinite(bound.recovery_seconds[name]):
                limit_seconds = max(MAX_RECOVERY_SECONDS, bound.recovery_seconds[name])
                claims[f"healed after {name}, s"] = Claim(seconds, limit_seconds)
        return claims

    def figures(self) -> dict[str, float]:
        """Return the finite figures to show beside the claims."""
        figures = {
            "served": self.node_metrics.served,
            "served in time": self.node_metrics.served_in_time,
            "p50 ms": self.node_metrics.latency_p50_ms,
            "p99 ms": self.node_metrics.latency_p99_ms,
            "variation": self.node_metrics.variation,
            "herd at most": self.node_metrics.thundering_herd_max,
            "node CPU ms a job": self.node_cpu_ms_per_job,
            "node MiB": self.max_node_memory_mib,
        }
        for name, baseline in self.baselines.items():
            figures[f"{name}: served in time"] = baseline.served_in_time
            figures[f"{name}: variation"] = baseline.variation
            figures[f"{name}: idleness"] = baseline.idleness
            figures[f"{name}: herd at p99.9"] = baseline.thundering_herd_p999
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
        node_metrics=measure_spread(record, requests, record.attempts),
        baselines=baselines,
        audit=audited,
        node_cpu_ms_per_job=1000.0
        * sum(usage.cpu_seconds for usage in usages)
        / max(1, len(record.requests)),
        max_node_memory_mib=max((usage.memory_bytes for usage in usages), default=0) / 2**20,
    )
